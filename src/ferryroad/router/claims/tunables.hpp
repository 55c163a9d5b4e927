/// @file
/// Limits of the claim registry, in one place.
#pragma once

#include "ferryroad/base/time.hpp"
#include "ferryroad/coordination/claim/tunables.hpp"

#include <cstdint>

namespace ferryroad::router {

struct claim_tunables {
    coordination::claim::tunables claim;
    /// When to come back after the table failed without saying so itself.
    base::duration retry_after = std::chrono::seconds(2);
    /// One page of old claims is looked through this often for each live router.
    base::duration sweep_interval = std::chrono::seconds(10);
    std::uint32_t sweep_rows = 128;  ///< Rows of a page.
};

}  // namespace ferryroad::router
