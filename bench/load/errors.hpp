/// @file
/// Errors of the load client's own files and of reading the system under load.
#pragma once

#include <string>

namespace ferryroad::bench::load {

enum class error_code {
    unreadable,  ///< A file can't be read or written.
    malformed,   ///< A file or an answer is not what it must be.
    unreachable  ///< An engine or router gave no answer.
};

struct error {
    error_code code{};
    std::string message;
};

}  // namespace ferryroad::bench::load
