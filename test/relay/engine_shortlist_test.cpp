/// In a large pool only a few engines are considered per request, and every router selects the same
/// home engine for a prompt.
#include "ferryroad/relay/engine_shortlist.hpp"

#include "ferryroad/base/hash.hpp"
#include "ferryroad/relay/selection.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <set>
#include <string>

using namespace ferryroad;
using namespace ferryroad::relay;
using namespace std::chrono_literals;

namespace {

constexpr base::monotonic_time start{100s};
const base::pool_name pool_name("p");

listed_engine engine_of(std::size_t number) {
    listed_engine one;
    one.name.value = "i-" + std::to_string(number * 7919 % 1'000'003);
    one.pool = pool_name;
    one.zone.value = "z" + std::to_string(number % 5);
    one.address = {"10.0." + std::to_string(number / 250) + "." + std::to_string(number % 250), 1};
    one.slots = 16;
    one.versions["m"] = 1;
    return one;
}

void fill(engine_registry& registry, std::size_t count) {
    for (std::size_t number = 0; number < count; ++number) {
        registry.put(engine_of(number), start);
    }
}

shortlist_keys keys_of(const std::string& request) {
    return {base::hash_bytes("shared"), base::hash_bytes(request)};
}

/// A router's registry, policy and selection over the same engines.
struct test_router {
    explicit test_router(std::size_t engines) {
        fill(registry, engines);
        core::traffic::declaration declared;
        declared.version = 1;
        policies.offer(std::move(declared));
        policies.confirm(start);
    }
    static selection_settings settings() {
        selection_settings all;
        all.zone = base::zone_name("z1");
        return all;
    }
    std::optional<selected_engine> select(const std::string& request,
                                          std::vector<base::engine_name> excluded = {}) {
        relay_call call;
        call.id.value = request;
        call.prompt = core::prefix::declared_prompt{
            "m", {{"a", 1000}, {"shared", 8000}, {"own", 500}}, 9500, 20};
        const selection_query query{call, *policies.current(), pool_name, nullptr,
                                    std::move(excluded)};
        return selection.select(query, start);
    }

    engine_registry registry;
    policy_source policies{policy_staleness_limits{}};
    core::placement::warm_state warm;
    core::placement::engine_load_view loads;
    engine_selection selection{registry, policies, warm, loads, settings()};
};

}  // namespace

Test(engine_shortlist, lists_all_engines_of_a_small_pool_sorted_by_name) {
    engine_registry registry;
    const shortlist_limits limits;
    fill(registry, limits.full_pool);
    const auto listed = shortlist(registry.pool(pool_name), keys_of("r"), limits);
    cr_assert_eq(listed.size(), limits.full_pool);
    cr_assert(std::is_sorted(listed.begin(), listed.end(), [](const auto* a, const auto* b) {
        return a->listed.name < b->listed.name;
    }));
}

Test(engine_shortlist, shortlist_size_is_independent_of_the_pool_size) {
    const shortlist_limits limits;
    for (const std::size_t engines : {1'000, 10'000, 20'000}) {
        engine_registry registry;
        fill(registry, engines);
        const auto listed = shortlist(registry.pool(pool_name), keys_of("r"), limits);
        cr_assert_leq(listed.size(), limits.home_candidates + limits.sampled);
        cr_assert_geq(listed.size(), limits.sampled);
    }
}

Test(engine_shortlist, requests_sample_different_engines_and_share_home_candidates) {
    engine_registry registry;
    fill(registry, 5'000);
    const shortlist_limits limits;
    const engine_pool& pool = registry.pool(pool_name);
    const auto first = shortlist(pool, keys_of("r1"), limits);
    const auto second = shortlist(pool, keys_of("r2"), limits);
    std::vector<const known_engine*> shared_candidates;
    std::set_intersection(first.begin(), first.end(), second.begin(), second.end(),
                          std::back_inserter(shared_candidates), [](const auto* a, const auto* b) {
                              return a->listed.name < b->listed.name;
                          });
    cr_assert_geq(shared_candidates.size(), limits.home_candidates);
    cr_assert_leq(shared_candidates.size(), limits.home_candidates + 10);
}

/// Load pattern: prompts with long shared parts reach routers that know few holders of their state.
Test(engine_shortlist, all_routers_use_the_home_when_few_holders_are_known) {
    test_router one(3'000);
    test_router other(3'000);
    for (test_router* each : {&one, &other}) {
        each->selection.set_holders_known_check([] { return false; });
        each->selection.expect_routers(985, 50);
    }
    const auto home = one.select("r1")->target.name;
    for (int request = 2; request < 40; ++request) {
        cr_assert(other.select("r" + std::to_string(request))->target.name == home);
    }
    const auto second = one.select("r1", {home})->target.name;
    cr_assert(other.select("r5", {home})->target.name == second,
              "both routers agree on the next home, too");
}

Test(engine_shortlist, fetches_state_from_a_busy_home) {
    test_router one(3'000);
    one.selection.set_holders_known_check([] { return false; });
    const auto home = one.select("r1")->target;
    one.registry.find(home.name)->pending_prefill_tokens = 100'000;
    const auto chosen = one.select("r1");
    cr_assert(chosen->target.name != home.name);
    cr_assert(chosen->fetch_state_from == home.address);
}

Test(engine_shortlist, lists_holders_of_the_prompt_regardless_of_rank) {
    test_router one(3'000);
    const auto home = one.select("r1")->target.name;
    const core::prefix::declared_prompt prompt{
        "m", {{"a", 1000}, {"shared", 8000}, {"own", 500}}, 9500, 20};
    base::engine_name holder;
    for (const auto& [name, engine] : one.registry.engines()) {
        if (engine.listed.zone.value == "z1" && name != home) {
            holder = name;
        }
    }
    one.warm.follow(holder, true);
    for (const auto& part : core::prefix::scoped_parts_of(prompt, "shared/1")) {
        one.warm.told(part.key, holder, part.tokens, start);
    }
    cr_assert(one.select("r2")->target.name == holder);
}
