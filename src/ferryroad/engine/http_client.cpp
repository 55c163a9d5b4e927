#include "ferryroad/engine/http_client.hpp"

#include "ferryroad/engine/protocol/answers.hpp"
#include "ferryroad/engine/protocol/headers.hpp"
#include "ferryroad/engine/protocol/requests.hpp"
#include "ferryroad/engine/stream_checker.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

namespace ferryroad::engine {

namespace {

constexpr unsigned status_ok = 200;
/// A resumed stream has no request deadline; only the limits on silence between events end it.
constexpr base::duration resumed_stream_deadline = std::chrono::hours(24);

error to_engine_error(const http::error& failure) {
    switch (failure.code) {
        case http::error_code::connect_failed:
        case http::error_code::withheld:
            return {error_code::connect_failed, proof::not_sent, failure.message, std::nullopt};
        case http::error_code::connection_lost:
            return {error_code::connection_lost, proof::unknown, failure.message, std::nullopt};
        case http::error_code::timed_out:
            return {error_code::timed_out, proof::unknown, failure.message, std::nullopt};
        case http::error_code::malformed:
        case http::error_code::too_large:
            break;
    }
    return {error_code::protocol_violation, proof::unknown, failure.message, std::nullopt};
}

error deadline_passed() {
    return {error_code::timed_out, proof::not_sent,
            "request deadline passed before the request was sent", std::nullopt};
}

http::request make_post(std::string_view path, std::string body) {
    http::request message;
    message.method = "POST";
    message.target = path;
    message.headers.add(std::string(protocol::content_type_header),
                        std::string(protocol::json_content));
    message.body = std::move(body);
    return message;
}

http::request make_get(std::string target) {
    http::request message;
    message.target = std::move(target);
    return message;
}

http::request make_application_request(application_request request) {
    http::request message;
    const auto add = [&message](std::string_view name, std::string value) {
        message.headers.add(std::string(name), std::move(value));
    };
    message.method = std::move(request.method);
    message.target = std::string(protocol::application_prefix) + request.path;
    message.body = std::move(request.body);
    add(protocol::request_id_header, request.request.value);
    add(protocol::attempt_id_header, request.attempt.value);
    add(protocol::tenant_header, request.tenant.value);
    add(protocol::expected_incarnation_header, std::to_string(request.expected_incarnation.value));
    add(protocol::priority_header,
        std::string(protocol::name_in(protocol::priority_names, request.urgency)));
    add(protocol::time_left_header, std::to_string(base::to_milliseconds(request.time_left)));
    if (request.key) {
        add(protocol::idempotency_key_header, request.key->value);
    }
    if (!request.content_type.empty()) {
        add(protocol::content_type_header, request.content_type);
    }
    return message;
}

base::incarnation incarnation_of(const http::header_list& headers) {
    const std::string_view text = headers.find(protocol::incarnation_header).value_or("");
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return base::incarnation(value);
}

/// @return the error that an answer other than the expected one states. It proves nothing unless
/// the answer names the attempt, as it may be a surplus one to an earlier call on the connection.
error attempt_error(unsigned status, const http::header_list& headers, std::string_view body,
                    const base::attempt_id& attempt) {
    error failure = protocol::decode_error(status, body);
    if (headers.find(protocol::attempt_id_header) != std::string_view(attempt.value)) {
        failure.proves = proof::unknown;
    }
    return failure;
}

/// Converts an application's response after checking that it belongs to `attempt` and comes from
/// incarnation `expected`; otherwise returns the engine's error or `protocol_violation`.
result<application_answer> check_application(http::response answer, const base::attempt_id& attempt,
                                             base::incarnation expected) {
    if (answer.headers.find(protocol::execution_header)) {
        return attempt_error(answer.status, answer.headers, answer.body, attempt);
    }
    const bool same_attempt = answer.headers.find(protocol::attempt_id_header) == attempt.value;
    const base::incarnation incarnation = incarnation_of(answer.headers);
    if (!same_attempt || incarnation != expected) {
        return error{error_code::protocol_violation, proof::unknown,
                     "response belongs to another attempt or comes from another engine incarnation",
                     std::nullopt};
    }
    application_answer accepted;
    accepted.incarnation = incarnation;
    accepted.status = answer.status;
    accepted.content_type = answer.headers.find(protocol::content_type_header).value_or("");
    accepted.body = std::move(answer.body);
    return accepted;
}

/// Converts a decoder's result, with its error mapped to an engine error.
template <typename T>
result<T> from_decoded(protocol::decoded<T> value) {
    if (value.has_error()) {
        return to_engine_error(value.error());
    }
    return std::move(*value);
}

/// Reads the rest of the response body after the `end` event, so that the connection can be
/// reused.
runtime::task<void> drain_response(std::unique_ptr<http::response_stream> stream,
                                   base::duration limit) {
    [[maybe_unused]] const auto rest = co_await stream->read_rest(limit);
}

}  // namespace

/// Reads a stream's lines, decodes and validates them, and returns them as events.
class http_client::http_stream final : public generation_stream {
  public:
    http_stream(http_client& owner, std::unique_ptr<http::response_stream> lines,
                const stream_expectation& expected)
        : owner_(owner),
          lines_(std::move(lines)),
          checker_(expected.attempt, expected.incarnation, expected.first_token),
          deadline_(expected.deadline) {}

