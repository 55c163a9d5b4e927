#include "ferryroad/core/prefix/recent_dispatches.hpp"

namespace ferryroad::core::prefix {

void recent_dispatches::record(const engine_process& process, std::uint32_t prefill_tokens,
                               const base::router_name& reporter, base::monotonic_time now) {
    newest_first_.push_front({process, prefill_tokens, reporter, now});
    const auto outdated = [this, now](const stored_dispatch& each) {
        return now - each.at > settings_.window;
    };
    while (newest_first_.size() > settings_.max_stored || outdated(newest_first_.back())) {
        newest_first_.pop_back();
    }
}

std::vector<recent_dispatch> recent_dispatches::by_others(const base::router_name& asker,
                                                          base::monotonic_time now) const {
    std::vector<recent_dispatch> others;
    for (const stored_dispatch& each : newest_first_) {
        if (now - each.at > settings_.window || others.size() >= settings_.max_returned) {
            break;
        }
        if (each.reporter != asker) {
            others.push_back({each.process, each.prefill_tokens, now - each.at});
        }
    }
    return others;
}

}  // namespace ferryroad::core::prefix
