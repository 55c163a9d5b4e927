/// The configuration service in virtual time, with failures of the platform and of the peers.
#include "test/router/configuration/simulated_routers.hpp"

#include <criterion/criterion.h>

using namespace std::chrono_literals;
using namespace ferryroad;
using namespace ferryroad::router;
using namespace ferryroad::router::testing;

namespace {

/// Asserts that no coroutine has failed.
void assert_no_failures(const simulated_system& system) {
    for (const auto& failure : system.time.failures()) {
        cr_assert_fail("%s: %s", failure.coroutine.c_str(), failure.message.c_str());
    }
}

/// Applies a change at router 0 and asserts that it took effect. @return its revision.
std::uint64_t apply_and_check(simulated_system& system, const std::string& operation, double rate) {
    const auto result = system.apply(0, make_command(operation, rate));
    system.run_for(2s);
    cr_assert(result->has_value());
    cr_assert((*result)->has_value(), "%s", (*result)->error().message.c_str());
    return (**result)->revision.value;
}

configuration_error_code code_of(const std::shared_ptr<std::optional<outcome>>& result) {
    cr_assert(result->has_value());
    cr_assert((*result)->has_error());
    return (*result)->error().code;
}

emulator::platform_faults outage() {
    emulator::platform_faults faults;
    faults.outage = true;
    return faults;
}

runtime::task<void> run_drain(configuration_service& service, base::pool_name pool,
                              std::string operation, bool undo) {
    drain_command command{std::move(pool), base::engine_name("e"), undo,
                          operation_id(std::move(operation)), author_name("tester")};
    auto result = co_await service.drain(std::move(command));
    cr_assert(result.has_value());
}

runtime::task<void> run_confirm(configuration_service& service, std::uint64_t revision,
                                bool accepted) {
    confirm_command command{base::revision(revision), author_name("tester")};
    auto result = co_await service.confirm(std::move(command));
    cr_assert_eq(result.has_value(), accepted);
}

}  // namespace

Test(configuration, routers_without_any_configuration_confirm_revision_0) {
    simulated_system system(3);
    cr_assert(!system.service(0).confirmed());
    system.run_for(2s);
    cr_assert(system.all_at(0));
    assert_no_failures(system);
}

Test(configuration, a_change_reaches_all_routers_within_seconds) {
    simulated_system system(8);
    system.run_for(1s);
    cr_assert_eq(apply_and_check(system, "first", 1), 1);
    cr_assert(system.all_at(1));
    cr_assert_eq(system.service(7).current()->tenants.size(), 1);
    assert_no_failures(system);
}

Test(configuration, a_change_whose_pushes_are_lost_arrives_by_pulls) {
    simulated_system system(8);
    system.run_for(1s);
    system.network.pushes_lost = true;
    apply_and_check(system, "first", 1);
    system.run_for(20s);
    cr_assert(system.all_at(1));
    assert_no_failures(system);
}

Test(configuration, gossip_of_a_revision_triggers_a_pull_within_a_second) {
    simulated_system system(2);
    system.run_for(1s);
    system.network.pushes_lost = true;
    const auto result = system.apply(0, make_command("first", 1));
    system.run_for(100ms);
    cr_assert(result->has_value());
    system.network.routers[1]->scheduler.run(
        [&] { system.service(1).observe_revision(base::revision(1)); });
    system.run_for(500ms);
    cr_assert_eq(system.revision(1), 1);
}

Test(configuration, a_commit_whose_answer_is_lost_is_recognized) {
    simulated_system system(2);
    system.run_for(1s);
    emulator::platform_faults faults;
    faults.lost_answers = 1;
    system.platform.set_faults(faults);
    cr_assert_eq(apply_and_check(system, "first", 1), 1);
    system.run_for(5s);
    cr_assert(system.all_at(1));
    assert_no_failures(system);
}