    runtime::task<result<stream_event>> next() override {
        const base::duration limit = next_event_limit();
        auto line = co_await lines_->next_line(limit);
        if (line.has_error()) {
            co_return to_engine_error(line.error());
        }
        if (!line->has_value()) {
            co_return error{error_code::connection_lost, proof::unknown,
                            "response body ended before the stream's end event", std::nullopt};
        }
        const auto decoded = protocol::decode_line(**line);
        if (decoded.has_error()) {
            co_return to_engine_error(decoded.error());
        }
        auto event = checker_.accept(*decoded);
        if (event.has_value() && std::holds_alternative<stream_end>(*event)) {
            owner_.scheduler_.spawn("engine.read_out",
                                    drain_response(std::move(lines_), owner_.limits_.control));
        }
        co_return event;
    }

  private:
    /// @return the allowed silence before the next event, capped by the time to the deadline.
    base::duration next_event_limit() const {
        const tunables& limits = owner_.limits_;
        const base::duration silence =
            checker_.started() ? limits.token_timeout : limits.start_timeout;
        const base::duration left = deadline_ - owner_.scheduler_.now();
        return std::max(base::duration::zero(), std::min(silence, left));
    }

    http_client& owner_;
    std::unique_ptr<http::response_stream> lines_;
    stream_checker checker_;
    base::monotonic_time deadline_;
};

http_client::http_client(runtime::scheduler& scheduler, http::client& connections, tunables limits)
    : scheduler_(scheduler), connections_(connections), limits_(limits) {}

runtime::task<result<std::unique_ptr<generation_stream>>> http_client::open_stream(
    base::endpoint address, http::request message, base::duration limit, http::resend resend_policy,
    stream_expectation expected) {
    auto opened = co_await connections_.open(address, std::move(message), limit, resend_policy);
    if (opened.has_error()) {
        co_return to_engine_error(opened.error());
    }
    std::unique_ptr<http::response_stream> lines = std::move(*opened);
    if (lines->status() == status_ok) {
        co_return std::make_unique<http_stream>(*this, std::move(lines), expected);
    }
    const auto body = co_await lines->read_rest(limits_.control);
    if (body.has_error()) {
        co_return to_engine_error(body.error());
    }
    co_return attempt_error(lines->status(), lines->headers(), *body, expected.attempt);
}

runtime::task<result<std::unique_ptr<generation_stream>>> http_client::generate(
    const engine_target& target, generation_request request) {
    if (request.time_left <= base::duration::zero()) {
        co_return deadline_passed();
    }
    const base::endpoint address = target.address;
    stream_expectation expected;
    expected.attempt = request.attempt;
    expected.incarnation = request.expected_incarnation;
    expected.first_token = request.first_token;
    expected.deadline = scheduler_.now() + request.time_left;
    http::request message = make_post(protocol::generate_path, protocol::encode(request));
    const base::duration limit = std::min(limits_.admission, request.time_left);
    co_return co_await open_stream(address, std::move(message), limit, http::resend::forbidden,
                                   std::move(expected));
}

runtime::task<result<std::unique_ptr<generation_stream>>> http_client::resume(
    const engine_target& target, base::attempt_id attempt, std::uint32_t first_token) {
    const base::endpoint address = target.address;
    protocol::resume_request request;
    request.attempt = attempt;
    request.first_token = first_token;
    request.expected_incarnation = target.incarnation;
    stream_expectation expected;
    expected.attempt = std::move(attempt);
    expected.incarnation = target.incarnation;
    expected.first_token = first_token;
    expected.deadline = scheduler_.now() + resumed_stream_deadline;
    http::request message = make_post(protocol::resume_path, protocol::encode(request));
    co_return co_await open_stream(address, std::move(message), limits_.admission,
                                   http::resend::allowed, std::move(expected));
}

runtime::task<result<std::string>> http_client::exchange(base::endpoint address,
                                                         http::request message,
                                                         base::duration limit,
                                                         http::connection_choice choice) {
    auto answer = co_await connections_.send(address, std::move(message), limit,
                                             http::resend::allowed, choice);
    if (answer.has_error()) {
        co_return to_engine_error(answer.error());
    }
    if (answer->status != status_ok) {
        co_return protocol::decode_error(answer->status, answer->body);
    }
    co_return std::move(answer->body);
}

runtime::task<result<void>> http_client::cancel(const engine_target& target,
                                                base::attempt_id attempt) {
    const protocol::cancel_request request{std::move(attempt)};
    http::request message = make_post(protocol::cancel_path, protocol::encode(request));
    const auto body = co_await exchange(target.address, std::move(message), limits_.control);
    if (body.has_error()) {
        co_return body.error();
    }
    co_return result<void>();
}

runtime::task<result<application_answer>> http_client::call_application(
    const engine_target& target, application_request request) {
    const base::duration limit = request.time_left;
    if (limit <= base::duration::zero()) {
        co_return deadline_passed();
    }
    const base::endpoint address = target.address;
    const base::attempt_id attempt = request.attempt;
    const base::incarnation expected = request.expected_incarnation;
    http::request message = make_application_request(std::move(request));
    auto answer =
        co_await connections_.send(address, std::move(message), limit, http::resend::forbidden);
    if (answer.has_error()) {
        co_return to_engine_error(answer.error());
    }
    co_return check_application(std::move(*answer), attempt, expected);
}

runtime::task<result<load_report>> http_client::read_load(const base::endpoint& address) {
    http::request message = make_get(std::string(protocol::load_path));
    auto body = co_await exchange(address, std::move(message), limits_.control);
    if (body.has_error()) {
        co_return body.error();
    }
    co_return from_decoded(protocol::decode_load(*body));
}

runtime::task<result<cache_event_batch>> http_client::read_events(const engine_target& target,
                                                                  std::uint64_t from_sequence,
                                                                  base::duration wait) {
    http::request message = make_get(std::string(protocol::events_path) +
                                     "?incarnation=" + std::to_string(target.incarnation.value) +
                                     "&from=" + std::to_string(from_sequence) +
                                     "&wait_ms=" + std::to_string(base::to_milliseconds(wait)));
    auto body = co_await exchange(target.address, std::move(message), wait + limits_.control);
    if (body.has_error()) {
        co_return body.error();
    }
    co_return from_decoded(protocol::decode_events(*body));
}

runtime::task<result<import_answer>> http_client::import_state(const engine_target& target,
                                                               import_request request) {
    const protocol::import_call call{target.incarnation, std::move(request)};
    http::request message = make_post(protocol::import_path, protocol::encode(call));
    auto body = co_await exchange(target.address, std::move(message), limits_.import);
    if (body.has_error()) {
        co_return body.error();
    }
    co_return from_decoded(protocol::decode_import_answer(*body));
}

runtime::task<result<void>> http_client::order(const engine_target& target,
                                               base::fencing_token token, engine_order order) {
    const protocol::order_call call{target.incarnation, token, std::move(order)};
    http::request message = make_post(protocol::orders_path, protocol::encode(call));
    const auto body = co_await exchange(target.address, std::move(message), limits_.control,
                                        http::connection_choice::fresh);
    if (body.has_error()) {
        co_return body.error();
    }
    co_return result<void>();
}

}  // namespace ferryroad::engine
