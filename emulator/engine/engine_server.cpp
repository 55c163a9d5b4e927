#include "emulator/engine/engine_server.hpp"

#include "ferryroad/runtime/log.hpp"

#include <boost/system/system_error.hpp>

#include <algorithm>
#include <utility>

namespace ferryroad::emulator {

namespace {

constexpr unsigned status_ok = 200;
constexpr std::string_view log_component = "engine.server";
constexpr std::string_view executions_path = "/emulator/executions";
constexpr std::string_view faults_path = "/emulator/faults";
constexpr base::duration listen_retry = std::chrono::milliseconds(50);
constexpr base::duration idle_poll = std::chrono::milliseconds(20);
/// Large enough for a prompt that fills the whole context.
constexpr std::size_t largest_body = std::size_t{32} * 1024 * 1024;

}  // namespace

engine_server::engine_server(runtime::scheduler& scheduler, std::unique_ptr<engine_service> service)
    : scheduler_(scheduler), service_(std::move(service)) {}

base::endpoint engine_server::listen(const base::endpoint& address) {
    address_ = address;
    open();
    return address_;
}

void engine_server::open() {
    http::server_limits limits;
    limits.body_bytes = largest_body;
    auto opened = std::make_unique<http::server>(
        scheduler_, limits, [this](http::request request, http::response_writer& writer) {
            return handle(std::move(request), writer);
        });
    address_ = opened->listen(address_);
    server_ = std::move(opened);
}

runtime::task<void> engine_server::handle(http::request request, http::response_writer& writer) {
    const std::string path(request.path());
    if (request.method == "GET" && path == executions_path) {
        http::response reply =
            json_response(status_ok, executions_json(service_->process(), service_->executions()));
        [[maybe_unused]] const auto sent = co_await writer.send(std::move(reply));
    } else if (request.method == "POST" && path == faults_path) {
        std::string body = request.body.to_string();
        co_await handle_faults(std::move(body), writer);
    } else {
        co_await service_->handle(std::move(request), writer);
    }
}

runtime::task<void> engine_server::handle_faults(std::string body, http::response_writer& writer) {
    const auto request = decode_faults(body);
    if (request.has_error()) {
        http::response refusal = malformed_response(request.error());
        [[maybe_unused]] const auto sent = co_await writer.send(std::move(refusal));
        co_return;
    }
    runtime::log(runtime::log_level::info, log_component, "faults set", {{"faults", body}});
    service_->apply(*request);
    http::response reply = json_response(status_ok, "{}");
    [[maybe_unused]] const auto sent = co_await writer.send(std::move(reply));
    if (request->crash) {
        scheduler_.spawn(log_component, crash(request->restart));
    }
}

runtime::task<void> engine_server::crash(base::duration delay) {
    if (!server_ || stopping_) {
        co_return;
    }
    service_->crash();
    server_.reset();
    co_await scheduler_.sleep_for(delay);
    co_await reopen();
}

runtime::task<void> engine_server::reopen() {
    const auto clock_number = static_cast<std::uint64_t>(scheduler_.unix_milliseconds());
    const base::incarnation next(std::max(service_->process().value + 1, clock_number));
    service_->restart(next);
    while (!server_) {
        try {
            open();
        } catch (const boost::system::system_error& failure) {
            runtime::log(runtime::log_level::warning, log_component, "can't listen yet",
                         {{"error", failure.what()}});
        }
        if (!server_) {
            co_await scheduler_.sleep_for(listen_retry);
        }
    }
    runtime::log(runtime::log_level::info, log_component, "restarted after an emulated crash",
                 {{"incarnation", std::to_string(next.value)}});
}

runtime::task<void> engine_server::stop() {
    stopping_ = true;
    service_->set_leaving(true);
    while (!service_->idle()) {
        co_await scheduler_.sleep_for(idle_poll);
    }
    if (server_) {
        co_await server_->drain();
    }
}

}  // namespace ferryroad::emulator
