/// @file
/// Errors of the operators' gRPC server.
#pragma once

#include <string>

namespace ferryroad::operators {

enum class error_code { listen_failed };

struct error {
    error_code code{};
    std::string message;
};

}  // namespace ferryroad::operators
