#include "ferryroad/coordination/stream/origin_replicas.hpp"

#include "ferryroad/base/hash.hpp"

#include <algorithm>
#include <cstdint>

namespace ferryroad::coordination::stream {

std::vector<base::router_name> ranked_routers(const stream_key& stream,
                                              const std::vector<base::router_name>& routers,
                                              std::size_t count) {
    struct ranked_router {
        std::uint64_t score = 0;
        const base::router_name* name = nullptr;
    };
    const std::uint64_t key = stream.digest.high;
    std::vector<ranked_router> ranked;
    ranked.reserve(routers.size());
    for (const base::router_name& name : routers) {
        ranked.push_back({base::rendezvous_score(key, name.value), &name});
    }
    const std::size_t chosen = std::min(count, ranked.size());
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(chosen),
                      ranked.end(), [](const ranked_router& a, const ranked_router& b) {
                          return a.score != b.score ? a.score > b.score : *a.name < *b.name;
                      });
    std::vector<base::router_name> names;
    for (std::size_t index = 0; index < chosen; ++index) {
        names.push_back(*ranked[index].name);
    }
    return names;
}

}  // namespace ferryroad::coordination::stream
