/// Cached prompt state must not be fetched from an engine that has loaded newer weights. Such an
/// engine drops the state cached under the old weights, but a request that it had begun continues.
/// If that request's prompt state is evicted and computed again, this happens under the new
/// weights, yet the engine caches it in the scope of the old ones and reports it like any other
/// part. An engine with the old weights that fetched it would answer from state computed under
/// other weights.
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
const base::engine_name target_engine("e1");
const base::engine_name other_source_engine("e2");
const base::engine_name source_engine("e3");

/// Three engines of one pool with the old weights, and a cache store.
struct selection_fixture {
    engine_registry registry;
    policy_source policies{policy_staleness_limits{}};
    core::placement::warm_state warm;
    core::placement::engine_load_view loads;
    engine_selection selection{registry, policies, warm, loads, settings()};
    relay_call call;

    selection_fixture() {
        core::traffic::declaration declared;
        declared.version = 1;
        declared.stores = {{{"10.0.0.9", 9}, base::zone_name("z1")}};
        policies.offer(std::move(declared));
        policies.confirm(start);
        for (const auto& name : {target_engine, other_source_engine, source_engine}) {
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
    /// The holder reports that it caches the first `count` parts of the prompt under the old
    /// weights.
    void report_held(const base::engine_name& holder, std::size_t count) {
        warm.follow(holder, true);
        auto parts = core::prefix::scoped_parts_of(*call.prompt, old_scope);
        parts.resize(std::min(count, parts.size()));
        for (const auto& part : parts) {
            warm.told(part.key, holder, part.tokens, start);
        }
    }
    /// @return the selection of an engine with the old weights.
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

/// @return the address that the cached state is fetched from.
std::string source_of(const selected_engine& chosen) {
    return chosen.fetch_state_from->to_string();
}

}  // namespace

Test(outdated_state_sources, state_is_fetched_from_an_engine_with_the_weights_of_the_scope) {
    selection_fixture fixture;
    fixture.report_held(source_engine, 2);
    const auto chosen = fixture.select({source_engine});
    cr_assert_eq(chosen.fetchable_tokens, 9000);
    cr_assert_str_eq(source_of(chosen).c_str(), "10.0.0.3:1");
}

Test(outdated_state_sources, no_state_is_fetched_from_an_engine_with_newer_weights) {
    selection_fixture fixture;
    fixture.registry.record_version(source_engine, "m", 2);
    fixture.report_held(source_engine, 2);
    const auto chosen = fixture.select({source_engine});
    cr_assert_eq(chosen.fetchable_tokens, 0);
    cr_assert_eq(chosen.prefill_tokens, 9500);
    cr_assert_str_eq(source_of(chosen).c_str(), "10.0.0.9:9");
}

Test(outdated_state_sources, no_state_is_fetched_from_an_engine_about_to_load_newer_weights) {
    selection_fixture fixture;
    fixture.report_held(source_engine, 2);
    fixture.registry.expect_weights(source_engine, "m", 2, start + 1s);
    const auto chosen = fixture.select({source_engine});
    cr_assert_eq(chosen.fetchable_tokens, 0);
    cr_assert_str_eq(source_of(chosen).c_str(), "10.0.0.9:9");
    const auto later = fixture.select({source_engine}, start + 1s);
    cr_assert_eq(later.fetchable_tokens, 9000, "without news, it is taken to have the old weights");
}

Test(outdated_state_sources, another_engine_that_holds_less_is_used_instead) {
    selection_fixture fixture;
    fixture.registry.record_version(source_engine, "m", 2);
    fixture.report_held(source_engine, 2);
    fixture.report_held(other_source_engine, 1);
    const auto chosen = fixture.select({source_engine, other_source_engine});
    cr_assert_eq(chosen.fetchable_tokens, 1000);
    cr_assert_str_eq(source_of(chosen).c_str(), "10.0.0.2:1");
}

Test(outdated_state_sources, state_is_fetched_from_a_store_whatever_weights_engines_have) {
    selection_fixture fixture;
    fixture.registry.record_version(source_engine, "m", 2);
    fixture.report_held(source_engine, 2);
    fixture.report_held(holder_name_of(fixture.policies.current()->declared().stores.front()), 2);
    const auto chosen = fixture.select({source_engine});
    cr_assert_eq(chosen.fetchable_tokens, 9000);
    cr_assert_str_eq(source_of(chosen).c_str(), "10.0.0.9:9");
}
