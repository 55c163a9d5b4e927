/// @file
/// Errors of talking to another router.
#pragma once

#include <string>

namespace ferryroad::peer {

enum class error_code { unreachable, timed_out, connection_lost, too_large, malformed, refused };

struct error {
    error_code code{};
    std::string message;
};

}  // namespace ferryroad::peer
