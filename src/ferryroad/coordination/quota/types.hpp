/// @file
/// Messages between routers about the rate limit of a tenant, which holds for all routers together.
#pragma once

#include "ferryroad/base/ids.hpp"
#include "ferryroad/base/time.hpp"

#include <cstdint>

namespace ferryroad::coordination::quota {

/// Rate limit of a tenant over all routers, in units that its operator chooses (requests or
/// tokens).
struct rate_limit {
    /// Configuration revision that declares the limit; the highest is in force.
    base::revision revision;
    double per_second = 0;  ///< Units per second; above 0.
    double burst = 0;  ///< Units allowed at once beyond the rate; 0 stands for a small fraction of
                       ///< a second at the rate.

    friend bool operator==(const rate_limit&, const rate_limit&) = default;
};

/// Asks the home router of a tenant to count one request.
struct quota_ask {
    base::tenant_name tenant;
    double amount = 0;  ///< Cost of the request.
    rate_limit limit;   ///< Limit as known to the asking router.
    /// Number of routers that ask for the tenant, as last reported by a ledger; 0 if not known.
    std::uint32_t known_askers = 0;

    friend bool operator==(const quota_ask&, const quota_ask&) = default;
};

/// Answer to an ask.
struct quota_verdict {
    bool granted = false;
    base::duration retry_after{};  ///< Time to wait before a retry; 0 if granted.
    /// Number of routers that recently asked this ledger for the tenant.
    std::uint32_t askers = 0;

    friend bool operator==(const quota_verdict&, const quota_verdict&) = default;
};

}  // namespace ferryroad::coordination::quota
