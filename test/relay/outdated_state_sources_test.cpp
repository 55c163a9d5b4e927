/// Cached prompt state must not be exchanged under weights that are being replaced. An engine that
/// loads newer weights drops the state cached under the old ones, but a request that it had begun
/// continues. If that request's prompt state is evicted and computed again, this happens under the
/// new weights, yet the engine caches it in the scope of the old ones, stores it there and reports
/// it like any other part. An engine with the old weights that fetched it, from that engine or from
/// the store, would answer from state computed under other weights.
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
constexpr std::uint64_t own_tokens = 500;
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
        registry.on_newer_weights(
            [this](const auto&, const std::string& model, std::uint64_t version) {
                policies.record_observed_version(model, version, start);
            });
        registry.on_weights_announced([this](const std::string& model, std::uint64_t version) {
            policies.record_observed_version(model, version, start);
        });
        call.prompt = core::prefix::declared_prompt{
            "m", {{"a", 1000}, {"b", 8000}, {"own", own_tokens}}, 9500, 20};
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
    void report_stored() {
        report_held(holder_name_of(policies.current()->declared().stores.front()), 2);
    }
    /// Makes the selection expect that requests that fetch all shared parts begin after this time.
    void expect_waits(base::duration wait) {
        for (int request = 0; request < 200; ++request) {
            selection.record_begin_delay(base::pool_name("p"), {own_tokens, 20}, wait);
        }
    }
    /// @return the selection of an engine with the old weights.
    selected_engine select(std::vector<base::engine_name> excluded,
                           base::monotonic_time now = start + 10ms, bool may_be_withdrawn = true) {
        selection_query query{call, *policies.current(), base::pool_name("p"), nullptr,
                              std::move(excluded)};
        query.may_be_withdrawn = may_be_withdrawn;
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
    cr_assert_not(chosen.fetch_state_from.has_value());
}

