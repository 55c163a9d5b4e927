#include "ferryroad/platform/call_pacer.hpp"

#include <algorithm>

namespace ferryroad::platform {

namespace {

constexpr unsigned max_doublings = 10;
/// A pause is extended by a random share of itself, up to this one.
constexpr double max_jitter_share = 0.5;

}  // namespace

call_pacer::call_pacer(runtime::scheduler& scheduler, pacer_limits limits)
    : scheduler_(scheduler),
      limits_(limits),
      interval_(base::from_seconds(1.0 / limits.calls_per_second)) {}

base::monotonic_time call_pacer::reserve() {
    const base::monotonic_time now = scheduler_.now();
    const base::duration burst_allowance =
        base::from_seconds(base::to_seconds(interval_) * std::max(0.0, limits_.burst - 1.0));
    const base::monotonic_time slot = std::max(now, next_slot_ - burst_allowance);
    next_slot_ = std::max(now, next_slot_) + interval_;
    return slot;
}

runtime::task<void> call_pacer::turn() {
    const base::monotonic_time slot = reserve();
    while (scheduler_.now() < std::max(slot, paused_until_)) {
        co_await scheduler_.sleep_until(std::max(slot, paused_until_));
    }
}

void call_pacer::refused(base::duration retry_after) {
    const base::duration doubled =
        limits_.initial_pause * (1U << std::min(refusals_, max_doublings));
    ++refusals_;
    const base::duration pause = std::max(retry_after, std::min(doubled, limits_.max_pause));
    const double share = 1.0 + max_jitter_share * scheduler_.random().unit();
    const base::duration jittered = base::from_seconds(base::to_seconds(pause) * share);
    paused_until_ = std::max(paused_until_, scheduler_.now() + jittered);
    for (const auto& listener : listeners_) {
        listener();
    }
}

}  // namespace ferryroad::platform
