/// @file
/// One seeded run: a cluster under callers, operators and faults, judged.
#pragma once

#include "bench/simulation/faults/fault_counts.hpp"
#include "bench/simulation/faults/fault_plan.hpp"
#include "bench/simulation/invariants/violation.hpp"

#include <cstdint>
#include <vector>

namespace ferryroad::bench::simulation {

struct simulation_options {
    std::uint64_t seed = 1;
    std::uint32_t routers = 3;
    std::uint32_t engines = 5;
    std::uint32_t application_engines = 2;
    std::uint64_t requests = 600;
    double requests_per_second = 20;
    bool with_faults = true;
};

struct simulation_result {
    std::uint64_t seed = 0;
    std::vector<violation> violations;
    std::vector<planned_fault> plan;
    fault_counts faults;
    std::uint64_t calls = 0;
    std::uint64_t complete = 0;
    std::uint64_t refused = 0;
    std::uint64_t cut = 0;  ///< By kills, hang-ups, or never connected.
    std::uint64_t executions = 0;
    std::uint64_t attempts_beyond_first = 0;
    std::uint64_t once_only_requests = 0;
    std::uint64_t configuration_changes = 0;
    std::uint64_t operator_conflicts = 0;
    std::uint64_t events = 0;
    std::uint64_t trace_hash = 0;
};

/// Single-threaded and deterministic; runs of several seeds may go on in several threads.
simulation_result run_simulation(const simulation_options& options);

}  // namespace ferryroad::bench::simulation
