/// @file
/// Settings of the claim registry.
#pragma once

#include "ferryroad/base/time.hpp"
#include "ferryroad/coordination/claim/tunables.hpp"

#include <cstdint>

namespace ferryroad::router {

/// Settings of `table_claim_registry`.
struct claim_tunables {
    coordination::claim::tunables claim;
    /// Retry time for callers when the table failed without giving one.
    base::duration retry_after = std::chrono::seconds(2);
    /// Mean time between two pages of the sweep, over all routers together.
    base::duration sweep_interval = std::chrono::seconds(10);
    /// Rows in one page of the sweep.
    std::uint32_t sweep_rows = 128;
};

}  // namespace ferryroad::router
