/// @file
/// The log lines of a dispatch: what was known and decided, from which operators find causes.
#pragma once

#include "ferryroad/base/time.hpp"
#include "ferryroad/core/execution/actions.hpp"
#include "ferryroad/core/prefix/declared_prompt.hpp"
#include "ferryroad/relay/relay_plan.hpp"
#include "ferryroad/relay/selection.hpp"

#include <vector>

namespace ferryroad::relay {

/// When a dispatch was decided, and how old the policy and the list of engines were that it
/// relied on.
struct dispatch_moment {
    base::monotonic_time now{};
    base::duration policy_age{};
    base::duration engines_age{};
};

/// Used from the event loop's thread, as all here.
void log_dispatch(const relay_plan& plan, const selected_engine& selected,
                  core::execution::attempt_number attempt, const dispatch_moment& moment);

/// A request was withdrawn from its engine, as it might no longer begin there.
/// @param lost what had let it begin. @param waited since it was sent there.
void log_withdrawal(const relay_plan& plan, const selected_engine& selected, dispatch_ground lost,
                    base::duration waited, base::monotonic_time now);

/// What `scripts/explain-reads` needs: the prompt's shared parts, at level debug.
void log_prompt(const relay_plan& plan, const selected_engine& selected,
                const std::vector<core::prefix::scoped_part>& parts);

}  // namespace ferryroad::relay
