/// @file
/// Errors of changing the configuration. Each says whether something may have changed.
#pragma once

#include "ferryroad/base/ids.hpp"
#include "ferryroad/catalog/errors.hpp"

#include <string>
#include <vector>

namespace ferryroad::router {

enum class configuration_error_code {
    invalid,            ///< The desired state has faults. Nothing changed.
    revision_conflict,  ///< Another change came first. Nothing changed.
    unavailable,        ///< The table can't be reached. Nothing changed.
    outcome_unknown,    ///< The change may have taken effect: repeat with the same id.
    not_found           ///< Names an engine that isn't known.
};

struct configuration_error {
    configuration_error_code code{};
    std::string message;
    std::vector<catalog::error> faults;  ///< Where invalid.
    base::revision head;                 ///< Where in conflict: the revision now in force.
};

}  // namespace ferryroad::router
