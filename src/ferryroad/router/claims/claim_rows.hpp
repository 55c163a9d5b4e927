/// @file
/// Conversions between the claim registry, the claim state machines and the platform's table,
/// in which each claim is one row.
#pragma once

#include "ferryroad/coordination/claim/messages.hpp"
#include "ferryroad/coordination/claim/opening.hpp"
#include "ferryroad/platform/services.hpp"
#include "ferryroad/router/claim_registry.hpp"
#include "ferryroad/router/claims/tunables.hpp"

#include <vector>

namespace ferryroad::router {

/// Prefix of the row keys of all claims.
inline constexpr const char* claim_key_prefix = "claim/";

/// @return the key of the claim's row, unique for tenant, route and idempotency key.
platform::row_key row_key_of(const claim_request& request);

/// @return a transaction that performs `write` on the row `key`.
platform::transaction to_transaction(const platform::row_key& key,
                                     const coordination::claim::write_row& write);

/// Converts the table's answer to a write of one transaction to an event of the claim's state
/// machine.
coordination::claim::event to_event(
    const platform::result<std::vector<platform::transaction_outcome>>& answer);
/// Converts the table's answer to a read of one row.
coordination::claim::event to_event(const platform::result<std::vector<platform::row>>& answer);

/// @return the registry's answer, or an error if the claim could not be made and the request
/// must not run.
runtime::result<claim_result, platform::error> to_claim_result(
    const coordination::claim::ended& end, const claim_tunables& limits);

/// @return the outcome in the form in which it is stored in the claim's row.
coordination::claim::outcome to_stored_outcome(const recorded_outcome& outcome);

}  // namespace ferryroad::router