Test(configuration, a_change_fails_during_an_outage_and_can_be_repeated) {
    simulated_system system(2);
    system.run_for(1s);
    system.platform.set_faults(outage());
    const auto result = system.apply(0, make_command("first", 1));
    system.run_for(10s);
    cr_assert_eq(code_of(result), configuration_error_code::unavailable);
    system.platform.set_faults({});
    cr_assert_eq(apply_and_check(system, "first", 1), 1);
}

Test(configuration, a_lost_answer_followed_by_an_outage_is_reported_as_unknown) {
    simulated_system system(2);
    system.run_for(1s);
    emulator::platform_faults faults;
    faults.lost_answers = 1;
    system.platform.set_faults(faults);
    const auto result = system.apply(0, make_command("first", 1));
    while (system.platform.faults().lost_answers > 0) {
        system.run_for(1ms);
    }
    system.platform.set_faults(outage());
    system.run_for(10s);
    cr_assert_eq(code_of(result), configuration_error_code::outcome_unknown);
    system.platform.set_faults({});
    const auto again = system.apply(1, make_command("first", 1));
    system.run_for(2s);
    cr_assert(again->has_value() && (*again)->has_value());
    cr_assert((**again)->repeated);
    cr_assert_eq((**again)->revision.value, 1);
}

Test(configuration, one_of_two_concurrent_changes_with_an_expected_revision_wins) {
    simulated_system system(2);
    system.run_for(1s);
    const auto first = system.apply(0, make_command("first", 1, 0));
    const auto second = system.apply(1, make_command("second", 2, 0));
    system.run_for(2s);
    cr_assert(first->has_value() && second->has_value());
    cr_assert_neq((*first)->has_value(), (*second)->has_value());
    const auto& loser = (*first)->has_value() ? second : first;
    cr_assert_eq(code_of(loser), configuration_error_code::revision_conflict);
    cr_assert(system.all_at(1));
}

Test(configuration, concurrent_changes_without_an_expected_revision_both_take_effect) {
    simulated_system system(2);
    system.run_for(1s);
    const auto first = system.apply(0, make_command("first", 1));
    const auto second = system.apply(1, make_command("second", 2));
    system.run_for(2s);
    cr_assert((*first)->has_value() && (*second)->has_value());
    cr_assert(system.all_at(2));
}

Test(configuration, an_invalid_state_is_rejected_with_its_errors) {
    simulated_system system(1);
    apply_command command = make_command("first", -1);
    const auto result = system.apply(0, command);
    system.run_for(1s);
    cr_assert_eq(code_of(result), configuration_error_code::invalid);
    cr_assert_eq((*result)->error().faults.size(), 1);
}

Test(configuration, routers_that_confirm_each_other_stay_ready_during_an_outage) {
    simulated_system system(3);
    system.run_for(1s);
    apply_and_check(system, "first", 1);
    system.platform.set_faults(outage());
    system.run_for(600s);
    cr_assert(system.all_at(1));
}

Test(configuration, a_router_without_table_and_peers_becomes_unready) {
    simulated_system system(3);
    system.run_for(1s);
    apply_and_check(system, "first", 1);
    system.platform.set_faults(outage());
    system.network.cut[2] = true;
    system.run_for(20s);
    cr_assert(!system.service(2).confirmed());
    cr_assert(system.service(0).confirmed());
    system.network.cut[2] = false;
    system.run_for(6s);
    cr_assert(system.service(2).confirmed());
}

Test(configuration, a_router_restarted_during_an_outage_loads_from_its_peers) {
    simulated_system system(3);
    system.run_for(1s);
    apply_and_check(system, "first", 1);
    system.platform.set_faults(outage());
    system.start(1);
    system.run_for(100ms);
    cr_assert_eq(system.revision(1), 1);
    cr_assert(system.service(1).confirmed());
}

