/// The index shared between routers: what one learns the others know, also after the owner's
/// crash or restart, under loss and late reports, and never for longer than a few milliseconds.
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
/// Longer than a report's wait and its way.
constexpr base::duration settled = 100ms;

core::prefix::piece_chain chain_of(std::size_t pieces) {
    core::prefix::piece_chain chain;
    for (std::size_t piece = 0; piece < pieces; ++piece) {
        chain.emplace_back(1000 + piece);
    }
    return chain;
}

/// Routers by their part for the root of `chain_of`.
struct parts {
    int owner = -1;
    int standby = -1;
    int third = -1;
    int fourth = -1;
};

parts parts_in(const router_group& group) {
    std::vector<base::router_name> names;
    for (const auto& contact : group.live.contacts) {
        names.push_back(contact.name);
    }
    const auto owners = *core::prefix::owners_of(chain_of(1).front(), names);
    parts found{static_cast<int>(owners.owner), static_cast<int>(*owners.standby)};
    for (int router = 0; router < router_count; ++router) {
        if (router != found.owner && router != found.standby) {
            (found.third < 0 ? found.third : found.fourth) = router;
        }
    }
    return found;
}

void report(router_group& group, int router, std::size_t pieces,
            core::prefix::engine_process process = engine_a, evidence why = evidence::dispatch) {
    group.knowledge[static_cast<std::size_t>(router)]->report(
        {scope, chain_of(pieces), process, why});
}

