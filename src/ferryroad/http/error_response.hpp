/// @file
/// Error responses with the JSON body `{"error":{"type","code","message"}}`.
#pragma once

#include "ferryroad/http/message.hpp"

#include <string_view>

namespace ferryroad::http {

/// Content of an error body: `code` is meant for programs, `message` for people.
struct error_text {
    std::string_view type;  ///< Category, such as `invalid_request_error`.
    std::string_view code;
    std::string_view message;
};

/// @return a response with that status and the JSON error body.
response error_response(unsigned status, const error_text& text);

}  // namespace ferryroad::http
