#include "emulator/engine/application_service.hpp"

#include "ferryroad/engine/protocol/answers.hpp"
#include "ferryroad/engine/protocol/headers.hpp"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <charconv>
#include <utility>

namespace ferryroad::emulator {

namespace {

namespace protocol = engine::protocol;

constexpr unsigned status_ok = 200;

std::string header_text(const http::request& request, std::string_view name) {
    return std::string(request.headers.find(name).value_or(""));
}

std::uint64_t header_number(const http::request& request, std::string_view name) {
    const std::string text = header_text(request, name);
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

/// @return the call, with the protocol's prefix removed from its path.
engine::application_request read_call(http::request request) {
    engine::application_request call;
    call.request = base::request_id(header_text(request, protocol::request_id_header));
    call.attempt = base::attempt_id(header_text(request, protocol::attempt_id_header));
    if (const auto key = request.headers.find(protocol::idempotency_key_header)) {
        call.key.emplace(std::string(*key));
    }
    call.tenant = base::tenant_name(header_text(request, protocol::tenant_header));
    call.expected_incarnation =
        base::incarnation(header_number(request, protocol::expected_incarnation_header));
    call.method = request.method;
    call.path = request.target.substr(protocol::application_prefix.size());
    call.content_type = header_text(request, protocol::content_type_header);
    call.body = std::move(request.body);
    return call;
}

engine::error refuse(engine::error_code code, std::string message) {
    return {code, engine::proof::not_run, std::move(message), std::nullopt};
}

}  // namespace

application_service::application_service(runtime::scheduler& scheduler,
                                         application_model_settings settings,
                                         base::incarnation process)
    : scheduler_(scheduler), model_(std::move(settings), process), faults_(scheduler) {}

runtime::task<void> application_service::handle(http::request request,
                                                http::response_writer& writer) {
    co_await faults_.wait_unfrozen();
    const std::string path(request.path());
    if (path.starts_with(std::string(protocol::application_prefix) + "/")) {
        co_await call(std::move(request), writer);
    } else if (request.method == "GET" && path == protocol::load_path) {
        http::response reply = json_response(status_ok, protocol::encode(model_.load()));
        co_await faults_.answer(std::move(reply), writer);
    } else {
        const engine::error failure = refuse(engine::error_code::not_found, "no such path");
        co_await faults_.answer(error_response(failure), writer);
    }
}

runtime::task<void> application_service::call(http::request request,
                                              http::response_writer& writer) {
    const engine::application_request received = read_call(std::move(request));
    if (received.attempt.value.empty()) {
        const engine::error failure =
            refuse(engine::error_code::refused_bad_request, "no attempt id");
        co_await faults_.answer(error_response(failure), writer);
        co_return;
    }
    const outcome<call_ticket> ticket = model_.submit(received, scheduler_.now());
    if (ticket.has_error()) {
        http::response refusal = error_response(ticket.error(), received.attempt);
        co_await faults_.answer(std::move(refusal), writer);
        co_return;
    }
    co_await scheduler_.sleep_until(ticket->ready_at);
    if (!model_.finish(ticket->attempt)) {
        writer.abort();
        co_return;
    }
    co_await faults_.answer(echo(received), writer);
}

http::response application_service::echo(const engine::application_request& request) const {
    boost::json::object body{
        {"request_id", request.request.value}, {"method", request.method}, {"path", request.path}};
    if (request.body.empty()) {
        body["body"] = nullptr;
    } else if (const auto parsed = http::parse_json(request.body); parsed.has_value()) {
        body["body"] = *parsed;
    } else {
        body["body"] = request.body;
    }
    http::response reply = json_response(status_ok, boost::json::serialize(body));
    reply.headers.add(std::string(protocol::incarnation_header),
                      std::to_string(model_.process().value));
    reply.headers.add(std::string(protocol::attempt_id_header), request.attempt.value);
    return reply;
}

void application_service::apply(const fault_request& request) {
    faults_.apply(request);
    apply_model_faults(model_, request);
}

}  // namespace ferryroad::emulator
