#include "ferryroad/caller/generation_answer.hpp"

#include "ferryroad/caller/event_stream.hpp"
#include "ferryroad/http/json.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include <string_view>
#include <utility>

namespace ferryroad::caller {

namespace json = boost::json;

namespace {

/// The texts that differ between the completions and the chat interface.
struct api_format {
    std::string_view id_prefix;
    std::string_view whole_object;
    std::string_view chunk_object;
};

api_format format_of(generation_api api) {
    if (api == generation_api::chat) {
        return {"chatcmpl-", "chat.completion", "chat.completion.chunk"};
    }
    return {"cmpl-", "text_completion", "text_completion"};
}

json::string_view to_string(engine::finish_reason reason) {
    return reason == engine::finish_reason::length ? "length" : "stop";
}

json::object usage_of(const router::generation_summary& summary) {
    json::object usage;
    usage["prompt_tokens"] = summary.prompt_tokens;
    usage["completion_tokens"] = summary.tokens;
    usage["total_tokens"] = std::uint64_t{summary.prompt_tokens} + summary.tokens;
    usage["prompt_tokens_details"] = json::object{{"cached_tokens", summary.cached_tokens}};
    return usage;
}

json::object message_of(std::string_view text) {
    return {{"role", "assistant"}, {"content", text}};
}

/// @return the JSON object of an answer or a chunk, with one choice.
json::object completion_object(std::string_view id, std::string_view object, std::int64_t created,
                               const base::model_name& model, json::object choice) {
    json::object body;
    body["id"] = id;
    body["object"] = object;
    body["created"] = created;
    body["model"] = model.value;
    body["choices"] = json::array{std::move(choice)};
    return body;
}

json::object choice_of(std::string_view content_name, json::value content, json::value reason) {
    json::object choice;
    choice["index"] = 0;
    choice[content_name] = std::move(content);
    choice["finish_reason"] = std::move(reason);
    return choice;
}

json::object complete() {
    constexpr auto execution = core::execution::execution_report::complete;
    return {{"execution", core::execution::to_string(execution)}};
}

}  // namespace

generation_answer::generation_answer(generation_api api, const base::request_id& request,
                                     base::model_name model, std::int64_t created)
    : api_(api),
      id_(std::string(format_of(api).id_prefix) + request.value),
      model_(std::move(model)),
      created_(created) {}

std::string generation_answer::whole(const std::string& text,
                                     const router::generation_summary& summary) const {
    const bool chat = api_ == generation_api::chat;
    json::value content = chat ? json::value(message_of(text)) : json::value(text);
    json::object choice =
        choice_of(chat ? "message" : "text", std::move(content), to_string(summary.reason));
    json::object body =
        completion_object(id_, format_of(api_).whole_object, created_, model_, std::move(choice));
    body["usage"] = usage_of(summary);
    body["ferryroad"] = complete();
    return http::to_text(body);
}

std::string generation_answer::chunk(const std::string& text, bool first) const {
    const bool chat = api_ == generation_api::chat;
    json::value content(text);
    if (chat) {
        content = first ? message_of(text) : json::object{{"content", text}};
    }
    json::object choice = choice_of(chat ? "delta" : "text", std::move(content), nullptr);
    return data_event(http::to_text(
        completion_object(id_, format_of(api_).chunk_object, created_, model_, std::move(choice))));
}

std::string generation_answer::end(const router::generation_summary& summary) const {
    const bool chat = api_ == generation_api::chat;
    json::value content = chat ? json::value(json::object()) : json::value("");
    json::object choice =
        choice_of(chat ? "delta" : "text", std::move(content), to_string(summary.reason));
    json::object body =
        completion_object(id_, format_of(api_).chunk_object, created_, model_, std::move(choice));
    body["usage"] = usage_of(summary);
    body["ferryroad"] = complete();
    return data_event(http::to_text(body)) + data_event("[DONE]");
}

}  // namespace ferryroad::caller
