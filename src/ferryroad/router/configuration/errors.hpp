/// @file
/// Errors of changes to the configuration. Each code tells whether the change may have taken
/// effect.
#pragma once

#include "ferryroad/base/ids.hpp"
#include "ferryroad/catalog/errors.hpp"

#include <string>
#include <vector>

namespace ferryroad::router {

enum class configuration_error_code {
    invalid,            ///< The desired state has errors. Nothing changed.
    revision_conflict,  ///< Another change was committed first. Nothing changed.
    unavailable,        ///< The table can't be reached. Nothing changed.
    outcome_unknown,    ///< The change may have taken effect. Repeat it with the same operation id.
    not_found           ///< The command names a pool that doesn't exist. Nothing changed.
};

struct configuration_error {
    configuration_error_code code{};
    std::string message;
    std::vector<catalog::error> faults;  ///< Set for `invalid`.
    base::revision head;  ///< Newest known revision; set for `revision_conflict` and `invalid`.
};

}  // namespace ferryroad::router
