/// @file
/// Reads the OpenAI-style bodies of /v1/completions and /v1/chat/completions.
#pragma once

#include "ferryroad/base/ids.hpp"
#include "ferryroad/caller/tunables.hpp"

#include <boost/leaf/result.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace ferryroad::caller {

/// The two generation interfaces: `/v1/completions` and `/v1/chat/completions`.
enum class generation_api { completions, chat };

/// The fields of a generation request that the router uses.
struct generation_body {
    base::model_name model;
    base::adapter_name adapter;
    std::shared_ptr<const std::string> prompt;
    std::optional<std::uint32_t> max_tokens;
    bool stream = false;
};

/// Parses and checks a request body. Unknown fields are ignored, because OpenAI clients send
/// many. Errors are LEAF error objects of type `caller::error`.
boost::leaf::result<generation_body> read_generation_body(generation_api api, std::string_view body,
                                                          const tunables& limits);

}  // namespace ferryroad::caller
