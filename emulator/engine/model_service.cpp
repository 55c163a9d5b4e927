#include "emulator/engine/model_service.hpp"

#include "emulator/engine/state_codec.hpp"
#include "emulator/engine/stream_writer.hpp"
#include "ferryroad/engine/protocol/answers.hpp"
#include "ferryroad/engine/protocol/headers.hpp"
#include "ferryroad/engine/protocol/requests.hpp"
#include "ferryroad/runtime/log.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

namespace ferryroad::emulator {

namespace {

namespace protocol = engine::protocol;

constexpr unsigned status_ok = 200;
constexpr std::string_view log_component = "engine.model";
constexpr base::duration state_fetch_timeout = std::chrono::seconds(10);
constexpr base::duration longest_event_wait = std::chrono::seconds(30);
/// Interval at which a waiting call looks for new cache events if none is due to be published.
constexpr base::duration shortest_event_wait = std::chrono::milliseconds(10);

engine::error unknown_path() {
    return {engine::error_code::not_found, engine::proof::not_run, "no such path", std::nullopt};
}

engine::error refused_import(std::string message) {
    return {engine::error_code::refused_import, engine::proof::not_run, std::move(message),
            std::nullopt};
}

std::uint64_t query_number(const http::request& request, std::string_view name) {
    const std::string text = request.query(name).value_or("");
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

}  // namespace

model_service::model_service(runtime::scheduler& scheduler, http::client& peers,
                             engine_model_settings settings, base::incarnation process)
    : scheduler_(scheduler),
      peers_(peers),
      model_(std::move(settings), process),
      faults_(scheduler),
      streams_(scheduler.executor()),
      wake_(scheduler.executor()) {
    scheduler_.spawn("engine.model", run_model());
}

runtime::task<void> model_service::run_model() {
    for (;;) {
        streams_.dispatch(model_.advance(scheduler_.now()));
        const std::optional<base::monotonic_time> next = model_.next_wakeup();
        if (next) {
            co_await wake_.wait_until(timer_time(*next));
        } else {
            co_await wake_.wait();
        }
    }
}

void model_service::dispatch_outputs() {
    streams_.dispatch(model_.advance(scheduler_.now()));
    wake_.notify();
}

runtime::task<void> model_service::handle(http::request request, http::response_writer& writer) {
    co_await faults_.wait_unfrozen();
    const std::string path(request.path());
    const bool posts = request.method == "POST";
    std::string body = request.body.to_string();
    if (posts && path == protocol::generate_path) {
        co_await generate(std::move(body), writer);
    } else if (posts && path == protocol::resume_path) {
        co_await resume(std::move(body), writer);
    } else if (posts && path == protocol::cancel_path) {
        co_await faults_.answer(cancel(body), writer);
    } else if (posts && path == protocol::orders_path) {
        co_await faults_.answer(order(body), writer);
    } else if (posts && path == protocol::export_path) {
        co_await faults_.answer(export_state(body), writer);
    } else if (posts && path == protocol::import_path) {
        http::response reply = co_await import_state(std::move(body));
        co_await faults_.answer(std::move(reply), writer);
    } else if (!posts && path == protocol::load_path) {
        http::response reply =
            json_response(status_ok, protocol::encode(model_.load(scheduler_.now())));
        co_await faults_.answer(std::move(reply), writer);
    } else if (!posts && path == protocol::events_path) {
        http::response reply = co_await events(std::move(request));
        co_await faults_.answer(std::move(reply), writer);
    } else {
        co_await faults_.answer(error_response(unknown_path()), writer);
    }
}

runtime::task<void> model_service::generate(std::string body, http::response_writer& writer) {
    const auto request = protocol::decode_generation(body);
    if (request.has_error()) {
        co_await faults_.answer(malformed_response(request.error()), writer);
        co_return;
    }
    const outcome<attempt_handle> admitted = model_.submit(*request, scheduler_.now());
    if (admitted.has_error()) {
        http::response refusal = error_response(admitted.error(), request->attempt);
        co_await faults_.answer(std::move(refusal), writer);
        co_return;
    }
    runtime::log(runtime::log_level::debug, log_component, "attempt admitted",
                 {{"request_id", request->request.value},
                  {"attempt_id", request->attempt.value},
                  {"tenant", request->scope.tenant.value}});
    co_await stream(*admitted, writer);
}

runtime::task<void> model_service::resume(std::string body, http::response_writer& writer) {
    const auto request = protocol::decode_resume(body);
    if (request.has_error()) {
        co_await faults_.answer(malformed_response(request.error()), writer);
        co_return;
    }
    const outcome<attempt_handle> resumed = model_.resume(
        request->attempt, request->first_token, request->expected_incarnation, scheduler_.now());
    if (resumed.has_error()) {
        http::response refusal = error_response(resumed.error(), request->attempt);
        co_await faults_.answer(std::move(refusal), writer);
        co_return;
    }
    co_await stream(*resumed, writer);
}

runtime::task<void> model_service::stream(attempt_handle attempt, http::response_writer& writer) {
    const auto reader = streams_.open(attempt);
    dispatch_outputs();
    stream_ending ending = stream_ending::cut;
    if (!faults_.consume_lost_answer()) {
        stream_writer lines(model_.execution(attempt).attempt, reader, faults_, writer);
        ending = co_await lines.run();
    }
    if (ending != stream_ending::complete) {
        writer.abort();
    }
    const bool was_reading = streams_.close(attempt, reader);
    if (ending != stream_ending::complete && was_reading) {
        model_.detach(attempt, scheduler_.now());
        dispatch_outputs();
    }
}

http::response model_service::cancel(const std::string& body) {
    const auto request = protocol::decode_cancel(body);
    if (request.has_error()) {
        return malformed_response(request.error());
    }
    model_.cancel(request->attempt, scheduler_.now());
    dispatch_outputs();
    return json_response(status_ok, "{}");
}

http::response model_service::order(const std::string& body) {
    const auto call = protocol::decode_order(body);
    if (call.has_error()) {
        return malformed_response(call.error());
    }
    const outcome<void> accepted =
        model_.order(call->order, call->token, call->expected_incarnation, scheduler_.now());
    dispatch_outputs();
    return accepted.has_error() ? error_response(accepted.error()) : json_response(status_ok, "{}");
}

http::response model_service::export_state(const std::string& body) {
    const auto request = protocol::decode_export(body);
    if (request.has_error()) {
        return malformed_response(request.error());
    }
    const outcome<exported_state> state =
        model_.export_state(request->scope, request->pieces, scheduler_.now());
    return state.has_error() ? error_response(state.error())
                             : json_response(status_ok, encode(*state));
}

runtime::task<http::response> model_service::import_state(std::string body) {
    const auto call = protocol::decode_import(body);
    if (call.has_error()) {
        co_return malformed_response(call.error());
    }
    const outcome<exported_state> state = co_await fetch_state(call->request);
    if (state.has_error()) {
        co_return error_response(state.error());
    }
    const outcome<import_ticket> ticket =
        model_.import_state(call->request, *state, call->expected_incarnation, scheduler_.now());
    if (ticket.has_error()) {
        co_return error_response(ticket.error());
    }
    dispatch_outputs();
    const base::incarnation process = model_.process();
    co_await scheduler_.sleep_until(ticket->ready_at);
    if (process != model_.process()) {
        co_return error_response(refused_import("crashed in the meantime"));
    }
    const std::uint32_t cached =
        model_.held_pieces(call->request.scope, call->request.pieces, scheduler_.now());
    co_return json_response(status_ok, protocol::encode(engine::import_answer{cached}));
}

runtime::task<outcome<exported_state>> model_service::fetch_state(engine::import_request request) {
    http::request message;
    message.method = "POST";
    message.target = protocol::export_path;
    message.body = protocol::encode(protocol::export_request{request.scope, request.pieces});
    const base::endpoint source = request.source.address;
    const auto answer = co_await peers_.send(source, std::move(message), state_fetch_timeout,
                                             http::resend::allowed);
    if (answer.has_error()) {
        co_return refused_import("source: " + answer.error().message);
    }
    if (answer->status != status_ok) {
        co_return refused_import("source: status " + std::to_string(answer->status));
    }
    auto state = decode_state(answer->body);
    if (state.has_error()) {
        co_return refused_import("source: " + state.error().message);
    }
    co_return std::move(*state);
}

runtime::task<http::response> model_service::events(http::request request) {
    const base::incarnation process(query_number(request, "incarnation"));
    const std::uint64_t from = query_number(request, "from");
    const base::duration wait = std::min<base::duration>(
        std::chrono::milliseconds(query_number(request, "wait_ms")), longest_event_wait);
    const base::monotonic_time deadline = scheduler_.now() + wait;
    for (;;) {
        const base::monotonic_time now = scheduler_.now();
        const engine::cache_event_batch batch = model_.events_since(process, from, now);
        if (!batch.events.empty() || batch.gap || now >= deadline || model_.leaving()) {
            co_return json_response(status_ok, protocol::encode(batch));
        }
        const base::duration lag = std::max(model_.settings().event_lag, shortest_event_wait);
        const base::monotonic_time next = model_.next_event_publication(now).value_or(now + lag);
        co_await scheduler_.sleep_until(std::min(next, deadline));
    }
}

void model_service::apply(const fault_request& request) {
    const base::monotonic_time now = scheduler_.now();
    faults_.apply(request);
    apply_model_faults(model_, request);
    if (request.clear) {
        model_.thaw(now);
    }
    if (request.freeze) {
        model_.freeze(now, *request.freeze);
    }
    model_.lose_events(request.event_gap.value_or(0));
    dispatch_outputs();
}

void model_service::crash() {
    model_.crash(scheduler_.now());
    dispatch_outputs();
}

void model_service::restart(base::incarnation process) {
    model_.restart(process, scheduler_.now());
    dispatch_outputs();
}

}  // namespace ferryroad::emulator
