/// Tests the index shared between routers: what one router reports, the others find, also after
/// the owner's crash or restart and with lost or late reports. Lookups stay within their timeout.
#include "ferryroad/core/prefix/ownership.hpp"
#include "test/router/selection/fake_exchange.hpp"

#include <criterion/criterion.h>

#include <string>
#include <vector>

namespace {

using namespace ferryroad;
using namespace ferryroad::router::selection;
using namespace std::chrono_literals;
using core::prefix::evidence;
using test::router_group;

const core::prefix::cache_namespace scope{
    base::tenant_name("alpha"), base::model_name("m"), base::weights_version("1"), {}};
const core::prefix::engine_process engine_a{base::engine_name("a"), base::incarnation(1)};
constexpr int router_count = 4;
/// Longer than it takes to batch and deliver a report.
constexpr base::duration propagation_time = 100ms;

core::prefix::piece_chain chain_of(std::size_t pieces) {
    core::prefix::piece_chain chain;
    for (std::size_t piece = 0; piece < pieces; ++piece) {
        chain.emplace_back(1000 + piece);
    }
    return chain;
}

/// Indices of the routers by their role for the root of `chain_of`.
struct router_roles {
    int owner = -1;
    int standby = -1;
    int third = -1;
    int fourth = -1;
};

router_roles roles_in(const router_group& group) {
    std::vector<base::router_name> names;
    for (const auto& contact : group.live.contacts) {
        names.push_back(contact.name);
    }
    const auto owners = *core::prefix::owners_of(chain_of(1).front(), names);
    router_roles found{static_cast<int>(owners.owner), static_cast<int>(*owners.standby)};
    for (int router = 0; router < router_count; ++router) {
        if (router != found.owner && router != found.standby) {
            (found.third < 0 ? found.third : found.fourth) = router;
        }
    }
    return found;
}

void report(router_group& group, int router, std::size_t pieces,
            core::prefix::engine_process process = engine_a, evidence basis = evidence::dispatch) {
    group.knowledge[static_cast<std::size_t>(router)]->report(
        {scope, chain_of(pieces), process, basis});
}

std::uint32_t longest_match(router_group& group, int router) {
    const auto answer = group.lookup(router, scope, chain_of(10));
    return answer.holders.empty() ? 0 : answer.holders.front().pieces;
}

engine::cache_event_batch eviction_of(std::size_t piece) {
    engine::cache_event_batch batch;
    batch.incarnation = engine_a.incarnation;
    batch.events.push_back({.change = engine::cache_change::evicted,
                            .scope = scope,
                            .root = chain_of(1).front(),
                            .piece = chain_of(piece + 1).back()});
    return batch;
}

}  // namespace

Test(shared_prefix_knowledge, a_dispatch_of_one_router_is_known_to_all) {
    router_group group(router_count);
    for (int router = 0; router < router_count; ++router) {
        report(group, router, 3 + static_cast<std::size_t>(router));
        group.run(propagation_time);
        for (int other = 0; other < router_count; ++other) {
            cr_assert_eq(longest_match(group, other), 3 + router);
        }
    }
}

Test(shared_prefix_knowledge, own_dispatches_count_before_they_reach_the_owner) {
    router_group group(router_count);
    const auto roles = roles_in(group);
    report(group, roles.third, 3);
    cr_assert_eq(longest_match(group, roles.third), 3);
}

Test(shared_prefix_knowledge, the_standby_answers_when_the_owner_has_crashed) {
    router_group group(router_count);
    const auto roles = roles_in(group);
    report(group, roles.third, 3);
    group.run(propagation_time);
    group.network.silent.insert(router_group::name_of(roles.owner));
    cr_assert_eq(longest_match(group, roles.fourth), 3);
    cr_assert(group.last_lookup_duration <= 8ms, "one timeout and one round trip");
    // The next lookup avoids the failed owner.
    cr_assert_eq(longest_match(group, roles.fourth), 3);
    cr_assert(group.last_lookup_duration <= 3ms);
    // After the owner has left, the standby owns the root and a third router is its standby.
    group.leave(roles.owner);
    const auto answer = group.lookup(roles.fourth, scope, chain_of(10));
    cr_assert_eq(answer.holders.front().pieces, 3);
    cr_assert(answer.source == answer_source::owner);
}

