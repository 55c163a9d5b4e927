/// @file
/// Base64 encoding and decoding (OpenSSL).
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace ferryroad::base {

/// @return the padded Base64 encoding of `bytes`, without line breaks.
std::string to_base64(std::string_view bytes);

/// @return the decoded bytes; `nullopt` if `text` is not padded Base64.
std::optional<std::string> from_base64(std::string_view text);

}  // namespace ferryroad::base
