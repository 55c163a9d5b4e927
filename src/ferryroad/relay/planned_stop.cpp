#include "ferryroad/relay/planned_stop.hpp"

#include <boost/asio/experimental/awaitable_operators.hpp>

#include <algorithm>

namespace ferryroad::relay {

runtime::task<void> planned_stop(runtime::scheduler& scheduler, http::server& callers,
                                 stop_settings settings, stop_actions actions) {
    const base::monotonic_time last = scheduler.now() + settings.grace - settings.margin;
    actions.begin(last);
    callers.disable_keep_alive();
    const base::duration notice = std::min(settings.notice, settings.grace / 3);
    co_await scheduler.sleep_for(notice);
    actions.refuse_new();
    co_await drain_until(scheduler, callers, last);
    actions.end_requests();
    co_await drain_until(scheduler, callers, last + settings.last_responses);
}

runtime::task<void> drain_until(runtime::scheduler& scheduler, http::server& server,
                                base::monotonic_time last) {
    using boost::asio::experimental::awaitable_operators::operator||;
    co_await (server.drain() || scheduler.sleep_until(last));
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
