#include "emulator/platform/platform_program.hpp"

#include "emulator/platform/platform_server.hpp"
#include "ferryroad/runtime/asio_scheduler.hpp"
#include "ferryroad/runtime/log.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/system/system_error.hpp>

#include <csignal>

namespace ferryroad::emulator {

namespace {

constexpr std::string_view log_component = "platform.program";
constexpr int exit_cannot_listen = 1;

runtime::log_level level_of(const std::string& name) {
    if (name == "debug") {
        return runtime::log_level::debug;
    }
    if (name == "warning") {
        return runtime::log_level::warning;
    }
    return name == "error" ? runtime::log_level::error : runtime::log_level::info;
}

/// Stops gracefully on the first signal; later signals have no effect.
runtime::task<void> stop_at_signal(boost::asio::io_context& context, platform_server& server) {
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    co_await signals.async_wait(boost::asio::use_awaitable);
    runtime::log(runtime::log_level::info, log_component, "stopping");
    co_await server.drain();
    runtime::log(runtime::log_level::info, log_component, "stopped");
    context.stop();
}

}  // namespace

settings::schema describe(platform_settings& target) {
    settings::schema schema("ferry-platform",
                            "Stands in for the platform: table, object store, weight store, "
                            "machine list.");
    platform_options& options = target.options;
    schema.add("listen", "Address to listen on; port 0 takes a free one.", target.listen,
               settings::presence::required);
    schema.add("table_rate", "Table calls a second; 0: no limit.", options.table_rate);
    schema.add("object_rate", "Object store calls a second; 0: no limit.", options.object_rate);
    schema.add("weights_rate", "Weight store calls a second; 0: no limit.", options.weights_rate);
    schema.add("machine_rate", "Machine list calls a second; 0: no limit.", options.machine_rate);
    schema.add("burst_ms", "So much time's calls may come at once.", options.burst);
    schema.add("call_time_ms", "Typical time of a call; it varies by half.", options.call_time);
    schema.add("machine_list_lag_ms", "Age of the machine list.", options.machine_list_lag);
    schema.add("weights_bytes", "Size of a model's weights.", options.weights_bytes);
    schema.add("weights_bytes_per_second", "Speed that all weight transfers share.",
               options.weights_bytes_per_second, settings::range{1, 1e15});
    schema.add("seed", "Seed of the calls' times.", target.seed);
    schema.add_choice("log_level", "Lowest level logged.", target.log_level,
                      {"debug", "info", "warning", "error"});
    return schema;
}

int run_platform(const platform_settings& settings) {
    runtime::start_logging("ferry-platform", level_of(settings.log_level));
    boost::asio::io_context context(1);
    runtime::asio_scheduler scheduler(context, settings.seed);
    platform_server server(scheduler, settings.options);
    try {
        const base::endpoint address = server.listen(settings.listen);
        runtime::log(runtime::log_level::info, log_component, "serving",
                     {{"address", address.to_string()}});
    } catch (const boost::system::system_error& failure) {
        runtime::log(runtime::log_level::error, log_component, "can't listen",
                     {{"address", settings.listen.to_string()}, {"error", failure.what()}});
        return exit_cannot_listen;
    }
    scheduler.spawn(log_component, stop_at_signal(context, server));
    context.run();
    return 0;
}

}  // namespace ferryroad::emulator
