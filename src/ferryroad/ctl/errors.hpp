/// @file
/// How a ferryctl command ends: its exit code and its message.
#pragma once

#include <string>

namespace ferryroad::ctl {

/// Exit codes of ferryctl; documented in docs/operators/commands.md.
enum class exit_code : int {
    success = 0,
    failed = 1,             ///< Refused for a reason that none of the others names.
    invalid = 2,            ///< Bad usage, file or desired state. Nothing changed.
    revision_conflict = 3,  ///< Another change came first. Nothing changed.
    unreachable = 4,        ///< No router could answer. Nothing changed.
    outcome_unknown = 5,    ///< The change may have taken effect: repeat with the same id.
    not_found = 6
};

struct error {
    exit_code code{};
    std::string message;
};

}  // namespace ferryroad::ctl
