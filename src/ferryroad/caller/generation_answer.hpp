/// @file
/// Formats generated text as OpenAI-style JSON: as one document or as chunks of a stream.
#pragma once

#include "ferryroad/base/ids.hpp"
#include "ferryroad/caller/generation_body.hpp"
#include "ferryroad/router/request_types.hpp"

#include <cstdint>
#include <string>

namespace ferryroad::caller {

/// Formats the answer to one generation request.
class generation_answer {
  public:
    /// @param created seconds since the Unix epoch.
    generation_answer(generation_api api, const base::request_id& request, base::model_name model,
                      std::int64_t created);

    /// @return the JSON document of an answer that isn't streamed.
    std::string whole(const std::string& text, const router::generation_summary& summary) const;
    /// @param first whether this is the first token; the first chunk of a chat carries the role.
    /// @return the server-sent event for one token.
    std::string chunk(const std::string& text, bool first) const;
    /// @return the events that end a complete stream: the last chunk, with token usage and
    /// execution report, and `[DONE]`.
    std::string end(const router::generation_summary& summary) const;

  private:
    generation_api api_;
    std::string id_;
    base::model_name model_;
    std::int64_t created_;
};

}  // namespace ferryroad::caller
