/// @file
/// Which faults a run brings about, and when: a function of the seed.
#pragma once

#include "bench/simulation/faults/fault_counts.hpp"
#include "ferryroad/base/random.hpp"
#include "ferryroad/base/time.hpp"

#include <cstdint>
#include <vector>

namespace ferryroad::bench::simulation {

/// One fault that begins at `at` and is over after `length`. What `target` counts depends on
/// the kind: routers, engines, or nothing.
struct planned_fault {
    fault_kind kind{};
    base::duration at{};  ///< Since the run's begin.
    base::duration length{};
    std::uint64_t target = 0;     ///< Taken modulo the number of machines of its kind.
    std::uint64_t companion = 0;  ///< Second target, for cuts and races.
};

struct fault_plan_settings {
    base::duration from = std::chrono::seconds(2);
    base::duration until = std::chrono::seconds(30);  ///< No fault is in force after this.
    std::uint64_t fewest = 4;
    std::uint64_t most = 12;
    /// Share of the faults that begin together with the one before.
    double together_share = 0.4;
};

/// @return faults in order of time. Consecutive seeds begin with each kind in turn, so that a
/// series of seeds brings about all of them.
std::vector<planned_fault> draw_fault_plan(std::uint64_t seed, const fault_plan_settings& settings);

}  // namespace ferryroad::bench::simulation
