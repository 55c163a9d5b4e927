/// Which engines are selected for a request, and the parameters of its dispatch.
#include "ferryroad/relay/selection.hpp"

#include <criterion/criterion.h>

#include <set>
#include <string>

using namespace ferryroad;
using namespace ferryroad::relay;
using namespace std::chrono_literals;

namespace {

constexpr base::monotonic_time start{100s};

struct fixture {
    engine_registry registry;
    policy_source policies{policy_staleness_limits{}};
    core::placement::warm_state warm;
    core::placement::engine_load_view loads;
    engine_selection selection{registry, policies, warm, loads, settings()};
    core::traffic::tenant open_tenant{base::tenant_name("t"), {}, std::nullopt, false};
    core::traffic::tenant isolated_tenant{base::tenant_name("i"), {}, std::nullopt, true};
    relay_call call;

    fixture() {
        core::traffic::declaration declared;
        declared.version = 1;
        declared.stores = {{{"10.0.0.9", 9}, base::zone_name("z1")}};
        policies.offer(std::move(declared));
        policies.confirm(start);
        for (const char* name : {"e1", "e2", "e3"}) {
            add(name, name == std::string("e3") ? "z2" : "z1", 1);
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
    void add(const char* name, const char* zone, std::uint64_t version) {
        listed_engine one;
        one.name.value = name;
        one.pool.value = "p";
        one.zone.value = zone;
        one.address = {"10.0.0." + std::string(name + 1), 1};
        one.slots = 8;
        one.versions["m"] = version;
        registry.put(one);
    }
    void hold(const char* name, const char* scope) {
        warm.follow(base::engine_name(name), true);
        for (const auto& part : core::prefix::scoped_parts_of(*call.prompt, scope)) {
            warm.told(part.key, base::engine_name(name), part.tokens, start);
        }
    }
    std::optional<selected_engine> select(const core::traffic::tenant* tenant = nullptr,
                                          std::vector<base::engine_name> excluded = {},
                                          base::monotonic_time now = start) {
        const selection_query query{call, *policies.current(), base::pool_name("p"), tenant,
                                    std::move(excluded)};
        return selection.select(query, now);
    }
};

}  // namespace

Test(selection, skips_leaving_and_excluded_engines_and_other_pools) {
    fixture at;
    listed_engine leaving = at.registry.find(base::engine_name("e1"))->listed;
    leaving.leaving = true;
    at.registry.put(leaving);
    listed_engine other = at.registry.find(base::engine_name("e2"))->listed;
    other.pool.value = "q";
    at.registry.put(other);
    cr_assert(at.select()->target.name == base::engine_name("e3"));
    cr_assert_not(at.select(nullptr, {base::engine_name("e3")}).has_value());
}

Test(selection, skips_engines_whose_software_version_a_stream_may_not_begin_at) {
    fixture at;
    for (const char* name : {"e1", "e2", "e3"}) {
        listed_engine one = at.registry.find(base::engine_name(name))->listed;
        one.software.value = name == std::string("e3") ? "v1" : "v2";
        at.registry.put(one);
    }
    selection_query query{
        at.call, *at.policies.current(), base::pool_name("p"), &at.open_tenant, {}};
    query.begin_at.emplace().emplace("v1");
    cr_assert(at.selection.select(query, start)->target.name == base::engine_name("e3"));
    query.begin_at.emplace().emplace("v3");
    cr_assert_not(at.selection.select(query, start).has_value());
    query.software.emplace("v2");
    cr_assert(at.selection.select(query, start).has_value(), "the stream began there");
}

Test(selection, cache_scope_depends_on_the_weights_and_isolated_tenants) {
    fixture at;
    cr_assert(*at.select(&at.open_tenant)->cache_scope == "shared/1");
    cr_assert(*at.select(&at.isolated_tenant)->cache_scope == "t-i/1");
    cr_assert_eq(at.select()->expected_version, 1U);
}

Test(selection, cache_scope_of_open_tenants_changes_when_a_tenant_is_isolated) {
    fixture at;
    core::traffic::declaration changed = at.policies.current()->declared();
    ++changed.version;
    changed.tenants = {at.open_tenant, at.isolated_tenant};
    at.policies.offer(std::move(changed));
    const std::string scope = *at.select(&at.open_tenant)->cache_scope;
    cr_assert(scope != "shared/1");
    cr_assert(scope.ends_with("/1"));
    cr_assert(*at.select(&at.isolated_tenant)->cache_scope == "t-i/1");
}

Test(selection, avoids_and_finally_excludes_outdated_engines) {
    fixture at;
    at.call.prompt->parts = {{"a", 100}, {"own", 500}};
    at.call.prompt->input_tokens = 600;
    at.policies.add_named_version("m", 2);
    at.add("e3", "z2", 2);
    cr_assert(at.select(nullptr, {}, start + 100ms)->target.name == base::engine_name("e3"));
    // By the initial estimate, computing 600 tokens takes 67 ms and generating 20 tokens 400 ms.
    const auto timely = at.select(nullptr, {base::engine_name("e3")}, start + 6100ms);
    cr_assert(timely->begin_by == start + 7s);
    cr_assert(timely->stop_by == start + 7s);
    const auto late = at.select(nullptr, {base::engine_name("e3")}, start + 6850ms);
    cr_assert(late->begin_by == start + 7s);
    cr_assert_not(late->stop_by.has_value());
    cr_assert_not(at.select(nullptr, {base::engine_name("e3")}, start + 6950ms).has_value());
    cr_assert_not(at.select(nullptr, {base::engine_name("e3")}, start + 7s).has_value());
}

Test(selection, pending_work_counts_against_the_deadline_of_outdated_engines) {
    fixture at;
    at.policies.add_named_version("m", 2);
    for (const char* name : {"e1", "e2"}) {
        at.registry.find(base::engine_name(name))->pending_prefill_tokens = 105000;
    }
    // By the initial estimate, computing 105,000 tokens takes 3 s.
    cr_assert(at.select(nullptr, {}, start + 5s)->target.name == base::engine_name("e3"));
    cr_assert(at.select(nullptr, {base::engine_name("e3")}, start + 2s).has_value());
    cr_assert_not(at.select(nullptr, {base::engine_name("e3")}, start + 4s).has_value());
}

Test(selection, begin_times_count_against_the_deadline_of_outdated_engines) {
    fixture at;
    at.policies.add_named_version("m", 2);
    cr_assert(at.select(nullptr, {}, start + 5s).has_value());
    const auto chosen = at.select(nullptr, {}, start);
    for (int request = 0; request < 20; ++request) {
        at.selection.record_begin_delay(base::pool_name("p"), chosen->work, 3s);
    }
    cr_assert(at.select(nullptr, {}, start + 2s).has_value());
    cr_assert_not(at.select(nullptr, {}, start + 5s).has_value());
}

Test(selection, newest_weights_have_a_stop_deadline_while_the_policy_is_fresh) {
    fixture at;
    cr_assert_not(at.select()->begin_by.has_value());
    cr_assert(at.select()->stop_by == start + 7s, "newer weights may be named at any time");
    cr_assert_not(at.select(nullptr, {}, start + 3s)->stop_by.has_value(),
                  "the policy's owner is unreachable");
    at.policies.add_named_version("m", 2);
    cr_assert(at.select()->begin_by == start + 7s);
    at.add("e1", "z1", 2);
    cr_assert_not(at.select(nullptr, {}, start + 2s)->begin_by.has_value());
}

Test(selection, a_selection_is_valid_while_its_engine_is_eligible) {
    fixture at;
    const selection_query query{at.call, *at.policies.current(), base::pool_name("p"), nullptr, {}};
    const selected_engine chosen = *at.select();
    const char* name = chosen.target.name.value.c_str();
    cr_assert(at.selection.is_still_valid(chosen, query, start));
    at.policies.add_named_version("m", 2);
    cr_assert(at.selection.is_still_valid(chosen, query, start + 6900ms));
    cr_assert_not(at.selection.is_still_valid(chosen, query, start + 7s));
    at.add(name, "z1", 2);
    cr_assert_not(at.selection.is_still_valid(chosen, query, start),
                  "the engine's weights changed");
    const selected_engine again = *at.select(nullptr, {}, start + 7s);
    cr_assert(at.selection.is_still_valid(again, query, start + 8s));
    at.registry.find(again.target.name)->listed.leaving = true;
    cr_assert_not(at.selection.is_still_valid(again, query, start + 8s));
    at.registry.remove(again.target.name);
    cr_assert_not(at.selection.is_still_valid(again, query, start + 8s));
}

Test(selection, requests_with_a_common_prefix_share_an_engine) {
    fixture at;
    const std::string first = at.select()->target.name.value;
    for (int index = 0; index < 20; ++index) {
        at.call.prompt->parts.back().id = "own" + std::to_string(index);
        cr_assert(at.select()->target.name.value == first);
    }
}

Test(selection, fetches_from_the_best_holder_or_else_the_store) {
    fixture at;
    const auto cold = at.select();
    cr_assert(cold->fetch_state_from->to_string() == "10.0.0.9:9");
    cr_assert(cold->save_state_to->to_string() == "10.0.0.9:9");
    at.hold("e3", "shared/1");
    const auto warm = at.select(nullptr, {base::engine_name("e3")}, start + 10ms);
    cr_assert(warm->fetch_state_from->to_string() == "10.0.0.3:1");
    cr_assert_eq(warm->fetchable_tokens, 9000);
}

Test(selection, state_being_computed_counts_only_at_its_engine) {
    fixture at;
    selected_engine elsewhere = *at.select();
    elsewhere.target.name.value = "e3";
    at.selection.record_dispatch(at.call, elsewhere, start);
    cr_assert(at.select(nullptr, {}, start + 10ms)->target.name == base::engine_name("e3"));
    const auto other = at.select(nullptr, {base::engine_name("e3")}, start + 10ms);
    cr_assert(other->fetch_state_from->to_string() == "10.0.0.9:9");
    cr_assert_eq(other->fetchable_tokens, 0);
    cr_assert_eq(other->prefill_tokens, 9500);
}

Test(selection, long_stream_gaps_redirect_long_prompts) {
    fixture at;
    at.call.prompt->parts = {{"own", 12000}};
    at.call.prompt->input_tokens = 12000;
    const std::string first = at.select()->target.name.value;
    at.loads.state(base::router_name("r2"), {{base::engine_name(first), 1, 0, {}}}, start);
    const std::string second = first == "e1" ? "e2" : "e1";
    at.loads.state(base::router_name("r3"), {{base::engine_name(second), 2, 0, {}}}, start);
    const auto target_of = [&] {
        const selection_query query{
            at.call, *at.policies.current(), base::pool_name("p"), nullptr, {}, 300ms};
        return at.selection.select(query, start)->target.name.value;
    };
    for (int stream = 0; stream < 300; ++stream) {
        at.selection.record_gap(base::pool_name("p"), 10ms, 300ms);
        at.selection.record_gap(base::pool_name("p"), 10ms, 0ms);
    }
    cr_assert(target_of() == first);
    at.selection.record_gap(base::pool_name("p"), 290ms, 300ms);
    cr_assert(target_of() == first);  // A single stream with long gaps has little influence.
    for (int stream = 0; stream < 300; ++stream) {
        at.selection.record_gap(base::pool_name("p"), 290ms, 300ms);
    }
    cr_assert(target_of() == "e3");  // Long gaps outweigh the latency to another zone.
    at.loads.state(base::router_name("r2"), {{base::engine_name(first), 4, 0, {}}}, start);
    at.loads.state(base::router_name("r3"), {{base::engine_name(second), 4, 0, {}}}, start);
    cr_assert(target_of() == "e3");
}

Test(selection, does_not_save_state_that_the_store_holds) {
    fixture at;
    const base::engine_name store =
        holder_name_of(at.policies.current()->declared().stores.front());
    at.warm.follow(store, true);
    cr_assert(at.select()->save_state_to.has_value());
    for (const auto& part : core::prefix::scoped_parts_of(*at.call.prompt, "shared/1")) {
        at.warm.told(part.key, store, part.tokens, start);
    }
    const auto saved = at.select();
    cr_assert_not(saved->save_state_to.has_value());
    cr_assert(saved->fetch_state_from->to_string() == "10.0.0.9:9");
    cr_assert_eq(saved->fetchable_tokens, 9000);
    cr_assert_eq(saved->prefill_tokens, 500);
}

Test(selection, saves_to_the_assigned_store_and_fetches_from_any_holding_store) {
    fixture at;
    core::traffic::declaration declared;
    declared.version = 2;
    for (const char* host : {"10.0.0.9", "10.0.0.10", "10.0.0.11"}) {
        declared.stores.push_back({{host, 9}, base::zone_name("z1")});
    }
    const auto stores = declared.stores;
    at.policies.offer(std::move(declared));
    std::set<std::string> saved_to;
    for (int index = 0; index < 30; ++index) {
        at.call.prompt->parts[1].id = "b" + std::to_string(index);
        const auto cold = at.select();
        cr_assert(cold->fetch_state_from == cold->save_state_to);
        saved_to.insert(cold->save_state_to->to_string());
    }
    cr_assert_eq(saved_to.size(), 3);
    for (const auto& store : stores) {
        at.warm.follow(holder_name_of(store), true);
        for (const auto& part : core::prefix::scoped_parts_of(*at.call.prompt, "shared/1")) {
            at.warm.told(part.key, holder_name_of(store), part.tokens, start);
        }
        cr_assert(at.select()->fetch_state_from == store.address);
        at.warm.forget(holder_name_of(store));
    }
}

Test(selection, counts_the_load_of_other_routers) {
    fixture at;
    at.call.prompt->parts = {{"own", 600}};
    at.call.prompt->input_tokens = 600;
    const std::string first = at.select()->target.name.value;
    at.loads.state(base::router_name("r2"), {{base::engine_name(first), 1, 9000, {}}}, start);
    cr_assert(at.select()->target.name.value != first);
}

Test(selection, extrapolates_the_load_of_unseen_routers) {
    fixture at;
    at.hold("e1", "shared/1");
    const engine_load load(at.registry, base::engine_name("e1"), 6000);
    at.selection.expect_routers(3, 3);
    cr_assert_str_eq(at.select()->target.name.value.c_str(), "e1");
    at.selection.expect_routers(12, 3);
    cr_assert_str_neq(at.select()->target.name.value.c_str(), "e1");
}

Test(selection, avoids_engines_that_refuse_other_routers) {
    fixture at;
    const std::string home = at.select()->target.name.value;
    at.loads.state(base::router_name("r2"), {{base::engine_name(home), 0, 0, 500ms}}, start);
    cr_assert(at.select()->target.name.value != home);
    cr_assert(at.select(nullptr, {}, start + 600ms)->target.name.value == home);
}

Test(selection, does_not_fetch_state_of_another_scope) {
    fixture at;
    at.hold("e3", "t-i/1");
    cr_assert_eq(at.select(&at.isolated_tenant)->warm_tokens, 9000);
    const auto other = at.select(&at.open_tenant, {base::engine_name("e3")});
    cr_assert(other->fetch_state_from->to_string() == "10.0.0.9:9");
    cr_assert_eq(other->warm_tokens, 0);
}

Test(selection, avoids_an_engine_that_refuses_work) {
    fixture at;
    const std::string home = at.select()->target.name.value;
    at.registry.find(base::engine_name(home))->refuses_until = start + 1s;
    cr_assert(at.select()->target.name.value != home);
    at.registry.record_version(base::engine_name(home), "m", 2);
    cr_assert(at.registry.find(base::engine_name(home))->refuses_until < start);
}

Test(selection, avoids_an_engine_until_it_has_loaded_new_weights) {
    fixture at;
    const base::engine_name home = at.select()->target.name;
    at.registry.expect_weights(home, "m", 2, start + 1s);
    cr_assert(at.select()->target.name != home);
    cr_assert(at.select(nullptr, {}, start + 1s)->target.name == home,
              "the expectation expired without newer weights");
    at.registry.record_version(home, "m", 2);
    at.registry.expect_weights(home, "m", 2, start + 1s);
    cr_assert(at.registry.find(home)->loading_until < start,
              "a late notice of weights that are already loaded");
}

Test(engine_registry, counts_load_while_requests_run) {
    fixture at;
    const base::engine_name name("e1");
    {
        engine_load load(at.registry, name, 700);
        cr_assert_eq(at.registry.find(name)->running, 1);
        cr_assert_eq(at.registry.find(name)->pending_prefill_tokens, 700);
        load.prefilled();
        cr_assert_eq(at.registry.find(name)->pending_prefill_tokens, 0);
    }
    cr_assert_eq(at.registry.find(name)->running, 0);
    engine_load orphan(at.registry, name, 5);
    at.registry.remove(name);
}

Test(engine_registry, replace_all_removes_unlisted_engines) {
    fixture at;
    cr_assert_not(at.registry.known());
    const listed_engine kept = at.registry.find(base::engine_name("e2"))->listed;
    at.registry.replace_all({kept});
    cr_assert(at.registry.known());
    cr_assert_eq(at.registry.engines().size(), 1);
}

Test(selection, samples_equal_engines_by_request_id) {
    fixture at;
    at.call.prompt->parts = {{"own", 600}};
    at.call.prompt->input_tokens = 600;
    for (int number = 10; number < 110; ++number) {
        at.add(("e" + std::to_string(number)).c_str(), "z1", 1);
    }
    std::set<std::string> chosen;
    for (int number = 0; number < 60; ++number) {
        at.call.id = base::request_id("request-" + std::to_string(number));
        const auto selected = at.select();
        cr_assert_leq(selected->candidates, selection_settings{}.sampling.engines + 1);
        chosen.insert(selected->target.name.value);
    }
    cr_assert_geq(chosen.size(), 20);
    at.call.id = base::request_id("request-0");
    cr_assert(at.select()->target.name == at.select()->target.name);
}

Test(selection, considers_holders_outside_the_sample) {
    fixture at;
    for (int number = 10; number < 110; ++number) {
        at.add(("e" + std::to_string(number)).c_str(), "z1", 1);
    }
    at.hold("e77", "shared/1");
    for (int number = 0; number < 30; ++number) {
        at.call.id = base::request_id("request-" + std::to_string(number));
        cr_assert(at.select()->target.name == base::engine_name("e77"));
    }
}

/// Among engines of equal cost, those with an open connection are preferred, so that a router opens
/// few new connections.
Test(selection, prefers_engines_with_an_open_connection) {
    fixture at;
    at.registry.replace_all({});
    for (int index = 10; index < 90; ++index) {
        at.add(("e" + std::to_string(index)).c_str(), "z1", 1);
    }
    at.call.prompt->parts = {{"own", 500}};
    at.call.prompt->input_tokens = 500;
    at.selection.set_connection_check(
        [](const base::endpoint& address) { return address.to_string().ends_with("7:1"); });
    for (int request = 0; request < 200; ++request) {
        at.call.id.value = std::to_string(request);
        cr_assert(at.select()->target.name.value.ends_with("7"));
    }
    for (int index = 17; index < 90; index += 10) {
        at.registry.find(base::engine_name("e" + std::to_string(index)))->pending_prefill_tokens =
            900;
    }
    cr_assert_not(at.select()->target.name.value.ends_with("7"),
                  "a pending prompt costs more than a new connection");
}

Test(selection, samples_suspended_engines_last) {
    fixture at;
    at.call.prompt->parts = {{"own", 600}};
    at.call.prompt->input_tokens = 600;
    for (int number = 10; number < 110; ++number) {
        at.add(("e" + std::to_string(number)).c_str(), "z1", 1);
    }
    for (const auto& [name, engine] : at.registry.engines()) {
        if (name != base::engine_name("e42")) {
            at.registry.find(name)->health.record_failure(true, start);
        }
    }
    for (int number = 0; number < 30; ++number) {
        at.call.id = base::request_id("request-" + std::to_string(number));
        cr_assert(at.select()->target.name == base::engine_name("e42"));
    }
}

Test(selection, unreleased_software_gets_no_requests_and_refused_software_provides_no_state) {
    namespace release = coordination::release;
    fixture at;
    canary_traffic releases(at.registry, {});
    at.selection.set_releases(releases);
    const release::release_order order{release::order_number(7), base::pool_name("p"),
                                       release::software_version("v2"), 12s};
    releases.order(order);
    for (const char* name : {"e2", "e3"}) {
        listed_engine changed = at.registry.find(base::engine_name(name))->listed;
        changed.software = order.target;
        at.registry.put(changed, start);
    }
    releases.engines_changed(start);
    releases.confirmed(start);
    at.hold("e2", "shared/1");
    cr_assert(at.select()->target.name == base::engine_name("e1"));
    cr_assert_not(at.select(nullptr, {base::engine_name("e1")}).has_value());
    release::phase_notice told{order.pool, order.number, order.target,
                               release::release_phase::trial};
    releases.told(told, start);
    cr_assert(at.select()->target.name == base::engine_name("e1"));
    cr_assert(at.select()->fetch_state_from->to_string() == "10.0.0.2:1");
    told.phase = release::release_phase::rolled_back;
    told.refused = {order.target};
    releases.told(told, start);
    cr_assert(at.select()->target.name == base::engine_name("e1"));
    cr_assert(at.select()->fetch_state_from->to_string() == "10.0.0.9:9",
              "falls back to the store");
}
