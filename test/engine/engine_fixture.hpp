/// @file
/// Fixture with emulated engines on loopback and an engine client, all in one event loop.
#pragma once

#include "emulator/engine/application_service.hpp"
#include "emulator/engine/engine_server.hpp"
#include "emulator/engine/model_service.hpp"
#include "ferryroad/engine/http_client.hpp"
#include "test/http/loopback.hpp"

#include <criterion/criterion.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace ferryroad::engine::test {

using namespace std::chrono_literals;

inline const core::prefix::cache_namespace scope{
    base::tenant_name("aire"), base::model_name("m1"), base::weights_version("v1"), {}};
inline constexpr std::uint64_t first_incarnation = 7;

/// Settings of a fast engine whose decode steps are still long enough for a fault to hit the middle
/// of a stream.
inline emulator::engine_model_settings fast_engine_settings() {
    emulator::engine_model_settings settings;
    settings.name = base::engine_name("e1");
    settings.model = scope.model;
    settings.version = scope.version;
    settings.piece_bytes = 16;
    settings.prefill_tokens_per_second = 1e6;
    settings.decode_step = 2ms;
    settings.event_lag = 5ms;
    settings.load_lag = 5ms;
    settings.transfer_per_piece = 1ms;
    settings.model_load = 5ms;
    return settings;
}

/// Timeouts long enough not to expire on a heavily loaded machine.
inline tunables generous_limits() {
    return {.admission = 20s, .start_timeout = 20s, .token_timeout = 20s, .control = 20s};
}

/// Timeouts for tests in which a fault must make them expire.
inline tunables short_limits() {
    return {.admission = 150ms, .start_timeout = 150ms, .token_timeout = 150ms, .control = 150ms};
}

struct engine_fixture {
    /// Starts an engine.
    /// @return the target to address it with.
    engine_target start(std::unique_ptr<emulator::engine_service> service) {
        servers.push_back(
            std::make_unique<emulator::engine_server>(loop.scheduler, std::move(service)));
        engine_target target;
        target.name = base::engine_name("e" + std::to_string(servers.size()));
        target.address = servers.back()->listen(ferryroad::test::any_port);
        target.incarnation = servers.back()->service().process();
        return target;
    }
    engine_target start_model(emulator::engine_model_settings settings = fast_engine_settings()) {
        return start(std::make_unique<emulator::model_service>(
            loop.scheduler, connections, std::move(settings),
            base::incarnation(first_incarnation)));
    }
    engine_target start_application() {
        return start(std::make_unique<emulator::application_service>(
            loop.scheduler, emulator::application_model_settings{},
            base::incarnation(first_incarnation)));
    }
    emulator::engine_service& service(std::size_t index = 0) { return servers[index]->service(); }

    ferryroad::test::loopback loop;
    http::client connections{loop.scheduler, http::client_limits{}};
    http_client client{loop.scheduler, connections, generous_limits()};
    std::vector<std::unique_ptr<emulator::engine_server>> servers;
};

/// Runs a test body to completion. Test bodies are functions because GCC 12 mishandles coroutine
/// lambdas inside Criterion tests.
inline void run_with_fixture(runtime::task<void> (*body)(engine_fixture&)) {
    engine_fixture fixture;
    cr_assert(fixture.loop.run([&] { return body(fixture); }), "the test body did not complete");
}

inline generation_request request_of(const std::string& attempt,
                                     const std::string& prompt = std::string(64, 'p')) {
    generation_request request;
    request.request = base::request_id("r-" + attempt);
    request.attempt = base::attempt_id(attempt);
    request.scope = scope;
    request.expected_incarnation = base::incarnation(first_incarnation);
    request.prompt = std::make_shared<const std::string>(prompt);
    request.max_tokens = 5;
    request.time_left = 20s;
    return request;
}

/// Everything read from one stream.
struct stream_outcome {
    std::vector<std::uint32_t> indexes;
    std::string text;
    std::optional<stream_started> started;
    std::optional<stream_end> end;
    std::optional<error> failure;
};

/// Reads events until the end event, an error, or `tokens` tokens.
inline runtime::task<stream_outcome> read_stream(result<std::unique_ptr<generation_stream>>& stream,
                                                 std::size_t tokens = 1000) {
    stream_outcome outcome;
    if (stream.has_error()) {
        outcome.failure = stream.error();
        co_return outcome;
    }
    while (!outcome.end && !outcome.failure && outcome.indexes.size() < tokens) {
        auto event = co_await (*stream)->next();
        if (event.has_error()) {
            outcome.failure = event.error();
        } else if (const auto* token = std::get_if<stream_token>(&*event)) {
            outcome.indexes.push_back(token->index);
            outcome.text += token->text;
        } else if (const auto* started = std::get_if<stream_started>(&*event)) {
            outcome.started = *started;
        } else {
            outcome.end = std::get<stream_end>(*event);
        }
    }
    co_return outcome;
}

}  // namespace ferryroad::engine::test
