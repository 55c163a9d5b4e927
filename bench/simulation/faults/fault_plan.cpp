#include "bench/simulation/faults/fault_plan.hpp"

#include <algorithm>
#include <array>

namespace ferryroad::bench::simulation {

namespace {

/// Kinds that are planned one by one; loss, doubling and reordering of datagrams are shares.
constexpr std::array planned_kinds = {fault_kind::router_kill,
                                      fault_kind::router_herd_restart,
                                      fault_kind::router_pause,
                                      fault_kind::router_planned_stop,
                                      fault_kind::engine_crash,
                                      fault_kind::engine_slow,
                                      fault_kind::engine_freeze,
                                      fault_kind::engine_leaving,
                                      fault_kind::engine_overloaded,
                                      fault_kind::stream_cut,
                                      fault_kind::application_lost_answer,
                                      fault_kind::event_gap,
                                      fault_kind::cut,
                                      fault_kind::slow_network,
                                      fault_kind::platform_outage,
                                      fault_kind::platform_slow,
                                      fault_kind::platform_lost_answer,
                                      fault_kind::platform_rate_limit,
                                      fault_kind::operator_race,
                                      fault_kind::weights_change};

constexpr std::uint64_t shortest_milliseconds = 200;
constexpr std::uint64_t longest_milliseconds = 8000;

}  // namespace

std::vector<planned_fault> draw_fault_plan(std::uint64_t seed,
                                           const fault_plan_settings& settings) {
    base::seeded_random random(seed ^ 0x5eedfa17U);
    const std::uint64_t count = settings.fewest + random.below(settings.most - settings.fewest + 1);
    const auto span = base::to_milliseconds(settings.until - settings.from);
    std::vector<planned_fault> plan;
    for (std::uint64_t index = 0; index < count; ++index) {
        planned_fault fault;
        const std::uint64_t drawn = random.next();
        fault.kind = planned_kinds[(index == 0 ? seed : drawn) % planned_kinds.size()];
        const bool together = !plan.empty() && random.unit() < settings.together_share;
        const auto offset = random.below(static_cast<std::uint64_t>(span));
        fault.at = together ? plan.back().at : settings.from + std::chrono::milliseconds(offset);
        fault.length = std::chrono::milliseconds(
            shortest_milliseconds + random.below(longest_milliseconds - shortest_milliseconds));
        fault.length = std::min(fault.length, settings.until - fault.at);
        fault.target = random.next();
        fault.companion = random.next();
        plan.push_back(fault);
    }
    std::stable_sort(plan.begin(), plan.end(),
                     [](const auto& left, const auto& right) { return left.at < right.at; });
    return plan;
}

}  // namespace ferryroad::bench::simulation
