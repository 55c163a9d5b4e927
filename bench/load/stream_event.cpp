#include "bench/load/stream_event.hpp"

#include "ferryroad/http/json.hpp"

#include <boost/json/array.hpp>

namespace ferryroad::bench::load {

namespace {

constexpr std::string_view data_field = "data:";
constexpr std::string_view end_mark = "[DONE]";

/// The text of a choice: `text` of a completion, `delta` or `message` of a chat.
std::string choice_text(const http::object_reader& choice) {
    for (const char* holder : {"delta", "message"}) {
        if (const boost::json::value* nested = choice.find(holder)) {
            http::object_reader content(*nested);
            return content.text_or("content", "");
        }
    }
    const boost::json::value* text = choice.find("text");
    if (text == nullptr || !text->is_string()) {
        return {};
    }
    return std::string(text->get_string());
}

void read_choices(http::object_reader& fields, answer_part& part) {
    for (const boost::json::value& value : fields.list("choices")) {
        const http::object_reader choice(value, "choices");
        part.text += choice_text(choice);
        const boost::json::value* reason = choice.find("finish_reason");
        if (reason != nullptr && reason->is_string()) {
            part.finish_reason = std::string(reason->get_string());
        }
    }
}

std::optional<usage> read_usage(const http::object_reader& fields) {
    const boost::json::value* value = fields.find("usage");
    if (value == nullptr || !value->is_object()) {
        return std::nullopt;
    }
    http::object_reader counts(*value, "usage");
    return usage{counts.unsigned_or("prompt_tokens", 0),
                 counts.unsigned_or("completion_tokens", 0)};
}

std::optional<stated_error> read_failure(const http::object_reader& fields) {
    const boost::json::value* value = fields.find("error");
    if (value == nullptr) {
        return std::nullopt;
    }
    http::object_reader stated(*value, "error");
    return stated_error{stated.text_or("code", "unnamed"), stated.text_or("message", ""),
                        stated.text_or("execution", "")};
}

std::string read_execution(const http::object_reader& fields) {
    const boost::json::value* value = fields.find("ferryroad");
    if (value == nullptr) {
        return {};
    }
    http::object_reader stated(*value, "ferryroad");
    return stated.text_or("execution", "");
}

runtime::result<answer_part, error> parse_object(std::string_view text) {
    const auto parsed = http::parse_json(text);
    if (!parsed) {
        return error{error_code::malformed, parsed.error().message};
    }
    http::object_reader fields(*parsed);
    answer_part part;
    read_choices(fields, part);
    part.usage = read_usage(fields);
    part.failure = read_failure(fields);
    part.execution = read_execution(fields);
    if (fields.fault()) {
        return error{error_code::malformed, fields.fault()->message};
    }
    return part;
}

}  // namespace

runtime::result<std::optional<answer_part>, error> parse_stream_line(std::string_view line) {
    if (!line.starts_with(data_field)) {
        return std::optional<answer_part>();
    }
    std::string_view data = line.substr(data_field.size());
    if (data.starts_with(' ')) {
        data.remove_prefix(1);
    }
    if (data == end_mark) {
        answer_part part;
        part.done = true;
        return std::optional<answer_part>(part);
    }
    auto part = parse_object(data);
    if (!part) {
        return part.error();
    }
    return std::optional<answer_part>(std::move(*part));
}

runtime::result<answer_part, error> parse_whole_answer(std::string_view body) {
    return parse_object(body);
}

}  // namespace ferryroad::bench::load
