/// @file
/// Judges a finished run: what callers saw, what engines ran, who was sent to whom when.
#pragma once

#include "bench/audit/auditor.hpp"
#include "bench/simulation/cluster/cluster.hpp"
#include "bench/simulation/faults/fault_driver.hpp"
#include "bench/simulation/invariants/violation.hpp"

#include <vector>

namespace ferryroad::bench::simulation {

/// @return what all engines ran, in the auditor's terms.
std::vector<audit::execution> collect_executions(cluster& world);

struct run_audit {
    audit::verdict verdict;
    std::vector<violation> violations;
};

run_audit audit_run(cluster& world, const fault_driver& driver, const invariant_bounds& bounds);

}  // namespace ferryroad::bench::simulation