std::uint32_t depth_seen(router_group& group, int router) {
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

Test(shared_prefix_knowledge, every_router_knows_what_one_has_dispatched) {
    router_group group(router_count);
    for (int router = 0; router < router_count; ++router) {
        report(group, router, 3 + static_cast<std::size_t>(router));
        group.run(settled);
        for (int other = 0; other < router_count; ++other) {
            cr_assert_eq(depth_seen(group, other), 3 + router);
        }
    }
}

Test(shared_prefix_knowledge, own_dispatches_count_before_the_owner_has_them) {
    router_group group(router_count);
    const auto part = parts_in(group);
    report(group, part.third, 3);
    cr_assert_eq(depth_seen(group, part.third), 3);
}

Test(shared_prefix_knowledge, the_standby_answers_when_the_owner_has_crashed) {
    router_group group(router_count);
    const auto part = parts_in(group);
    report(group, part.third, 3);
    group.run(settled);
    group.network.silent.insert(router_group::name_of(part.owner));
    cr_assert_eq(depth_seen(group, part.fourth), 3);
    cr_assert(group.last_lookup_took <= 8ms, "one limit and one exchange");
    // A moment later the owner is passed over at once.
    cr_assert_eq(depth_seen(group, part.fourth), 3);
    cr_assert(group.last_lookup_took <= 3ms);
    // Once it is known to be gone the standby owns the root, and a third stands behind.
    group.leave(part.owner);
    const auto answer = group.lookup(part.fourth, scope, chain_of(10));
    cr_assert_eq(answer.holders.front().pieces, 3);
    cr_assert(answer.source == answer_source::owner);
}

Test(shared_prefix_knowledge, an_owner_that_restarted_empty_is_asked_with_its_standby) {
    router_group group(router_count);
    const auto part = parts_in(group);
    report(group, part.third, 3);
    group.run(settled);
    group.start(part.owner);
    cr_assert_eq(depth_seen(group, part.fourth), 3);
    cr_assert_eq(depth_seen(group, part.owner), 3);
    // Repeated dispatches teach it what it lacks.
    cr_assert_eq(depth_seen(group, part.third), 3);
    report(group, part.third, 3);
    group.run(settled);
    cr_assert_eq(group.knowledge[static_cast<std::size_t>(part.owner)]
                     ->answer(router_group::name_of(part.fourth), scope, chain_of(10))
                     .holders.size(),
                 1);
}

Test(shared_prefix_knowledge, with_no_answer_the_local_index_is_left_within_the_limit) {
    router_group group(router_count);
    const auto part = parts_in(group);
    report(group, part.third, 3);
    group.run(settled);
    group.network.silent.insert(router_group::name_of(part.owner));
    group.network.silent.insert(router_group::name_of(part.standby));
    const auto answer = group.lookup(part.third, scope, chain_of(10));
    cr_assert(answer.source == answer_source::local);
    cr_assert_eq(answer.holders.front().pieces, 3);
    cr_assert(group.last_lookup_took <= 2 * shared_index_settings{}.lookup_limit);
    cr_assert(group.lookup(part.fourth, scope, chain_of(10)).holders.empty());
}

Test(shared_prefix_knowledge, a_lost_report_is_told_with_the_next_dispatch) {
    router_group group(router_count);
    const auto part = parts_in(group);
    group.network.reports_to_lose = 2;
    report(group, part.third, 3);
    group.run(2s);
    cr_assert_eq(depth_seen(group, part.fourth), 0);
    report(group, part.third, 3);
    group.run(settled);
    cr_assert_eq(depth_seen(group, part.fourth), 3);
}

Test(shared_prefix_knowledge, a_late_report_of_a_dead_incarnation_counts_for_nothing) {
    router_group group(router_count);
    const auto part = parts_in(group);
    const core::prefix::engine_process reborn{engine_a.engine, base::incarnation(2)};
    report(group, part.third, 2, reborn);
    group.run(settled);
    report(group, part.fourth, 8, engine_a);
    group.run(settled);
    const auto answer = group.lookup(part.third, scope, chain_of(10));
    cr_assert_eq(answer.holders.size(), 1);
    cr_assert(answer.holders.front().process == reborn);
    cr_assert_eq(answer.holders.front().pieces, 2);
}

Test(shared_prefix_knowledge, evictions_read_by_one_router_are_known_to_all) {
    router_group group(router_count);
    const auto part = parts_in(group);
    report(group, part.third, 3);
    group.run(1s);
    group.knowledge[static_cast<std::size_t>(part.fourth)]->report_events(engine_a.engine,
                                                                          eviction_of(1));
    group.run(settled);
    for (int router = 0; router < router_count; ++router) {
        cr_assert_eq(depth_seen(group, router), 1);
    }
    // And the next dispatch there is news again, though it was told lately.
    report(group, part.third, 3);
    group.run(settled);
    cr_assert_eq(depth_seen(group, part.fourth), 3);
}

Test(shared_prefix_knowledge, a_gap_voids_at_the_owner_what_no_answer_confirmed) {
    router_group group(router_count);
    const auto part = parts_in(group);
    report(group, part.third, 2, engine_a, evidence::answer);
    report(group, part.third, 5, engine_a, evidence::dispatch);
    auto& reader = *group.knowledge[static_cast<std::size_t>(part.fourth)];
    reader.report_events(engine_a.engine, eviction_of(9));
    group.run(1s);
    cr_assert_eq(depth_seen(group, part.fourth), 5);
    reader.report_events(engine_a.engine, {.incarnation = engine_a.incarnation, .gap = true});
    group.run(settled);
    cr_assert_eq(depth_seen(group, part.fourth), 2);
}

Test(shared_prefix_knowledge, routers_hear_of_work_that_others_sent) {
    router_group group(router_count);
    const auto part = parts_in(group);
    group.knowledge[static_cast<std::size_t>(part.third)]->report(
        {scope, chain_of(3), engine_a, evidence::dispatch, 3000});
    group.run(settled);
    const auto told = group.lookup(part.fourth, scope, chain_of(10)).dispatches;
    cr_assert_eq(told.size(), 1);
    cr_assert(told.front().process == engine_a);
    cr_assert_eq(told.front().prefill_tokens, 3000);
    cr_assert(group.lookup(part.third, scope, chain_of(10)).dispatches.empty(), "its own");
    group.run(2s);
    cr_assert(group.lookup(part.fourth, scope, chain_of(10)).dispatches.empty(), "reported now");
}

Test(shared_prefix_knowledge, answers_that_cannot_be_true_are_dropped) {
    router_group group(router_count);
    const auto part = parts_in(group);
    const core::prefix::engine_process other{base::engine_name("b"), base::incarnation(1)};
    group.network.forged = {{engine_a, 0, {}}, {engine_a, 11, {}}, {other, 10, {}}};
    const auto answer = group.lookup(part.fourth, scope, chain_of(10));
    cr_assert_eq(answer.holders.size(), 1);
    cr_assert(answer.holders.front().process == other);
}

Test(shared_prefix_knowledge, a_very_hot_root_costs_a_bounded_number_of_messages) {
    shared_index_settings settings;
    settings.lookups_of_root_per_second = 40;
    router_group group(router_count, settings);
    const auto part = parts_in(group);
    report(group, part.third, 3);
    group.run(settled);
    auto& asking = *group.knowledge[static_cast<std::size_t>(part.fourth)];
    for (int request = 0; request < 1000; ++request) {
        cr_assert_eq(depth_seen(group, part.fourth), 3);
        group.run(8ms);
    }
    const auto before = asking.counters().lookups_sent;
    for (int request = 0; request < 1000; ++request) {
        cr_assert_eq(depth_seen(group, part.fourth), 3);
        group.run(8ms);
    }
    // 8 s at a fourth of 40 lookups a second, and a little.
    cr_assert_leq(asking.counters().lookups_sent - before, 100);
}

Test(shared_prefix_knowledge, repeated_dispatches_cost_few_reports) {
    router_group group(router_count);
    const auto part = parts_in(group);
    auto& reporting = *group.knowledge[static_cast<std::size_t>(part.third)];
    for (int request = 0; request < 100; ++request) {
        report(group, part.third, 10, engine_a, evidence::dispatch);
        report(group, part.third, 10, engine_a, evidence::answer);
        group.run(100ms);
    }
    // Ten seconds: told first, then confirmed once in five seconds, to owner and standby.
    cr_assert_leq(reporting.counters().batches_sent, 2 * 3);
    cr_assert_leq(reporting.counters().pieces_sent, 2 * 3 * 10);
}

Test(shared_prefix_knowledge, a_single_router_needs_nobody) {
    router_group group(1);
    report(group, 0, 3);
    const auto answer = group.lookup(0, scope, chain_of(10));
    cr_assert_eq(answer.holders.front().pieces, 3);
    cr_assert_eq(group.knowledge[0]->counters().lookups_sent, 0);
    cr_assert_eq(group.knowledge[0]->counters().batches_sent, 0);
}
