#include "ferryroad/relay/planned_stop.hpp"

#include <boost/asio/experimental/awaitable_operators.hpp>

#include <algorithm>

namespace ferryroad::relay {

runtime::task<void> planned_stop(runtime::scheduler& scheduler, http::server& callers,
                                 stop_settings settings) {
    using boost::asio::experimental::awaitable_operators::operator||;
    const base::monotonic_time last = scheduler.now() + settings.grace - settings.margin;
    callers.begin_leaving();
    co_await scheduler.sleep_until(std::min(scheduler.now() + settings.notice, last));
    co_await (callers.drain() || scheduler.sleep_until(last));
}

http::server_limits server_limits_of(const core::traffic::caller_limits& declared) {
    http::server_limits limits;
    limits.header_bytes = declared.header_bytes;
    limits.body_bytes = declared.body_bytes;
    limits.header_read = declared.header_read;
    limits.idle = declared.idle;
    return limits;
}

}  // namespace ferryroad::relay
