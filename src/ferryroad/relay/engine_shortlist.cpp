#include "ferryroad/relay/engine_shortlist.hpp"

#include "ferryroad/base/hash.hpp"

#include <algorithm>

namespace ferryroad::relay {

namespace {

struct ranked_engine {
    std::uint64_t score = 0;
    const known_engine* engine = nullptr;
};

/// Appends the `count` engines that rank highest for a key, in no particular order.
void add_highest_ranked(const engine_pool& pool, std::uint64_t key, std::size_t count,
                        std::vector<const known_engine*>& listed) {
    std::vector<ranked_engine> ranked;
    ranked.reserve(pool.size());
    for (const pool_member& one : pool) {
        ranked.push_back({rank_of(key, one.name_hash), one.engine});
    }
    const auto end = ranked.begin() + static_cast<std::ptrdiff_t>(std::min(count, ranked.size()));
    std::nth_element(ranked.begin(), end, ranked.end(),
                     [](const auto& a, const auto& b) { return a.score > b.score; });
    for (auto one = ranked.begin(); one != end; ++one) {
        listed.push_back(one->engine);
    }
}

bool name_less(const known_engine* a, const known_engine* b) {
    return a->listed.name < b->listed.name;
}

}  // namespace

std::uint64_t rank_of(std::uint64_t key, std::uint64_t name_hash) {
    return base::hash_pair(key, name_hash);
}

std::vector<const known_engine*> shortlist(const engine_pool& pool, const shortlist_keys& keys,
                                           const shortlist_limits& limits) {
    std::vector<const known_engine*> listed;
    if (pool.size() <= limits.full_pool) {
        for (const pool_member& one : pool) {
            listed.push_back(one.engine);
        }
        return listed;
    }
    if (keys.home) {
        add_highest_ranked(pool, *keys.home, limits.home_candidates, listed);
    }
    std::vector<const known_engine*> sampled;
    add_highest_ranked(pool, keys.request, limits.sampled, sampled);
    add_to_shortlist(listed, sampled);
    return listed;
}

void add_to_shortlist(std::vector<const known_engine*>& listed,
                      const std::vector<const known_engine*>& added) {
    listed.insert(listed.end(), added.begin(), added.end());
    std::sort(listed.begin(), listed.end(), name_less);
    listed.erase(std::unique(listed.begin(), listed.end()), listed.end());
}

}  // namespace ferryroad::relay
