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

enum class generation_api { completions, chat };

struct generation_body {
    base::model_name model;
    base::adapter_name adapter;
    std::shared_ptr<const std::string> prompt;
    std::optional<std::uint32_t> max_tokens;
    bool stream = false;
};

/// Errors are LEAF error objects of type `caller::error`. Fields that ferryroad doesn't know
/// are left alone, as OpenAI clients send many.
boost::leaf::result<generation_body> read_generation_body(generation_api api, std::string_view body,
                                                          const tunables& limits);

}  // namespace ferryroad::caller
