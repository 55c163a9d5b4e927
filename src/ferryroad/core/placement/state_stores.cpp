#include "ferryroad/core/placement/state_stores.hpp"

#include "ferryroad/base/hash.hpp"

#include <algorithm>

namespace ferryroad::core::placement {

const traffic::state_store* select_store(const std::vector<traffic::state_store>& stores,
                                         const prefix::declared_prompt& prompt) {
    if (stores.empty() || prompt.shared_parts() == 0) {
        return nullptr;
    }
    const std::uint64_t key = base::hash_bytes(prompt.parts[prompt.shared_parts() - 1].id);
    const auto score_of = [&](const traffic::state_store& store) {
        return base::rendezvous_score(key, store.address.to_string());
    };
    const auto best = std::max_element(
        stores.begin(), stores.end(),
        [&](const auto& one, const auto& other) { return score_of(one) < score_of(other); });
    return &*best;
}

bool is_worth_saving(const prompt_prefill& reading) {
    const std::uint64_t read = reading.shared - std::min(reading.held, reading.shared);
    const std::uint64_t least = reading.pinned ? least_pinned_tokens : 1;
    return read >= least && reading.own <= read;
}

}  // namespace ferryroad::core::placement
