/// @file
/// Base64 by OpenSSL, for bytes inside text.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace ferryroad::base {

std::string to_base64(std::string_view bytes);

/// @return nothing where `text` is no base64 with padding.
std::optional<std::string> from_base64(std::string_view text);

}  // namespace ferryroad::base
