/// The slots of an engine are divided among routers without gap or overlap, and evenly.
#include "ferryroad/core/admission/slot_shares.hpp"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cstdlib>
#include <string>
#include <vector>

using namespace ferryroad;
using namespace ferryroad::core::admission;

namespace {

std::vector<base::router_name> routers_named(std::size_t count) {
    std::vector<base::router_name> names;
    for (std::size_t index = 0; index < count; ++index) {
        names.emplace_back("r" + std::to_string(index));
    }
    return names;
}

std::uint32_t share_of(const base::router_name& router,
                       const std::vector<base::router_name>& present, std::size_t engine,
                       std::uint32_t slots) {
    slot_shares shares(router);
    shares.set_routers(present);
    return shares.share_of(base::engine_name("e" + std::to_string(engine)), slots);
}

}  // namespace

Test(slot_shares, all_routers_together_have_each_slot_once_and_shares_differ_by_one_at_most) {
    const bool held = rc::check([] {
        const auto routers = routers_named(*rc::gen::inRange<std::size_t>(1, 100));
        const auto slots = *rc::gen::inRange<std::uint32_t>(0, 300);
        const auto engine = *rc::gen::inRange<std::size_t>(0, 1000);
        std::vector<std::uint32_t> shares;
        std::uint64_t total = 0;
        for (const base::router_name& router : routers) {
            shares.push_back(share_of(router, routers, engine, slots));
            total += shares.back();
        }
        RC_ASSERT(total == slots);
        const auto [least, most] = std::minmax_element(shares.begin(), shares.end());
        RC_ASSERT(*most - *least <= 1U);
    });
    cr_assert(held);
}

// A share that depends on the other engines moves with each engine that starts or crashes, and a
// slot has two owners until all routers know of it.
Test(slot_shares, a_router_that_leaves_moves_few_slots) {
    constexpr std::uint32_t slots = 16;
    constexpr std::size_t engines = 50;
    const auto all = routers_named(79);
    const std::vector<base::router_name> rest(all.begin(), all.end() - 1);
    std::size_t moved = 0;
    for (std::size_t engine = 0; engine < engines; ++engine) {
        for (const base::router_name& router : rest) {
            moved += share_of(router, all, engine, slots) != share_of(router, rest, engine, slots);
        }
    }
    cr_assert_leq(moved, engines, "%zu", moved);
}

Test(slot_shares, one_router_has_all_slots) {
    cr_assert_eq(share_of(base::router_name("r0"), routers_named(1), 7, 64), 64);
}

Test(slot_shares, the_slots_of_many_engines_are_spread_over_all_routers) {
    constexpr std::size_t engines = 200;
    const auto routers = routers_named(5);
    for (const base::router_name& router : routers) {
        std::uint32_t total = 0;
        for (std::size_t engine = 0; engine < engines; ++engine) {
            total += share_of(router, routers, engine, 2);
        }
        cr_assert_geq(total, 60, "of 80 on average");
        cr_assert_leq(total, 100, "of 80 on average");
    }
}
