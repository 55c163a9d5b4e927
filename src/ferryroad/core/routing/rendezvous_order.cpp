#include "ferryroad/core/routing/rendezvous_order.hpp"

#include "ferryroad/base/hash.hpp"

#include <algorithm>
#include <cstdint>

namespace ferryroad::core::routing {

namespace {

struct scored_candidate {
    std::uint64_t score = 0;
    std::size_t position = 0;
};

}  // namespace

std::vector<std::size_t> rendezvous_order(const std::vector<candidate>& candidates,
                                          base::piece_hash key, std::size_t count) {
    std::vector<scored_candidate> scored;
    scored.reserve(candidates.size());
    for (std::size_t position = 0; position < candidates.size(); ++position) {
        const std::string& name = candidates[position].engine.value;
        scored.push_back({base::rendezvous_score(key.value, name), position});
    }
    const std::size_t wanted = std::min(count, scored.size());
    const auto wanted_end = scored.begin() + static_cast<std::ptrdiff_t>(wanted);
    std::partial_sort(scored.begin(), wanted_end, scored.end(),
                      [&](const scored_candidate& left, const scored_candidate& right) {
                          return left.score != right.score ? left.score > right.score
                                                           : candidates[left.position].engine <
                                                                 candidates[right.position].engine;
                      });
    std::vector<std::size_t> order;
    order.reserve(wanted);
    for (auto each = scored.begin(); each != wanted_end; ++each) {
        order.push_back(each->position);
    }
    return order;
}

base::piece_hash middle_piece(const core::prefix::piece_chain& pieces,
                              base::random_source& random) {
    return pieces.empty() ? base::piece_hash(random.next()) : pieces[(pieces.size() - 1) / 2];
}

}  // namespace ferryroad::core::routing
