/// Fixed seeds of the fault simulation: nothing that must always hold is broken.
#include "bench/simulation/simulation_run.hpp"

#include "ferryroad/runtime/log.hpp"

#include <criterion/criterion.h>

#include <set>

using namespace ferryroad::bench::simulation;

namespace {

constexpr std::uint64_t first_seed = 1;
constexpr std::uint64_t seeds = 40;

simulation_result run(std::uint64_t seed) {
    simulation_options options;
    options.seed = seed;
    return run_simulation(options);
}

}  // namespace

Test(simulation_run, fixed_seeds_break_nothing) {
    ferryroad::runtime::start_logging("test", ferryroad::runtime::log_level::error);
    fault_counts faults;
    std::uint64_t complete = 0;
    for (std::uint64_t seed = first_seed; seed < first_seed + seeds; ++seed) {
        const simulation_result result = run(seed);
        for (const violation& broken : result.violations) {
            cr_log_error("replay: ferrybench simulate --seeds 1 --seed %lu: %s: %s", seed,
                         std::string(to_string(broken.broken)).c_str(), broken.detail.c_str());
        }
        cr_expect(result.violations.empty(), "seed %lu", seed);
        faults.add_all(result.faults);
        complete += result.complete;
    }
    cr_assert_gt(complete, seeds * 150);
    for (std::size_t index = 0; index < fault_kinds; ++index) {
        const auto kind = static_cast<fault_kind>(index);
        cr_expect(faults.of(kind) > 0, "no %s", std::string(to_string(kind)).c_str());
    }
}

Test(simulation_run, same_seed_same_trace_under_faults) {
    ferryroad::runtime::start_logging("test", ferryroad::runtime::log_level::error);
    const simulation_result first = run(7);
    const simulation_result second = run(7);
    cr_assert_eq(first.trace_hash, second.trace_hash);
    cr_assert_eq(first.events, second.events);
    cr_assert_neq(first.trace_hash, run(8).trace_hash);
}

Test(fault_plan, a_series_of_seeds_begins_with_every_kind_and_overlaps) {
    std::set<fault_kind> kinds;
    std::size_t together = 0;
    for (std::uint64_t seed = 0; seed < 40; ++seed) {
        const auto plan = draw_fault_plan(seed, {});
        for (std::size_t index = 0; index < plan.size(); ++index) {
            kinds.insert(plan[index].kind);
            together += index > 0 && plan[index].at == plan[index - 1].at ? 1 : 0;
            cr_assert(plan[index].at + plan[index].length <= fault_plan_settings{}.until);
        }
    }
    // Loss, doubling and reordering of datagrams are shares, in force all the time.
    cr_assert_eq(kinds.size(), fault_kinds - 3);
    cr_assert_gt(together, 40U);
}
