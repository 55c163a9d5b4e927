/// @file
/// SHA-256 digests (OpenSSL).
#pragma once

#include <string>
#include <string_view>

namespace ferryroad::base {

/// @return the SHA-256 of `bytes` as 64 lower-case hex digits.
std::string sha256_hex(std::string_view bytes);

}  // namespace ferryroad::base
