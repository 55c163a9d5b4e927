/// @file
/// Claim registry on top of the platform's table.
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

/// The router process that makes the claims.
struct claim_identity {
    base::router_name router;
    base::incarnation process;
};

/// Runs the state machines of coordination/claim against the table. Each table call covers one
/// row, so use a table that merges calls (`platform::batching_table`). The collaborators must
/// outlive the registry; the registry must outlive every coroutine started on it.
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

    /// Deletes expired claims and closes abandoned ones, page by page, until cancelled. The pause
    /// between pages grows with the number of live routers, so the load on the table doesn't
    /// depend on it.
    runtime::task<void> run_sweep_loop();
    /// Processes the next page. @return the number of claims deleted or closed.
    runtime::task<std::size_t> sweep_page();

  private:
    /// State of a granted claim until the claim is closed.
    struct granted_claim {
        coordination::claim::row_version version;
        std::int64_t claimed_at_ms = 0;
    };

    coordination::claim::claim_terms terms_of(const claim_request& request) const;
    coordination::claim::circumstances circumstances() const;
    runtime::task<coordination::claim::event> execute(platform::row_key key,
                                                      coordination::claim::action next_action);
    runtime::task<runtime::result<void, platform::error>> close(
        claim_request request, coordination::claim::closing_kind kind);
    std::optional<platform::transaction> sweep(const platform::row& row) const;

    runtime::scheduler& scheduler_;
    platform::table& table_;
    const process_liveness& liveness_;
    claim_identity identity_;
    claim_tunables limits_;
    std::function<bool(const coordination::claim::holder&)> known_dead_;
    std::unordered_map<base::attempt_id, granted_claim> granted_claims_;
    platform::row_key sweep_after_;
};

}  // namespace ferryroad::router
