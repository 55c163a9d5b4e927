/// @file
/// Errors of messages between routers.
#pragma once

#include <string>

namespace ferryroad::peer {

/// Why a call or a decoding failed.
enum class error_code { unreachable, timed_out, connection_lost, too_large, malformed, refused };

/// A failed call or decoding.
struct error {
    error_code code{};
    std::string message;
};

}  // namespace ferryroad::peer