Test(shared_prefix_knowledge, the_standby_is_queried_too_after_the_owner_restarted_empty) {
    router_group group(router_count);
    const auto roles = roles_in(group);
    report(group, roles.third, 3);
    group.run(propagation_time);
    group.start(roles.owner);
    cr_assert_eq(longest_match(group, roles.fourth), 3);
    cr_assert_eq(longest_match(group, roles.owner), 3);
    // Further dispatches report the missing entries to the restarted owner.
    cr_assert_eq(longest_match(group, roles.third), 3);
    report(group, roles.third, 3);
    group.run(propagation_time);
    cr_assert_eq(group.knowledge[static_cast<std::size_t>(roles.owner)]
                     ->answer(router_group::name_of(roles.fourth), scope, chain_of(10))
                     .holders.size(),
                 1);
}

Test(shared_prefix_knowledge, the_local_index_is_used_within_the_timeout_without_an_answer) {
    router_group group(router_count);
    const auto roles = roles_in(group);
    report(group, roles.third, 3);
    group.run(propagation_time);
    group.network.silent.insert(router_group::name_of(roles.owner));
    group.network.silent.insert(router_group::name_of(roles.standby));
    const auto answer = group.lookup(roles.third, scope, chain_of(10));
    cr_assert(answer.source == answer_source::local);
    cr_assert_eq(answer.holders.front().pieces, 3);
    cr_assert(group.last_lookup_duration <= 2 * shared_index_settings{}.lookup_limit);
    cr_assert(group.lookup(roles.fourth, scope, chain_of(10)).holders.empty());
}

Test(shared_prefix_knowledge, a_lost_report_is_repeated_with_the_next_dispatch) {
    router_group group(router_count);
    const auto roles = roles_in(group);
    group.network.reports_to_lose = 2;
    report(group, roles.third, 3);
    group.run(2s);
    cr_assert_eq(longest_match(group, roles.fourth), 0);
    report(group, roles.third, 3);
    group.run(propagation_time);
    cr_assert_eq(longest_match(group, roles.fourth), 3);
}

Test(shared_prefix_knowledge, a_late_report_of_a_dead_incarnation_is_ignored) {
    router_group group(router_count);
    const auto roles = roles_in(group);
    const core::prefix::engine_process restarted{engine_a.engine, base::incarnation(2)};
    report(group, roles.third, 2, restarted);
    group.run(propagation_time);
    report(group, roles.fourth, 8, engine_a);
    group.run(propagation_time);
    const auto answer = group.lookup(roles.third, scope, chain_of(10));
    cr_assert_eq(answer.holders.size(), 1);
    cr_assert(answer.holders.front().process == restarted);
    cr_assert_eq(answer.holders.front().pieces, 2);
}

Test(shared_prefix_knowledge, evictions_read_by_one_router_are_known_to_all) {
    router_group group(router_count);
    const auto roles = roles_in(group);
    report(group, roles.third, 3);
    group.run(1s);
    group.knowledge[static_cast<std::size_t>(roles.fourth)]->report_events(engine_a.engine,
                                                                           eviction_of(1));
    group.run(propagation_time);
    for (int router = 0; router < router_count; ++router) {
        cr_assert_eq(longest_match(group, router), 1);
    }
    // The next dispatch must be reported again, although it was reported shortly before.
    report(group, roles.third, 3);
    group.run(propagation_time);
    cr_assert_eq(longest_match(group, roles.fourth), 3);
}

