#include "ferryroad/daemon/daemon.hpp"

#include "ferryroad/caller/caller_front.hpp"
#include "ferryroad/engine/http_client.hpp"
#include "ferryroad/http/client.hpp"
#include "ferryroad/http/server.hpp"
#include "ferryroad/operator/service/operator_server.hpp"
#include "ferryroad/peer/asio_transport.hpp"
#include "ferryroad/platform/http_services.hpp"
#include "ferryroad/router/node.hpp"
#include "ferryroad/router/request/request_metrics.hpp"
#include "ferryroad/runtime/asio_scheduler.hpp"
#include "ferryroad/runtime/event_loop.hpp"
#include "ferryroad/runtime/log.hpp"
#include "ferryroad/runtime/memory_budget.hpp"
#include "ferryroad/runtime/metrics.hpp"
#include "ferryroad/runtime/process_limits.hpp"
#include "ferryroad/runtime/signal_delivery.hpp"

#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/system/system_error.hpp>

#include <algorithm>
#include <csignal>
#include <memory>
#include <random>

namespace ferryroad::daemon {

namespace {

constexpr std::string_view log_component = "daemon";
constexpr int exit_cannot_listen = 1;
/// Time that operators' calls in progress get to end on a planned stop.
constexpr base::duration operator_grace = std::chrono::seconds(2);
/// Interval at which a planned stop checks whether the last request has ended.
constexpr base::duration stop_poll = std::chrono::milliseconds(20);

runtime::log_level level_of(const std::string& name) {
    if (name == "debug") {
        return runtime::log_level::debug;
    }
    if (name == "warning") {
        return runtime::log_level::warning;
    }
    return name == "error" ? runtime::log_level::error : runtime::log_level::info;
}

runtime::process_limits process_limits_of(const daemon_settings& settings) {
    constexpr double bytes_per_megabyte = 1e6;
    return runtime::effective_limits(
        {static_cast<std::size_t>(settings.memory_megabytes * bytes_per_megabyte), 0});
}

http::server_limits server_limits_of(const daemon_settings& settings) {
    // Each request in progress may take a connection to an engine as well.
    constexpr std::size_t connection_divisor = 3;
    const std::size_t descriptors = process_limits_of(settings).file_descriptors;
    http::server_limits limits;
    limits.body_bytes = settings.body_bytes;
    limits.connections =
        std::min<std::size_t>(settings.connections, descriptors / connection_divisor);
    return limits;
}

/// @return the budget of requests, of which the router makes copies, and answers.
std::shared_ptr<runtime::memory_budget> message_memory_of(const daemon_settings& settings) {
    constexpr double share = 3.0 / 16;
    runtime::memory_limits limits;
    limits.total_bytes = static_cast<std::size_t>(
        static_cast<double>(process_limits_of(settings).memory_bytes) * share);
    return std::make_shared<runtime::memory_budget>(limits);
}

peer::transport_limits peer_limits_of(const daemon_settings& settings) {
    constexpr std::size_t divisor = 8;
    runtime::memory_limits memory;
    memory.total_bytes =
        std::max(process_limits_of(settings).memory_bytes / divisor, peer::max_call_bytes);
    memory.small_share = 0;
    peer::transport_limits limits;
    limits.memory = std::make_shared<runtime::memory_budget>(memory);
    return limits;
}

router::node_identity identity_of(const daemon_settings& settings, base::endpoint peer_address,
                                  const base::clock& clock) {
    const auto started = static_cast<std::uint64_t>(clock.unix_milliseconds());
    return {settings.name, base::incarnation(started), settings.zone, settings.region,
            std::move(peer_address)};
}

/// The components of the process, in the order of construction.
struct process {
    explicit process(const daemon_settings& settings)
        : scheduler(context, std::random_device{}()),
          connections(scheduler, http::client_limits{}),
          engines(scheduler, connections),
          table(connections, {settings.platform}),
          objects(connections, {settings.platform}),
          machines(connections, {settings.platform}),
          transport(scheduler, peer_limits_of(settings)),
          peer_address(transport.listen(settings.peer_listen)),
          node(identity_of(settings, peer_address, scheduler), {settings.seeds, settings.policy},
               {scheduler, engines, table, objects, machines, transport}),
          front(scheduler, node.requests(), metrics, [this] { return node.ready_state().ready(); }),
          callers(scheduler, server_limits_of(settings),
                  [this](http::request request, http::response_writer& writer) {
                      return front.handle(std::move(request), writer);
                  }),
          operators(
              {node.configuration(), node.control(), node.status(), node.selector(), scheduler}) {
        node.observe_requests(executions);
        callers.set_memory_budget(message_memory_of(settings));
        callers.set_refusal_hook(
            [this](http::response& answer) { front.complete_refusal(answer); });
    }

