/// An engine that has taken newer weights drops what it kept under the old ones. A request that it
/// had begun goes on, though, and where its prompt gives way to others and is read anew, that
/// happens under the new weights and is kept in the scope of the old ones. The engine tells of it
/// as of any other part. An engine with the old weights that fetches it answers from memory that
/// was made under other weights than its own.
#include "ferryroad/relay/selection.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

using namespace ferryroad;
using namespace ferryroad::relay;
using namespace std::chrono_literals;

namespace {

constexpr base::monotonic_time start{100s};
constexpr const char* old_scope = "shared/1";
const base::engine_name reader("e1");
const base::engine_name keeper("e2");
const base::engine_name giver("e3");

/// Three engines of one pool with the old weights, and a store.
struct fixture {
    engine_registry registry;
    policy_source policies{policy_bounds{}};
    core::placement::warm_state warm;
    core::placement::engine_load_view loads;
    engine_selection selection{registry, policies, warm, loads, settings()};
    relay_call call;

    fixture() {
        core::traffic::declaration declared;
        declared.version = 1;
        declared.stores = {{{"10.0.0.9", 9}, base::zone_name("z1")}};
        policies.offer(std::move(declared));
        policies.confirm(start);
        for (const auto& name : {reader, keeper, giver}) {
            put(name, 1);
        }
        call.prompt =
            core::prefix::declared_prompt{"m", {{"a", 1000}, {"b", 8000}, {"own", 500}}, 9500, 20};
    }
    static selection_settings settings() {
        selection_settings all;
        all.zone = base::zone_name("z1");
        all.outdated_limit = 7s;
        return all;
    }
    void put(const base::engine_name& name, std::uint64_t version) {
        listed_engine one;
        one.name = name;
        one.pool.value = "p";
        one.zone.value = "z1";
        one.address = {"10.0.0." + name.value.substr(1), 1};
        one.slots = 8;
        one.versions["m"] = version;
        registry.put(one);
    }
    /// The holder tells that it keeps the first `count` parts of the prompt under old weights.
    void hold(const base::engine_name& holder, std::size_t count) {
        warm.follow(holder, true);
        auto parts = core::prefix::scoped_parts_of(*call.prompt, old_scope);
        parts.resize(std::min(count, parts.size()));
        for (const auto& part : parts) {
            warm.told(part.key, holder, part.tokens, start);
        }
    }
    /// @return the terms for an engine with the old weights.
    selected_engine select(std::vector<base::engine_name> excluded,
                           base::monotonic_time now = start + 10ms) {
        const selection_query query{call, *policies.current(), base::pool_name("p"), nullptr,
                                    std::move(excluded)};
        const auto chosen = selection.select(query, now);
        cr_assert(chosen.has_value());
        cr_assert_str_eq(chosen->cache_scope->c_str(), old_scope);
        return *chosen;
    }
};

/// @return the address that the state is fetched from.
std::string source_of(const selected_engine& chosen) {
    return chosen.fetch_state_from->to_string();
}

}  // namespace

Test(outdated_givers, an_engine_with_the_weights_of_the_scope_gives) {
    fixture at;
    at.hold(giver, 2);
    const auto chosen = at.select({giver});
    cr_assert_eq(chosen.fetchable_tokens, 9000);
    cr_assert_str_eq(source_of(chosen).c_str(), "10.0.0.3:1");
}

Test(outdated_givers, one_that_has_newer_weights_by_now_gives_nothing) {
    fixture at;
    at.registry.saw_version(giver, "m", 2);
    at.hold(giver, 2);
    const auto chosen = at.select({giver});
    cr_assert_eq(chosen.fetchable_tokens, 0);
    cr_assert_eq(chosen.prefill_tokens, 9500);
    cr_assert_str_eq(source_of(chosen).c_str(), "10.0.0.9:9");
}

Test(outdated_givers, nor_does_one_that_is_about_to_take_them) {
    fixture at;
    at.hold(giver, 2);
    at.registry.expect_weights(giver, "m", 2, start + 1s);
    const auto chosen = at.select({giver});
    cr_assert_eq(chosen.fetchable_tokens, 0);
    cr_assert_str_eq(source_of(chosen).c_str(), "10.0.0.9:9");
    const auto later = at.select({giver}, start + 1s);
    cr_assert_eq(later.fetchable_tokens, 9000, "no news: it has the old weights still");
}

Test(outdated_givers, another_that_holds_less_is_fetched_from_instead) {
    fixture at;
    at.registry.saw_version(giver, "m", 2);
    at.hold(giver, 2);
    at.hold(keeper, 1);
    const auto chosen = at.select({giver, keeper});
    cr_assert_eq(chosen.fetchable_tokens, 1000);
    cr_assert_str_eq(source_of(chosen).c_str(), "10.0.0.2:1");
}

Test(outdated_givers, what_a_store_holds_is_fetched_whatever_engines_have_taken) {
    fixture at;
    at.registry.saw_version(giver, "m", 2);
    at.hold(giver, 2);
    at.hold(holder_of(at.policies.current()->declared().stores.front()), 2);
    const auto chosen = at.select({giver});
    cr_assert_eq(chosen.fetchable_tokens, 9000);
    cr_assert_str_eq(source_of(chosen).c_str(), "10.0.0.9:9");
}
