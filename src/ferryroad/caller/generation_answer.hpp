/// @file
/// Generated answers in OpenAI's JSON: whole, and as chunks of a stream.
#pragma once

#include "ferryroad/base/ids.hpp"
#include "ferryroad/caller/generation_body.hpp"
#include "ferryroad/router/request_types.hpp"

#include <cstdint>
#include <string>

namespace ferryroad::caller {

/// Writes the answers to one request.
class generation_answer {
  public:
    /// @param created seconds since the Unix epoch.
    generation_answer(generation_api api, const base::request_id& request, base::model_name model,
                      std::int64_t created);

    /// @return the JSON of a whole answer.
    std::string whole(const std::string& text, const router::generation_summary& summary) const;
    /// @return the event for one token.
    std::string chunk(const std::string& text, bool first) const;
    /// @return the events that end a whole stream: the last chunk, with usage and execution,
    /// and `[DONE]`.
    std::string end(const router::generation_summary& summary) const;

  private:
    generation_api api_;
    std::string id_;
    base::model_name model_;
    std::int64_t created_;
};

}  // namespace ferryroad::caller
