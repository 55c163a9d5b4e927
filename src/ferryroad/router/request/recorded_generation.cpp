#include "ferryroad/router/request/recorded_generation.hpp"

#include "ferryroad/http/json.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include <utility>

namespace ferryroad::router {

namespace json = boost::json;

namespace {

constexpr unsigned ok_status = 200;

}  // namespace

recorded_outcome record_generation(const generation_summary& summary,
                                   const std::vector<std::string>& tokens, std::size_t body_limit) {
    json::array texts;
    for (const std::string& token : tokens) {
        texts.emplace_back(token);
    }
    json::object body;
    body["reason"] = summary.reason == engine::finish_reason::length ? "length" : "stop";
    body["prompt_tokens"] = summary.prompt_tokens;
    body["cached_tokens"] = summary.cached_tokens;
    body["tokens"] = std::move(texts);

    recorded_outcome outcome;
    outcome.execution = core::execution::execution_report::complete;
    outcome.status = ok_status;
    outcome.content_type = "application/json";
    outcome.body = http::to_text(body);
    if (outcome.body.size() > body_limit) {
        outcome.body.clear();
    }
    return outcome;
}

std::optional<recorded_generation> read_recorded_generation(const recorded_outcome& outcome) {
    const auto parsed = http::parse_json(outcome.body);
    if (parsed.has_error()) {
        return std::nullopt;
    }
    http::object_reader reader(*parsed);
    recorded_generation recorded;
    const bool length = reader.text("reason") == "length";
    recorded.summary.reason = length ? engine::finish_reason::length : engine::finish_reason::stop;
    recorded.summary.prompt_tokens =
        static_cast<std::uint32_t>(reader.unsigned_number("prompt_tokens"));
    recorded.summary.cached_tokens =
        static_cast<std::uint32_t>(reader.unsigned_number("cached_tokens"));
    for (const json::value& token : reader.list("tokens")) {
        if (!token.is_string()) {
            return std::nullopt;
        }
        recorded.tokens.emplace_back(token.get_string());
    }
    if (reader.fault()) {
        return std::nullopt;
    }
    recorded.summary.tokens = static_cast<std::uint32_t>(recorded.tokens.size());
    return recorded;
}

}  // namespace ferryroad::router
