/// @file
/// Claims in the platform's table.
#pragma once

#include "ferryroad/coordination/claim/closing.hpp"
#include "ferryroad/coordination/claim/opening.hpp"
#include "ferryroad/platform/services.hpp"
#include "ferryroad/router/claim_registry.hpp"
#include "ferryroad/router/claims/process_liveness.hpp"
#include "ferryroad/router/claims/tunables.hpp"
#include "ferryroad/runtime/scheduler.hpp"

#include <functional>
#include <unordered_map>

namespace ferryroad::router {

/// The process that claims.
struct claim_identity {
    base::router_name router;
    base::incarnation process;
};

/// Drives coordination/claim over the table, one row a call: give it a table that merges calls
/// (`platform::batching_table`). Collaborators outlive it; it outlives every coroutine that it
/// or its callers started.
class table_claim_registry final : public claim_registry {
  public:
    table_claim_registry(runtime::scheduler& scheduler, platform::table& table,
                         const process_liveness& liveness, claim_identity identity,
                         claim_tunables limits = {});

    runtime::task<runtime::result<claim_result, platform::error>> claim(
        claim_request request) override;
    runtime::task<runtime::result<void, platform::error>> finish(claim_request request,
                                                                 recorded_outcome outcome) override;
    runtime::task<runtime::result<void, platform::error>> release(claim_request request) override;

    /// Deletes expired claims and closes abandoned ones, page by page, for ever. The load on
    /// the table is the same for any number of routers.
    runtime::task<void> sweep_for_ever();
    /// Looks through the next page. @return claims written.
    runtime::task<std::size_t> sweep_page();

  private:
    /// What is remembered of an attempt between its grant and its end.
    struct granted_claim {
        coordination::claim::row_version version;
        std::int64_t claimed_at_ms = 0;
    };

    coordination::claim::claim_terms terms_of(const claim_request& request) const;
    coordination::claim::circumstances circumstances() const;
    runtime::task<coordination::claim::event> carry_out(platform::row_key key,
                                                        coordination::claim::action wanted);
    runtime::task<runtime::result<void, platform::error>> close(
        claim_request request, coordination::claim::closing_kind kind);
    std::optional<platform::transaction> sweep(const platform::row& row) const;

    runtime::scheduler& scheduler_;
    platform::table& table_;
    const process_liveness& liveness_;
    claim_identity identity_;
    claim_tunables limits_;
    std::function<bool(const coordination::claim::holder&)> known_dead_;
    std::unordered_map<base::attempt_id, granted_claim> granted_;
    platform::row_key sweep_after_;
};

}  // namespace ferryroad::router