// The largest supported group, restarted together while the table allows 50 calls a second in
// total.
Test(configuration, all_370_routers_restart_together_with_a_rate_limited_table) {
    constexpr std::size_t router_count = 370;
    emulator::platform_options options;
    options.table_rate = 50;
    simulated_system system(router_count, 1, options);
    system.run_for(5s);
    apply_and_check(system, "first", 1);
    for (std::size_t index = 0; index < router_count; ++index) {
        system.stop(index);
    }
    for (std::size_t index = 0; index < router_count; ++index) {
        system.start(index);
    }
    const std::uint64_t before = system.network.table_calls;
    system.run_for(4s);
    cr_assert(system.all_at(1));
    cr_assert_lt(system.network.table_calls - before, 3 * router_count);
    assert_no_failures(system);
}

Test(configuration, a_snapshot_from_the_object_store_is_held_but_unconfirmed) {
    simulated_system system(1);
    system.run_for(1s);
    apply_and_check(system, "first", 1);
    system.network.table_down = true;
    system.start(0);
    system.run_for(60s);
    cr_assert_eq(system.revision(0), 1);
    cr_assert(!system.service(0).confirmed());
    system.network.table_down = false;
    system.run_for(30s);
    cr_assert(system.all_at(1));
}

Test(configuration, watchers_see_every_revision_in_order) {
    simulated_system system(2);
    system.run_for(1s);
    apply_and_check(system, "first", 1);
    std::vector<std::uint64_t> seen;
    const auto watching = system.service(1).watch(
        base::revision(0),
        [&](const revision_event& event) { seen.push_back(event.revision.value); });
    apply_and_check(system, "second", 2);
    apply_and_check(system, "third", 3);
    cr_assert((seen == std::vector<std::uint64_t>{1, 2, 3}));
}

Test(configuration, a_drained_engine_is_listed_in_its_pool) {
    simulated_system system(1);
    system.run_for(1s);
    apply_command command = make_command("first", 1);
    const base::pool_name pool("p");
    command.desired.pools[pool] = {pool, catalog::pool_kind::application, {}, {}};
    system.apply(0, command);
    system.run_for(1s);
    virtual_scheduler& scheduler = system.network.routers[0]->scheduler;
    scheduler.spawn("test.drain", run_drain(system.service(0), pool, "second", false));
    system.run_for(1s);
    cr_assert_eq(system.service(0).current()->pools.at(pool).drained.size(), 1);
    scheduler.spawn("test.drain", run_drain(system.service(0), pool, "third", true));
    system.run_for(1s);
    cr_assert(system.service(0).current()->pools.at(pool).drained.empty());
    cr_assert_eq(system.revision(0), 3);
}

// After a restart of all routers during an outage of the table, no router can confirm the snapshot.
Test(configuration, an_operator_confirms_the_snapshot_after_all_routers_restarted_without_a_table) {
    simulated_system system(3);
    system.run_for(1s);
    apply_and_check(system, "first", 1);
    system.network.table_down = true;
    for (std::size_t index = 0; index < 3; ++index) {
        system.stop(index);
    }
    for (std::size_t index = 0; index < 3; ++index) {
        system.start(index);
    }
    system.run_for(60s);
    cr_assert_eq(system.revision(0), 1);
    cr_assert(!system.service(0).confirmed());
    virtual_scheduler& scheduler = system.network.routers[0]->scheduler;
    scheduler.spawn("test.confirm", run_confirm(system.service(0), 2, false));
    system.run_for(10s);
    cr_assert(!system.service(0).confirmed());
    scheduler.spawn("test.confirm", run_confirm(system.service(0), 1, true));
    system.run_for(10s);
    cr_assert(system.all_at(1));
    system.run_for(600s);
    cr_assert(system.all_at(1));
    assert_no_failures(system);
}

// A router that fails after its commit, before it has pushed the change: the peers go on confirming
// the old revision, and only the table holds the new one.
Test(configuration, a_change_that_only_the_table_holds_is_read_from_it) {
    simulated_system system(3);
    system.run_for(1s);
    emulator::platform_faults faults;
    faults.lost_answers = 1;
    system.platform.set_faults(faults);
    system.apply(0, make_command("first", 1));
    while (system.platform.faults().lost_answers > 0) {
        system.run_for(1ms);
    }
    system.start(0);
    system.run_for(80s);
    cr_assert(system.all_at(1));
}