Test(shared_prefix_knowledge, a_gap_invalidates_unconfirmed_entries_at_the_owner) {
    router_group group(router_count);
    const auto roles = roles_in(group);
    report(group, roles.third, 2, engine_a, evidence::answer);
    report(group, roles.third, 5, engine_a, evidence::dispatch);
    auto& reader = *group.knowledge[static_cast<std::size_t>(roles.fourth)];
    reader.report_events(engine_a.engine, eviction_of(9));
    group.run(1s);
    cr_assert_eq(longest_match(group, roles.fourth), 5);
    reader.report_events(engine_a.engine, {.incarnation = engine_a.incarnation, .gap = true});
    group.run(propagation_time);
    cr_assert_eq(longest_match(group, roles.fourth), 2);
}

Test(shared_prefix_knowledge, lookups_return_dispatches_of_other_routers) {
    router_group group(router_count);
    const auto roles = roles_in(group);
    group.knowledge[static_cast<std::size_t>(roles.third)]->report(
        {scope, chain_of(3), engine_a, evidence::dispatch, 3000});
    group.run(propagation_time);
    const auto received = group.lookup(roles.fourth, scope, chain_of(10)).dispatches;
    cr_assert_eq(received.size(), 1);
    cr_assert(received.front().process == engine_a);
    cr_assert_eq(received.front().prefill_tokens, 3000);
    cr_assert(group.lookup(roles.third, scope, chain_of(10)).dispatches.empty(),
              "own dispatches are left out");
    group.run(2s);
    cr_assert(group.lookup(roles.fourth, scope, chain_of(10)).dispatches.empty(),
              "covered by load reports by now");
}

Test(shared_prefix_knowledge, implausible_holders_are_dropped) {
    router_group group(router_count);
    const auto roles = roles_in(group);
    const core::prefix::engine_process other{base::engine_name("b"), base::incarnation(1)};
    group.network.forged = {{engine_a, 0, {}}, {engine_a, 11, {}}, {other, 10, {}}};
    const auto answer = group.lookup(roles.fourth, scope, chain_of(10));
    cr_assert_eq(answer.holders.size(), 1);
    cr_assert(answer.holders.front().process == other);
}

Test(shared_prefix_knowledge, a_very_hot_root_costs_a_bounded_number_of_messages) {
    shared_index_settings settings;
    settings.lookups_of_root_per_second = 40;
    router_group group(router_count, settings);
    const auto roles = roles_in(group);
    report(group, roles.third, 3);
    group.run(propagation_time);
    auto& requester = *group.knowledge[static_cast<std::size_t>(roles.fourth)];
    for (int request = 0; request < 1000; ++request) {
        cr_assert_eq(longest_match(group, roles.fourth), 3);
        group.run(8ms);
    }
    const auto before = requester.counters().lookups_sent;
    for (int request = 0; request < 1000; ++request) {
        cr_assert_eq(longest_match(group, roles.fourth), 3);
        group.run(8ms);
    }
    // 8 s at a quarter of 40 lookups per second gives 80, plus some tolerance.
    cr_assert_leq(requester.counters().lookups_sent - before, 100);
}

Test(shared_prefix_knowledge, repeated_dispatches_cost_few_reports) {
    router_group group(router_count);
    const auto roles = roles_in(group);
    auto& reporter = *group.knowledge[static_cast<std::size_t>(roles.third)];
    for (int request = 0; request < 100; ++request) {
        report(group, roles.third, 10, engine_a, evidence::dispatch);
        report(group, roles.third, 10, engine_a, evidence::answer);
        group.run(100ms);
    }
    // In 10 s each of owner and standby gets the first report and one confirmation every 5 s.
    cr_assert_leq(reporter.counters().batches_sent, 2 * 3);
    cr_assert_leq(reporter.counters().pieces_sent, 2 * 3 * 10);
}

Test(shared_prefix_knowledge, a_single_router_sends_nothing) {
    router_group group(1);
    report(group, 0, 3);
    const auto answer = group.lookup(0, scope, chain_of(10));
    cr_assert_eq(answer.holders.front().pieces, 3);
    cr_assert_eq(group.knowledge[0]->counters().lookups_sent, 0);
    cr_assert_eq(group.knowledge[0]->counters().batches_sent, 0);
}
