#include "ferryroad/relay/waiting_requests.hpp"

#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/experimental/channel.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/system/error_code.hpp>

#include <algorithm>

namespace ferryroad::relay {

/// A sleeping request, registered in `m_sleepers` for its lifetime.
class waiting_requests::sleeper {
  public:
    sleeper(waiting_requests& all, const core::quarantine::request_identity& request)
        : m_all(all), m_signal(all.m_scheduler.executor(), 1) {
        m_place = m_all.m_sleepers.emplace(request, this);
    }
    ~sleeper() { m_all.m_sleepers.erase(m_place); }
    sleeper(const sleeper&) = delete;
    sleeper& operator=(const sleeper&) = delete;

    void wake() { m_signal.try_send(boost::system::error_code{}); }
    runtime::task<void> until_woken() { return m_signal.async_receive(boost::asio::use_awaitable); }

  private:
    using wake_signal = boost::asio::experimental::channel<void(boost::system::error_code)>;

    waiting_requests& m_all;
    wake_signal m_signal;
    decltype(m_sleepers)::iterator m_place;
};

runtime::task<void> waiting_requests::sleep(core::quarantine::request_identity request,
                                            std::optional<base::monotonic_time> until) {
    using boost::asio::experimental::awaitable_operators::operator||;
    sleeper here(*this, request);
    auto woken = here.until_woken();
    if (!until) {
        co_await std::move(woken);
        co_return;
    }
    auto timeout = m_scheduler.sleep_until(*until);
    co_await (std::move(woken) || std::move(timeout));
}

void waiting_requests::wake(const core::quarantine::request_identity& request) {
    const auto [first, last] = m_sleepers.equal_range(request);
    std::for_each(first, last, [](const auto& entry) { entry.second->wake(); });
}

void waiting_requests::wake_all() {
    for (const auto& [request, sleeping] : m_sleepers) {
        sleeping->wake();
    }
}

}  // namespace ferryroad::relay
