#include "ferryroad/relay/stored_row_reader.hpp"

#include "ferryroad/coordination/stream/origin_rows.hpp"
#include "ferryroad/runtime/log.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <string>
#include <utility>

namespace ferryroad::relay {

namespace {

constexpr std::string_view component = "relay.origins";

}  // namespace

/// A call of `refresh`: its timer ends early when a read is complete.
class stored_row_reader::waiting_call {
  public:
    explicit waiting_call(stored_row_reader& owner)
        : m_owner(owner), m_timer(owner.m_scheduler.executor()) {
        m_owner.m_waiting.insert(&m_timer);
    }
    ~waiting_call() { m_owner.m_waiting.erase(&m_timer); }
    waiting_call(const waiting_call&) = delete;
    waiting_call& operator=(const waiting_call&) = delete;

    runtime::task<void> wait(base::duration longest) {
        m_timer.expires_after(longest);
        co_await m_timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
    }

  private:
    stored_row_reader& m_owner;
    runtime::boot_timer m_timer;
};

stored_row_reader::stored_row_reader(runtime::scheduler& scheduler, platform::table& table,
                                     const owner_clock& clock, row_handler handler,
                                     stored_row_reader_settings settings)
    : m_scheduler(scheduler),
      m_table(table),
      m_clock(clock),
      m_handler(std::move(handler)),
      m_settings(settings) {}

void stored_row_reader::request() {
    m_wanted = true;
    if (!m_running) {
        m_running = true;
        m_scheduler.spawn(component, run());
    }
}

runtime::task<bool> stored_row_reader::refresh(base::duration timeout) {
    const base::monotonic_time asked = m_scheduler.now();
    waiting_call call(*this);
    request();
    base::duration left = timeout;
    while (!is_complete_since(asked) && left > base::duration{}) {
        co_await call.wait(left);
        left = asked + timeout - m_scheduler.now();
    }
    co_return is_complete_since(asked);
}

runtime::task<void> stored_row_reader::run() {
    while (m_wanted && !m_stopped) {
        co_await m_scheduler.sleep_until(m_next_start);
        m_wanted = false;
        const base::monotonic_time start = m_scheduler.now();
        m_next_start = start + m_settings.period;
        const bool complete = co_await read_rows();
        if (complete) {
            m_complete_from = start;
            for (runtime::boot_timer* timer : m_waiting) {
                timer->cancel();
            }
        } else if (!has_read() || !m_waiting.empty()) {
            m_wanted = true;
        }
    }
    m_running = false;
}

platform::row_key stored_row_reader::first_key() const {
    if (m_next_key) {
        return *m_next_key;
    }
    const base::monotonic_time since = m_complete_from ? *m_complete_from - m_settings.overlap
                                                       : m_scheduler.now() - m_settings.first_span;
    return platform::row_key(
        coordination::stream::first_origin_key(m_clock.to_owner_earliest(since)));
}

runtime::task<bool> stored_row_reader::read_rows() {
    if (!m_clock.known()) {
        co_return false;
    }
    platform::row_key key = first_key();
    for (std::size_t page = 0; page < m_settings.max_pages; ++page) {
        ++m_counters.calls;
        std::string prefix;
        platform::row_key after = key;
        const auto rows =
            co_await m_table.scan(std::move(prefix), std::move(after), m_settings.page_rows);
        if (!rows) {
            ++m_counters.failures;
            log_failure(rows.error());
            if (m_waiting.empty()) {
                m_next_start = m_scheduler.now() + m_settings.retry;
            }
            co_return false;
        }
        if (rows->empty()) {
            m_next_key.reset();
            co_return true;
        }
        key = rows->back().key;
        m_handler(*rows);
    }
    m_next_key = std::move(key);
    co_return false;
}

void stored_row_reader::log_failure(const platform::error& failure) {
    const base::monotonic_time now = m_scheduler.now();
    if (!m_logged_at || now - *m_logged_at >= m_settings.log_period) {
        m_logged_at = now;
        runtime::log(runtime::log_level::warning, component, "stored stream origins not read",
                     {{"error", failure.message},
                      {"failures", std::to_string(m_counters.failures)},
                      {"read_before", has_read() ? "true" : "false"}});
    }
}

}  // namespace ferryroad::relay
