#include "ferryroad/caller/generation_body.hpp"

#include "ferryroad/caller/errors.hpp"
#include "ferryroad/http/json.hpp"

#include <boost/json/array.hpp>
#include <boost/leaf/error.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace ferryroad::caller {

namespace json = boost::json;
namespace leaf = boost::leaf;

namespace {

constexpr std::array<std::string_view, 5> known_roles{"system", "developer", "user", "assistant",
                                                      "tool"};

leaf::error_id invalid(std::string message) {
    return leaf::new_error(error{error_code::invalid_field, std::move(message)});
}

/// Reads a message's content: a string, or a list of text parts, which are concatenated.
leaf::result<std::string> read_content(const json::value* content, const std::string& path) {
    if (content && content->is_string()) {
        return std::string(content->get_string());
    }
    if (!content || !content->is_array()) {
        return invalid(path + ".content: expected a string or a list of text parts");
    }
    std::string text;
    for (const json::value& part : content->get_array()) {
        http::object_reader reader(part, path + ".content");
        const bool is_text = reader.text("type") == "text";
        text += reader.text("text");
        if (reader.fault() || !is_text) {
            return invalid(path + ".content: expected parts of type \"text\"");
        }
    }
    return text;
}

void append_header(std::string& prompt, std::string_view role) {
    prompt += "<|";
    prompt += role;
    prompt += "|>\n";
}

leaf::result<std::string> read_messages(http::object_reader& reader, const tunables& limits) {
    const json::array& messages = reader.list("messages");
    if (messages.empty() || messages.size() > limits.messages) {
        return invalid("messages: expected a list of 1 to " + std::to_string(limits.messages) +
                       " messages");
    }
    std::string prompt;
    std::size_t index = 0;
    for (const json::value& message : messages) {
        const std::string path = "messages[" + std::to_string(index++) + "]";
        http::object_reader fields(message, path);
        const std::string role = fields.text("role");
        if (std::find(known_roles.begin(), known_roles.end(), role) == known_roles.end()) {
            return invalid(path + ".role: expected system, developer, user, assistant or tool");
        }
        BOOST_LEAF_AUTO(content, read_content(fields.find("content"), path));
        append_header(prompt, role);
        prompt += content;
        prompt += '\n';
    }
    append_header(prompt, "assistant");
    return prompt;
}

leaf::result<std::string> read_prompt(http::object_reader& reader) {
    std::string prompt = reader.text("prompt");
    if (!reader.fault() && prompt.empty()) {
        return invalid("prompt: expected some text");
    }
    return prompt;
}

leaf::result<std::optional<std::uint32_t>> read_max_tokens(http::object_reader& reader,
                                                           const tunables& limits) {
    const char* name =
        reader.find("max_completion_tokens") ? "max_completion_tokens" : "max_tokens";
    const json::value* given = reader.find(name);
    if (!given || given->is_null()) {
        return std::optional<std::uint32_t>();
    }
    const std::uint64_t wanted = reader.unsigned_number(name);
    if (!reader.fault() && (wanted < 1 || wanted > limits.max_tokens)) {
        return invalid(std::string(name) + ": expected 1 to " + std::to_string(limits.max_tokens));
    }
    return std::optional<std::uint32_t>(static_cast<std::uint32_t>(wanted));
}

}  // namespace

leaf::result<generation_body> read_generation_body(generation_api api, std::string_view body,
                                                   const tunables& limits) {
    const auto parsed = http::parse_json(body);
    if (parsed.has_error()) {
        return leaf::new_error(error{error_code::malformed_body, parsed.error().message});
    }
    http::object_reader reader(*parsed);
    generation_body read;
    read.model = base::model_name(reader.text("model"));
    read.adapter = base::adapter_name(reader.text_or("adapter", {}));
    read.stream = reader.boolean_or("stream", false);
    BOOST_LEAF_AUTO(max_tokens, read_max_tokens(reader, limits));
    read.max_tokens = max_tokens;
    if (reader.unsigned_or("n", 1) != 1) {
        return invalid("n: expected 1");
    }
    if (reader.fault()) {
        return invalid(reader.fault()->message);
    }
    if (api == generation_api::chat) {
        BOOST_LEAF_AUTO(prompt, read_messages(reader, limits));
        read.prompt = std::make_shared<const std::string>(std::move(prompt));
    } else {
        BOOST_LEAF_AUTO(prompt, read_prompt(reader));
        read.prompt = std::make_shared<const std::string>(std::move(prompt));
    }
    if (reader.fault()) {
        return invalid(reader.fault()->message);
    }
    return read;
}

}  // namespace ferryroad::caller
