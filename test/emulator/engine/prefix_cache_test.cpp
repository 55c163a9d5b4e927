/// The prefix cache against a reference set built from its updates: the cached pieces of a chain
/// form a prefix, pinned pieces stay, and the capacity is not exceeded.
#include "emulator/engine/prefix_cache.hpp"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <set>

using namespace ferryroad;
using emulator::prefix_cache;

namespace {

core::prefix::cache_namespace scope_of(int number) {
    return {base::tenant_name("t" + std::to_string(number)),
            base::model_name("m"),
            base::weights_version("v"),
            {}};
}

/// @return chain `branch` of `length` pieces; branches 0 and 1 share their first two pieces, and so
/// do 2 and 3.
core::prefix::piece_chain chain_of(int branch, std::uint32_t length) {
    core::prefix::piece_chain chain;
    for (std::uint32_t depth = 0; depth < length; ++depth) {
        const int origin = depth < 2 ? branch / 2 * 2 : branch;
        chain.emplace_back(static_cast<std::uint64_t>(origin * 100) + depth);
    }
    return chain;
}

/// A chain in use, with its first `pinned` pieces pinned.
struct use {
    core::prefix::cache_namespace scope;
    core::prefix::piece_chain chain;
    std::uint32_t pinned = 0;
};

constexpr std::uint32_t capacity = 6;

using piece_set = std::set<std::pair<core::prefix::cache_namespace, base::piece_hash>>;

void apply_updates(prefix_cache& cache, piece_set& held) {
    for (const emulator::cache_update& update : cache.take_updates()) {
        const auto piece = std::pair(update.scope, update.piece);
        if (update.change == engine::cache_change::stored) {
            RC_ASSERT(held.insert(piece).second);
        } else {
            RC_ASSERT(held.erase(piece) == 1U);
        }
    }
}

void check_prefixes(const prefix_cache& cache, const piece_set& held) {
    for (int number = 0; number < 2; ++number) {
        for (int branch = 0; branch < 4; ++branch) {
            const auto chain = chain_of(branch, 5);
            const std::uint32_t match = cache.match(scope_of(number), chain);
            for (std::uint32_t depth = 0; depth < chain.size(); ++depth) {
                const bool is_held = held.contains({scope_of(number), chain[depth]});
                RC_ASSERT(is_held == (depth < match));
            }
        }
    }
}

use begin_use(prefix_cache& cache) {
    const int branch = *rc::gen::inRange(0, 4);
    use begun{scope_of(*rc::gen::inRange(0, 2)),
              chain_of(branch, static_cast<std::uint32_t>(*rc::gen::inRange(1, 6)))};
    begun.pinned = cache.pin(begun.scope, begun.chain);
    while (begun.pinned < begun.chain.size() &&
           cache.append(begun.scope, begun.chain, begun.pinned)) {
        ++begun.pinned;
    }
    return begun;
}

}  // namespace

Test(prefix_cache, holds_prefixes_of_chains) {
    cr_assert(rc::check("prefixes, pins, capacity, updates", [] {
        prefix_cache cache(capacity);
        piece_set held;
        std::vector<use> uses;
        const int steps = *rc::gen::inRange(1, 60);
        for (int step = 0; step < steps; ++step) {
            if (!uses.empty() && *rc::gen::inRange(0, 2) == 0) {
                const auto ended = uses.begin() + *rc::gen::inRange<long>(0, uses.size());
                cache.unpin(ended->scope, ended->chain, ended->pinned);
                uses.erase(ended);
            } else {
                uses.push_back(begin_use(cache));
            }
            apply_updates(cache, held);
            RC_ASSERT(held.size() == cache.size());
            RC_ASSERT(cache.size() <= capacity);
            check_prefixes(cache, held);
            for (const use& current : uses) {
                RC_ASSERT(cache.match(current.scope, current.chain) >= current.pinned);
            }
        }
    }));
}

Test(prefix_cache, evicts_the_end_of_the_least_recently_used_chain) {
    prefix_cache cache(4);
    for (const int branch : {0, 2}) {
        const auto chain = chain_of(branch, 2);
        cr_assert(cache.append(scope_of(0), chain, 0));
        cr_assert(cache.append(scope_of(0), chain, 1));
        cache.unpin(scope_of(0), chain, 2);
    }
    cr_assert(cache.append(scope_of(1), chain_of(0, 1), 0));
    cr_assert_eq(cache.match(scope_of(0), chain_of(0, 2)), 1U,
                 "the last piece of the oldest chain is evicted");
    cr_assert_eq(cache.match(scope_of(0), chain_of(2, 2)), 2U);
}

Test(prefix_cache, namespaces_share_nothing) {
    prefix_cache cache(4);
    const auto chain = chain_of(0, 1);
    cr_assert(cache.append(scope_of(0), chain, 0));
    cr_assert_eq(cache.match(scope_of(1), chain), 0U, "same hash, other tenant");
    cr_assert_eq(cache.pin(scope_of(1), chain), 0U);
}
