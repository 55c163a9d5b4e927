/// @file
/// Claims' rows in the platform's table, and the registry's terms in those of the library.
#pragma once

#include "ferryroad/coordination/claim/messages.hpp"
#include "ferryroad/coordination/claim/opening.hpp"
#include "ferryroad/platform/services.hpp"
#include "ferryroad/router/claim_registry.hpp"
#include "ferryroad/router/claims/tunables.hpp"

#include <vector>

namespace ferryroad::router {

/// Every claim's row has a key that begins with this.
inline constexpr const char* claim_key_prefix = "claim/";

/// @return the key of the row: one for each tenant, route and idempotency key.
platform::row_key row_key_of(const claim_request& request);

platform::transaction to_transaction(const platform::row_key& key,
                                     const coordination::claim::write_row& write);

/// What the table's answer to a write of one transaction means to the claim's state machine.
coordination::claim::event to_event(
    const platform::result<std::vector<platform::transaction_outcome>>& answer);
/// The same of a read of one row.
coordination::claim::event to_event(const platform::result<std::vector<platform::row>>& answer);

/// The registry's answer, or an error where nothing may run.
runtime::result<claim_result, platform::error> to_claim_result(
    const coordination::claim::ended& end, const claim_tunables& limits);

coordination::claim::outcome to_kept_outcome(const recorded_outcome& outcome);

}  // namespace ferryroad::router
