#include "ferryroad/platform/http_services.hpp"

#include "ferryroad/http/json.hpp"
#include "ferryroad/platform/json_codec.hpp"

#include <charconv>

namespace ferryroad::platform {

namespace {

constexpr unsigned status_ok = 200;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_rate_limited = 429;
constexpr unsigned status_server_fault = 500;
constexpr unsigned status_unavailable = 503;
/// Used when a rate limit refusal doesn't state a delay.
constexpr base::duration default_retry_after = std::chrono::seconds(1);

error protocol_error(const http::error& fault) {
    return {error_code::protocol_violation, fault.message, std::nullopt};
}

/// Maps a failure of the HTTP exchange to an error of this layer.
error error_of(const http::error& fault, http_caller::effect kind) {
    const bool changes = kind == http_caller::effect::changes;
    switch (fault.code) {
        case http::error_code::connect_failed:
        case http::error_code::withheld:
            return {error_code::unavailable, fault.message, std::nullopt};
        case http::error_code::connection_lost:
        case http::error_code::timed_out:
            return {changes ? error_code::answer_lost : error_code::unavailable, fault.message,
                    std::nullopt};
        case http::error_code::malformed:
        case http::error_code::too_large:
            break;
    }
    // An unreadable response doesn't tell whether the change happened.
    return {changes ? error_code::answer_lost : error_code::protocol_violation, fault.message,
            std::nullopt};
}

/// @return `retry_after_ms` of the body; otherwise the seconds of the Retry-After header; otherwise
/// the default.
base::duration retry_after_of(const http::response& answer) {
    if (const auto body = http::parse_json(answer.body)) {
        const http::object_reader reader(*body);
        if (const boost::json::value* fields = reader.find("error")) {
            http::object_reader fields_reader(*fields);
            if (fields_reader.find("retry_after_ms") != nullptr) {
                const double milliseconds = fields_reader.number("retry_after_ms");
                return base::from_seconds(milliseconds / 1e3);
            }
        }
    }
    const std::string_view text = answer.headers.find("Retry-After").value_or("");
    int seconds = 0;
    const auto* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, seconds);
    const bool usable = parsed.ec == std::errc{} && parsed.ptr == end && seconds >= 0;
    return usable ? std::chrono::seconds(seconds) : default_retry_after;
}

/// Maps a response with a status other than 200 to an error.
error error_of(const http::response& answer, http_caller::effect kind) {
    const std::string message = "status " + std::to_string(answer.status) + ": " + answer.body;
    switch (answer.status) {
        case status_not_found:
            return {error_code::not_found, message, std::nullopt};
        case status_rate_limited:
            return {error_code::rate_limited, message, retry_after_of(answer)};
        case status_unavailable:
            return {error_code::unavailable, message, std::nullopt};
        default:
            break;
    }
    // The server may have failed (500, 502, 504) after it made the change.
    const bool may_have_taken_effect =
        answer.status >= status_server_fault && kind == http_caller::effect::changes;
    return {may_have_taken_effect ? error_code::answer_lost : error_code::protocol_violation,
            message, std::nullopt};
}

http::request json_request(std::string target, std::string body) {
    http::request message;
    message.method = "POST";
    message.target = std::move(target);
    message.headers.add("Content-Type", "application/json");
    message.body = std::move(body);
    return message;
}

http::request object_request(std::string method, const std::string& name) {
    http::request message;
    message.method = std::move(method);
    message.target = "/objects/" + http::encode_component(name);
    return message;
}

/// @return the decoded body, or the error of the call or of decoding.
template <typename T>
result<T> decode_answer(const result<std::string>& body, decoded<T> (*decode)(std::string_view)) {
    if (!body) {
        return body.error();
    }
    auto value = decode(*body);
    if (!value) {
        return protocol_error(value.error());
    }
    return std::move(*value);
}

}  // namespace

runtime::task<result<std::string>> http_caller::call(http::request message, effect kind,
                                                     base::duration limit) {
    const http::resend resend_policy =
        kind == effect::reads ? http::resend::allowed : http::resend::forbidden;
    auto answer =
        co_await client_.send(platform_.address, std::move(message), limit, resend_policy);
    if (!answer) {
        co_return error_of(answer.error(), kind);
    }
    if (answer->status != status_ok) {
        co_return error_of(*answer, kind);
    }
    co_return std::move(answer->body);
}

runtime::task<result<std::vector<transaction_outcome>>> http_table::transact(
    std::vector<transaction> transactions) {
    http::request message = json_request("/table/transact", encode_transactions(transactions));
    const auto body = co_await caller_.call(std::move(message), http_caller::effect::changes,
                                            caller_.platform().call_limit);
    auto outcomes = decode_answer(body, decode_outcomes);
    // A body that doesn't conform to the protocol doesn't tell whether the change happened.
    const bool unreadable = body && (!outcomes || outcomes->size() != transactions.size());
    if (unreadable) {
        co_return error{error_code::answer_lost,
                        "response to a table transaction is unreadable or incomplete",
                        std::nullopt};
    }
    co_return outcomes;
}

runtime::task<result<std::vector<row>>> http_table::read(std::vector<row_key> keys) {
    http::request message = json_request("/table/read", encode_keys(keys));
    const auto body = co_await caller_.call(std::move(message), http_caller::effect::reads,
                                            caller_.platform().call_limit);
    co_return decode_answer(body, decode_rows);
}

runtime::task<result<std::vector<row>>> http_table::scan(std::string prefix, row_key after,
                                                         std::uint32_t limit) {
    http::request message;
    message.target = "/table/scan?prefix=" + http::encode_component(prefix) +
                     "&after=" + http::encode_component(after.value) +
                     "&limit=" + std::to_string(limit);
    const auto body = co_await caller_.call(std::move(message), http_caller::effect::reads,
                                            caller_.platform().call_limit);
    co_return decode_answer(body, decode_rows);
}

runtime::task<result<void>> http_object_store::put(std::string name, std::string bytes) {
    http::request message = object_request("PUT", name);
    message.headers.add("Content-Type", "application/octet-stream");
    message.body = std::move(bytes);
    const auto body = co_await caller_.call(std::move(message), http_caller::effect::changes,
                                            caller_.platform().object_limit);
    if (!body) {
        co_return body.error();
    }
    co_return result<void>();
}

runtime::task<result<std::string>> http_object_store::get(std::string name) {
    http::request message = object_request("GET", name);
    co_return co_await caller_.call(std::move(message), http_caller::effect::reads,
                                    caller_.platform().object_limit);
}

runtime::task<result<std::vector<machine>>> http_machine_list::list() {
    http::request message;
    message.target = "/machines";
    const auto body = co_await caller_.call(std::move(message), http_caller::effect::reads,
                                            caller_.platform().call_limit);
    co_return decode_answer(body, decode_machines);
}

}  // namespace ferryroad::platform
