#include "ferryroad/coordination/configuration/rows.hpp"

namespace ferryroad::coordination::configuration {

std::optional<read_plan> plan_read(base::revision own, const head_row& head,
                                   const log_limits& limits) {
    if (own >= head.revision) {
        return std::nullopt;
    }
    const std::uint64_t missing = head.revision.value - own.value;
    // Less than one snapshot interval behind, reading the changes never takes more rows than a new
    // replica reads.
    const bool from_snapshot = head.snapshot > own && missing > limits.snapshot_interval;
    read_plan plan;
    if (from_snapshot) {
        plan.snapshot = head.snapshot;
    }
    const base::revision start = from_snapshot ? head.snapshot : own;
    plan.first_change = base::revision(start.value + 1);
    plan.last_change = head.revision;
    return plan;
}

}  // namespace ferryroad::coordination::configuration