Test(outdated_state_sources, no_state_is_fetched_from_an_engine_about_to_load_newer_weights) {
    selection_fixture fixture;
    fixture.report_held(source_engine, 2);
    fixture.report_stored();
    fixture.registry.expect_weights(source_engine, "m", 2, start + 1s);
    const auto chosen = fixture.select({source_engine});
    cr_assert_eq(chosen.fetchable_tokens, 0);
    cr_assert_not(chosen.fetch_state_from.has_value());
    const auto later = fixture.select({source_engine}, start + 1s);
    cr_assert_eq(later.fetchable_tokens, 9000, "without news, it is taken to have the old weights");
    cr_assert_str_eq(source_of(later).c_str(), "10.0.0.3:1");
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

// Guards against: the store was used although an engine had loaded newer weights, because this
// router's copy of the named versions was behind.
Test(outdated_state_sources, no_state_is_fetched_from_a_store_once_an_engine_has_newer_weights) {
    selection_fixture fixture;
    fixture.report_stored();
    fixture.registry.record_version(source_engine, "m", 2);
    const auto chosen = fixture.select({source_engine});
    cr_assert_not(chosen.fetch_state_from.has_value());
    cr_assert_not(chosen.save_state_to.has_value());
    fixture.policies.confirm(start + 1ms);  // The version is not named, so the engine was wrong.
    const auto confirmed = fixture.select({source_engine});
    cr_assert_str_eq(source_of(confirmed).c_str(), "10.0.0.9:9");
}

Test(outdated_state_sources, state_is_fetched_from_a_store_under_the_newest_weights) {
    selection_fixture fixture;
    fixture.report_stored();
    const auto chosen = fixture.select({source_engine});
    cr_assert_eq(chosen.fetchable_tokens, 9000);
    cr_assert_str_eq(source_of(chosen).c_str(), "10.0.0.9:9");
}

// Guards against: an engine continued a request under newer weights and stored its prompt state in
// the scope of the older ones, where engines with the older weights fetched it.
Test(outdated_state_sources, stores_are_not_used_under_weights_that_are_being_replaced) {
    selection_fixture fixture;
    fixture.report_stored();
    fixture.policies.add_named_version("m", 2);
    const auto chosen = fixture.select({source_engine});
    cr_assert_eq(chosen.fetchable_tokens, 0);
    cr_assert_eq(chosen.prefill_tokens, 9500);
    cr_assert_not(chosen.fetch_state_from.has_value());
    cr_assert_not(chosen.save_state_to.has_value());
    fixture.report_held(source_engine, 2);
    const auto from_engine = fixture.select({source_engine});
    cr_assert_str_eq(source_of(from_engine).c_str(), "10.0.0.3:1", "it has the old weights, too");
}

Test(outdated_state_sources, state_is_stored_under_the_newest_weights) {
    selection_fixture fixture;
    const auto chosen = fixture.select({source_engine});
    cr_assert_str_eq(chosen.save_state_to->to_string().c_str(), "10.0.0.9:9");
    fixture.report_stored();
    const auto again = fixture.select({source_engine}, start + 10ms, false);
    cr_assert_not(again.save_state_to.has_value(), "the store holds it");
}

Test(outdated_state_sources, a_request_that_cannot_be_withdrawn_fetches_if_it_begins_soon) {
    selection_fixture fixture;
    fixture.report_held(source_engine, 2);
    fixture.expect_waits(100ms);
    const auto chosen = fixture.select({source_engine}, start + 10ms, false);
    cr_assert_str_eq(source_of(chosen).c_str(), "10.0.0.3:1");
}

Test(outdated_state_sources, a_request_that_cannot_be_withdrawn_and_waits_fetches_no_state) {
    selection_fixture fixture;
    fixture.report_held(source_engine, 2);
    fixture.report_stored();
    fixture.expect_waits(2s);
    const auto chosen = fixture.select({source_engine}, start + 10ms, false);
    cr_assert_eq(chosen.fetchable_tokens, 0);
    cr_assert_eq(chosen.prefill_tokens, 9500);
    cr_assert_not(chosen.fetch_state_from.has_value());
    cr_assert(fixture.select({source_engine}).fetch_state_from.has_value(), "it can be withdrawn");
}

Test(outdated_state_sources,
     a_request_that_cannot_be_withdrawn_fetches_nothing_of_replaced_weights) {
    selection_fixture fixture;
    fixture.report_held(source_engine, 2);
    fixture.expect_waits(100ms);
    fixture.policies.add_named_version("m", 2);
    const auto chosen = fixture.select({source_engine}, start + 10ms, false);
    cr_assert_not(chosen.fetch_state_from.has_value());
}

// Guards against: the source was checked only when the request was sent, and it loaded newer
// weights while the request waited.
Test(outdated_state_sources, a_source_that_is_about_to_load_newer_weights_is_noticed_later) {
    selection_fixture fixture;
    fixture.report_held(source_engine, 2);
    const auto chosen = fixture.select({source_engine});
    const base::monotonic_time later = start + 20ms;
    cr_assert_not(fixture.selection.would_fetch_outdated_state(chosen, fixture.call, later));
    cr_assert_not(fixture.selection.next_state_check(chosen, fixture.call, later).has_value());
    fixture.policies.add_named_version("m", 2);
    cr_assert_not(fixture.selection.would_fetch_outdated_state(chosen, fixture.call, later));
    const auto check_at = fixture.selection.next_state_check(chosen, fixture.call, later);
    cr_assert(check_at > later && *check_at <= later + 150ms, "sooner than it can load");
    fixture.registry.expect_weights(source_engine, "m", 2, start + 2s);
    cr_assert(fixture.selection.would_fetch_outdated_state(chosen, fixture.call, later));
}

// Guards against: a router that was cut off or had been frozen used sources on the strength of what
// it knew before.
Test(outdated_state_sources, a_router_that_would_not_learn_of_newer_weights_exchanges_no_state) {
    selection_fixture fixture;
    bool learns = false;
    fixture.selection.set_weights_notice_check([&] { return learns; });
    fixture.report_held(source_engine, 2);
    fixture.report_stored();
    const auto cut_off = fixture.select({source_engine});
    cr_assert_not(cut_off.fetch_state_from.has_value());
    cr_assert_not(cut_off.save_state_to.has_value());
    cr_assert_eq(cut_off.fetchable_tokens, 0);
    learns = true;
    cr_assert(fixture.select({source_engine}).fetch_state_from.has_value());
}