    runtime::event_loop context;
    boost::asio::signal_set stop_signals{context, SIGTERM, SIGINT};
    boost::asio::signal_set reload_signals{context, SIGHUP};
    runtime::asio_scheduler scheduler;
    runtime::metrics metrics;
    router::request_metrics executions{metrics};
    http::client connections;
    engine::http_client engines;
    platform::http_table table;
    platform::http_object_store objects;
    platform::http_machine_list machines;
    peer::asio_transport transport;
    base::endpoint peer_address;
    router::node node;
    caller::caller_front front;
    http::server callers;
    operators::operator_server operators;
};

/// Waits for the first stop signal, then drains and stops the process. Later signals are ignored,
/// so that they don't cut short the requests in progress.
runtime::task<void> stop_at_signal(process& running, base::duration grace) {
    co_await running.stop_signals.async_wait(boost::asio::use_awaitable);
    runtime::log(runtime::log_level::info, log_component, "planned stop begins");
    running.node.begin_stop();
    const base::monotonic_time latest = running.scheduler.now() + grace;
    bool drained = false;
    running.scheduler.spawn("daemon.drain", [](process& target, bool& done) -> runtime::task<void> {
        co_await target.callers.drain();
        co_await target.node.drain();
        done = true;
    }(running, drained));
    while (!drained && running.scheduler.now() < latest) {
        co_await running.scheduler.sleep_for(stop_poll);
    }
    co_await running.operators.stop(operator_grace);
    running.node.stop();
    running.transport.stop();
    runtime::log(runtime::log_level::info, log_component, "stopped",
                 {{"drained", drained ? "true" : "false"}});
    running.context.stop();
}

/// Logs reload signals and otherwise ignores them. Supervisors send SIGHUP to the programs they
/// run; it must not end the router, which has nothing to reload: its settings are read at the start
/// only, and its configuration comes from operators' calls.
runtime::task<void> log_reload_signals(process& running) {
    for (;;) {
        co_await running.reload_signals.async_wait(boost::asio::use_awaitable);
        runtime::log(runtime::log_level::warning, log_component,
                     "reload signal changes nothing, settings are read at the start only");
    }
}

}  // namespace

int run_daemon(const daemon_settings& settings) {
    runtime::configure_allocator();
    runtime::start_logging("ferryroad", level_of(settings.log_level));
    try {
        process running(settings);
        const base::endpoint callers = running.callers.listen(settings.caller_listen);
        const auto operators = running.operators.start(settings.operator_listen);
        if (!operators) {
            runtime::log(runtime::log_level::error, log_component, "can't listen",
                         {{"error", operators.error().message}});
            return exit_cannot_listen;
        }
        running.node.start();
        running.scheduler.spawn(log_component, stop_at_signal(running, settings.stop_grace));
        running.scheduler.spawn(log_component, log_reload_signals(running));
        runtime::log(runtime::log_level::info, log_component, "serving",
                     {{"router", settings.name.value},
                      {"caller_address", callers.to_string()},
                      {"operator_address", operators->to_string()},
                      {"peer_address", running.peer_address.to_string()}});
        // Created after the operators' server: its threads still run for a moment while the signal
        // handlers are destroyed.
        const runtime::signal_delivery delivered;
        running.context.run();
        running.context.finish();
    } catch (const boost::system::system_error& failure) {
        runtime::log(runtime::log_level::error, log_component, "can't listen",
                     {{"error", failure.what()}});
        return exit_cannot_listen;
    }
    return 0;
}

}  // namespace ferryroad::daemon
