#include "emulator/engine/engine_program.hpp"

#include "emulator/engine/application_service.hpp"
#include "emulator/engine/engine_server.hpp"
#include "emulator/engine/machine_registration.hpp"
#include "emulator/engine/model_service.hpp"
#include "ferryroad/runtime/asio_scheduler.hpp"
#include "ferryroad/runtime/log.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/system/system_error.hpp>

#include <csignal>
#include <memory>
#include <random>

namespace ferryroad::emulator {

namespace {

constexpr std::string_view log_component = "engine.program";
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

/// A running engine with its server, its client connections and its registration.
struct running_engine {
    explicit running_engine(const engine_settings& settings)
        : scheduler(context, std::random_device{}()),
          connections(scheduler, http::client_limits{}),
          server(scheduler, make_service(settings)) {}

    std::unique_ptr<engine_service> make_service(const engine_settings& settings) {
        const auto clock_number = static_cast<std::uint64_t>(scheduler.unix_milliseconds());
        const base::incarnation process(settings.incarnation != 0 ? settings.incarnation
                                                                  : clock_number);
        if (settings.kind == "application") {
            application_model_settings application = settings.application;
            application.name = settings.engine.name;
            return std::make_unique<application_service>(scheduler, application, process);
        }
        return std::make_unique<model_service>(scheduler, connections, model_settings(settings),
                                               process);
    }

    boost::asio::io_context context{1};
    runtime::asio_scheduler scheduler;
    http::client connections;
    engine_server server;
    std::unique_ptr<machine_registration> registration;
};

void register_machine(running_engine& engine, const engine_settings& settings,
                      const base::endpoint& address) {
    if (settings.platform.port == 0) {
        return;
    }
    platform::machine machine;
    machine.name = settings.engine.name.value;
    machine.kind = platform::machine_kind::engine;
    machine.address = address;
    machine.zone = settings.zone;
    machine.region = settings.region;
    machine.pool = settings.pool.value;
    machine.state = platform::machine_state::live;
    engine.registration = std::make_unique<machine_registration>(
        engine.scheduler, engine.connections, settings.platform, std::move(machine));
    engine.scheduler.spawn(log_component, engine.registration->keep_registered());
}

/// Stops gracefully on the first signal; later signals have no effect.
runtime::task<void> stop_at_signal(running_engine& engine) {
    boost::asio::signal_set signals(engine.context, SIGTERM, SIGINT);
    co_await signals.async_wait(boost::asio::use_awaitable);
    runtime::log(runtime::log_level::info, log_component, "stopping");
    engine.server.service().set_leaving(true);
    if (engine.registration) {
        co_await engine.registration->mark_leaving();
    }
    co_await engine.server.stop();
    runtime::log(runtime::log_level::info, log_component, "stopped");
    engine.context.stop();
}

}  // namespace

int run_engine(const engine_settings& settings) {
    runtime::start_logging("ferry-engine", level_of(settings.log_level));
    running_engine engine(settings);
    try {
        const base::endpoint address = engine.server.listen(settings.listen);
        register_machine(engine, settings, address);
        runtime::log(runtime::log_level::info, log_component, "serving",
                     {{"address", address.to_string()},
                      {"engine", settings.engine.name.value},
                      {"kind", settings.kind},
                      {"incarnation", std::to_string(engine.server.service().process().value)}});
    } catch (const boost::system::system_error& failure) {
        runtime::log(runtime::log_level::error, log_component, "can't listen",
                     {{"address", settings.listen.to_string()}, {"error", failure.what()}});
        return exit_cannot_listen;
    }
    engine.scheduler.spawn(log_component, stop_at_signal(engine));
    engine.context.run();
    return 0;
}

}  // namespace ferryroad::emulator
