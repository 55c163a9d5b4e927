#include "ferryroad/quotas/pending_verdict.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace ferryroad::quotas {

runtime::task<std::optional<coordination::quota::quota_verdict>> pending_verdict::wait(
    base::duration timeout) {
    m_timer.expires_after(timeout);
    if (!m_verdict) {
        co_await m_timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
    }
    co_return std::exchange(m_verdict, std::nullopt);
}

void pending_verdict::resolve(const coordination::quota::quota_verdict& verdict) {
    m_verdict = verdict;
    m_timer.cancel();
}

}  // namespace ferryroad::quotas
