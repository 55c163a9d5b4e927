/// @file
/// The one shape of an error's JSON body: `{"error":{"type","code","message"}}`.
#pragma once

#include "ferryroad/http/message.hpp"

#include <string_view>

namespace ferryroad::http {

/// What went wrong, for a program (`code`) and for a person (`message`).
struct error_text {
    std::string_view type;  ///< Family, such as `invalid_request_error`.
    std::string_view code;
    std::string_view message;
};

/// @return an answer with that status and the JSON error body.
response error_answer(unsigned status, const error_text& text);

}  // namespace ferryroad::http
