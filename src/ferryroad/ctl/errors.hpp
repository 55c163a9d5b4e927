/// @file
/// Exit codes and errors of ferryctl.
#pragma once

#include <string>

namespace ferryroad::ctl {

/// Exit codes of ferryctl; documented in docs/operators/commands.md.
enum class exit_code : int {
    success = 0,
    failed = 1,             ///< An error that no other code covers.
    invalid = 2,            ///< Invalid usage, file or desired state. Nothing changed.
    revision_conflict = 3,  ///< Another change came into force first. Nothing changed.
    unreachable = 4,        ///< No router could answer. Nothing changed.
    outcome_unknown = 5,    ///< The change may have taken effect: retry with the same id.
    not_found = 6
};

/// A failed command; `message` is printed to standard error.
struct error {
    exit_code code{};
    std::string message;
};

}  // namespace ferryroad::ctl
