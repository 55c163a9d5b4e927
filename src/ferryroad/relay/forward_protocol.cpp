#include "ferryroad/relay/forward_protocol.hpp"

#include <boost/algorithm/string/predicate.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdint>
#include <utility>

namespace ferryroad::relay {

namespace {

constexpr std::string_view engine_header = "Ferryroad-Engine";
constexpr std::string_view sender_header = "Ferryroad-Sender";
constexpr std::string_view limit_header = "Ferryroad-Limit-Ms";
constexpr std::string_view echoed_name_header = "Ferryroad-Echoed-Header";
constexpr std::string_view probe_header = "Ferryroad-Probe";
constexpr std::string_view fresh_connection_header = "Ferryroad-Fresh-Connection";
constexpr std::string_view failure_header = "Ferryroad-Failure";
constexpr std::array forward_headers = {engine_header,      sender_header, limit_header,
                                        echoed_name_header, probe_header,  fresh_connection_header,
                                        failure_header};
constexpr unsigned status_bad_gateway = 502;
/// Longer limits are capped to this.
constexpr base::duration max_limit = std::chrono::hours(1);

struct failure_name {
    forward_failure failure;
    std::string_view name;
};
constexpr std::array failure_names = {
    failure_name{forward_failure::no_path, "no_path"},
    failure_name{forward_failure::busy, "busy"},
    failure_name{forward_failure::stopping, "stopping"},
    failure_name{forward_failure::unknown_engine, "unknown_engine"},
    failure_name{forward_failure::connect_failed, "connect_failed"},
    failure_name{forward_failure::refused, "refused"},
    failure_name{forward_failure::connection_lost, "connection_lost"},
    failure_name{forward_failure::timed_out, "timed_out"},
    failure_name{forward_failure::malformed, "malformed"},
    failure_name{forward_failure::too_large, "too_large"}};

std::string text_of(const http::header_list& headers, std::string_view name) {
    return std::string(headers.find(name).value_or(std::string_view()));
}

std::optional<base::duration> parse_limit(std::string_view text) {
    std::int64_t milliseconds = 0;
    const char* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, milliseconds);
    if (parsed.ec != std::errc{} || parsed.ptr != end || milliseconds <= 0) {
        return std::nullopt;
    }
    const std::int64_t most = base::to_milliseconds(max_limit);
    return std::chrono::milliseconds(std::min(milliseconds, most));
}

}  // namespace

std::string_view to_string(forward_failure failure) {
    const auto* found = std::find_if(failure_names.begin(), failure_names.end(),
                                     [&](const auto& one) { return one.failure == failure; });
    return found->name;
}

std::optional<forward_failure> parse_forward_failure(std::string_view name) {
    const auto* found = std::find_if(failure_names.begin(), failure_names.end(),
                                     [&](const auto& one) { return one.name == name; });
    return found == failure_names.end() ? std::nullopt : std::optional(found->failure);
}

bool may_try_another_router(forward_failure failure) {
    return failure == forward_failure::no_path || failure == forward_failure::busy ||
           failure == forward_failure::stopping || failure == forward_failure::unknown_engine;
}

forward_failure forward_failure_of(const http::error& error) {
    switch (error.code) {
        case http::error_code::connect_failed:
            return forward_failure::connect_failed;
        case http::error_code::timed_out:
            return forward_failure::timed_out;
        case http::error_code::malformed:
            return forward_failure::malformed;
        case http::error_code::too_large:
            return forward_failure::too_large;
        default:
            return forward_failure::connection_lost;
    }
}

http::error error_of(forward_failure failure, const base::router_name& router) {
    const std::string message = "router " + router.value + ": " + std::string(to_string(failure));
    switch (failure) {
        case forward_failure::connection_lost:
            return {http::error_code::connection_lost, message};
        case forward_failure::timed_out:
            return {http::error_code::timed_out, message};
        case forward_failure::malformed:
            return {http::error_code::malformed, message};
        case forward_failure::too_large:
            return {http::error_code::too_large, message};
        default:
            return {http::error_code::connect_failed, message};
    }
}

void add_forward_parameters(http::request& message, const forward_parameters& parameters) {
    const std::int64_t limit = std::max<std::int64_t>(1, base::to_milliseconds(parameters.limit));
    message.headers.set(engine_header, parameters.engine.value);
    message.headers.set(sender_header, parameters.sender.value);
    message.headers.set(limit_header, std::to_string(limit));
    message.headers.set(echoed_name_header, parameters.echoed_header);
    message.headers.set(probe_header, parameters.probe ? "1" : "0");
    message.headers.set(fresh_connection_header, parameters.fresh_connection ? "1" : "0");
}

std::optional<forward_parameters> take_forward_parameters(http::request& message) {
    forward_parameters parameters;
    parameters.engine = base::engine_name(text_of(message.headers, engine_header));
    parameters.sender = base::router_name(text_of(message.headers, sender_header));
    parameters.echoed_header = text_of(message.headers, echoed_name_header);
    parameters.probe = text_of(message.headers, probe_header) == "1";
    parameters.fresh_connection = text_of(message.headers, fresh_connection_header) == "1";
    const auto limit = parse_limit(text_of(message.headers, limit_header));
    if (!limit || parameters.engine.value.empty() || parameters.sender.value.empty()) {
        return std::nullopt;
    }
    parameters.limit = *limit;
    message.headers = without_forward_headers(message.headers);
    return parameters;
}

http::response forward_failure_answer(forward_failure failure,
                                      const std::optional<http::header>& echoed) {
    http::response answer;
    answer.status = status_bad_gateway;
    answer.headers.add(std::string(failure_header), std::string(to_string(failure)));
    if (echoed) {
        answer.headers.add(echoed->name, echoed->value);
    }
    return answer;
}

std::optional<forward_failure> failure_in(const http::header_list& head) {
    const auto name = head.find(failure_header);
    return name ? parse_forward_failure(*name) : std::nullopt;
}

http::header_list without_forward_headers(const http::header_list& head) {
    http::header_list kept;
    for (const http::header& one : head.entries()) {
        const bool own = std::any_of(
            forward_headers.begin(), forward_headers.end(),
            [&](std::string_view name) { return boost::algorithm::iequals(one.name, name); });
        if (!own) {
            kept.add(one.name, one.value);
        }
    }
    return kept;
}

}  // namespace ferryroad::relay
