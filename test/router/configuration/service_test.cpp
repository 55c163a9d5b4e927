/// The configuration service under the platform's and the peers' failures, in virtual time.
#include "test/router/configuration/simulated_routers.hpp"

#include <criterion/criterion.h>

using namespace std::chrono_literals;
using namespace ferryroad;
using namespace ferryroad::router;
using namespace ferryroad::router::testing;

namespace {

void assert_sound(const simulated_system& system) {
    for (const auto& failure : system.time.failures()) {
        cr_assert_fail("%s: %s", failure.coroutine.c_str(), failure.message.c_str());
    }
}

/// Applies at router 0 and asserts that it took effect.
std::uint64_t apply_plainly(simulated_system& system, const std::string& operation, double rate) {
    const auto ended = system.apply(0, make_command(operation, rate));
    system.run_for(2s);
    cr_assert(ended->has_value());
    cr_assert((*ended)->has_value(), "%s", (*ended)->error().message.c_str());
    return (**ended)->revision.value;
}

configuration_error_code code_of(const std::shared_ptr<std::optional<outcome>>& ended) {
    cr_assert(ended->has_value());
    cr_assert((*ended)->has_error());
    return (*ended)->error().code;
}

emulator::platform_faults outage() {
    emulator::platform_faults faults;
    faults.outage = true;
    return faults;
}

runtime::task<void> run_drain(configuration_service& service, base::pool_name pool,
                              std::string operation, bool undo) {
    drain_command wanted{std::move(pool), base::engine_name("e"), undo,
                         operation_id(std::move(operation)), author_name("tester")};
    auto ended = co_await service.drain(std::move(wanted));
    cr_assert(ended.has_value());
}

runtime::task<void> run_confirm(configuration_service& service, std::uint64_t revision,
                                bool accepted) {
    confirm_command word{base::revision(revision), author_name("tester")};
    auto ended = co_await service.confirm(std::move(word));
    cr_assert_eq(ended.has_value(), accepted);
}

}  // namespace

Test(configuration, an_empty_system_confirms_that_there_is_nothing) {
    simulated_system system(3);
    cr_assert(!system.service(0).confirmed());
    system.run_for(2s);
    cr_assert(system.all_at(0));
    assert_sound(system);
}

Test(configuration, a_change_is_in_force_everywhere_at_once) {
    simulated_system system(8);
    system.run_for(1s);
    cr_assert_eq(apply_plainly(system, "first", 1), 1);
    cr_assert(system.all_at(1));
    cr_assert_eq(system.service(7).current()->tenants.size(), 1);
    assert_sound(system);
}

Test(configuration, lost_pushes_cost_seconds) {
    simulated_system system(8);
    system.run_for(1s);
    system.network.pushes_lost = true;
    apply_plainly(system, "first", 1);
    system.run_for(20s);
    cr_assert(system.all_at(1));
    assert_sound(system);
}

Test(configuration, gossip_of_a_revision_brings_it_within_a_second) {
    simulated_system system(2);
    system.run_for(1s);
    system.network.pushes_lost = true;
    const auto ended = system.apply(0, make_command("first", 1));
    system.run_for(100ms);
    cr_assert(ended->has_value());
    system.network.routers[1]->scheduler.run(
        [&] { system.service(1).observe_revision(base::revision(1)); });
    system.run_for(500ms);
    cr_assert_eq(system.revision(1), 1);
}

Test(configuration, a_lost_commit_answer_is_found_out) {
    simulated_system system(2);
    system.run_for(1s);
    emulator::platform_faults faults;
    faults.lost_answers = 1;
    system.platform.set_faults(faults);
    cr_assert_eq(apply_plainly(system, "first", 1), 1);
    system.run_for(5s);
    cr_assert(system.all_at(1));
    assert_sound(system);
}

Test(configuration, an_outage_refuses_the_change_and_it_may_be_repeated) {
    simulated_system system(2);
    system.run_for(1s);
    system.platform.set_faults(outage());
    const auto ended = system.apply(0, make_command("first", 1));
    system.run_for(10s);
    cr_assert_eq(code_of(ended), configuration_error_code::unavailable);
    system.platform.set_faults({});
    cr_assert_eq(apply_plainly(system, "first", 1), 1);
}

Test(configuration, an_answer_lost_into_an_outage_is_told_as_unknown) {
    simulated_system system(2);
    system.run_for(1s);
    emulator::platform_faults faults;
    faults.lost_answers = 1;
    system.platform.set_faults(faults);
    const auto ended = system.apply(0, make_command("first", 1));
    while (system.platform.faults().lost_answers > 0) {
        system.run_for(1ms);
    }
    system.platform.set_faults(outage());
    system.run_for(10s);
    cr_assert_eq(code_of(ended), configuration_error_code::outcome_unknown);
    system.platform.set_faults({});
    const auto again = system.apply(1, make_command("first", 1));
    system.run_for(2s);
    cr_assert(again->has_value() && (*again)->has_value());
    cr_assert((**again)->repeated);
    cr_assert_eq((**again)->revision.value, 1);
}

Test(configuration, one_of_two_racing_operators_wins) {
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

Test(configuration, without_an_expected_revision_both_take_effect_in_turn) {
    simulated_system system(2);
    system.run_for(1s);
    const auto first = system.apply(0, make_command("first", 1));
    const auto second = system.apply(1, make_command("second", 2));
    system.run_for(2s);
    cr_assert((*first)->has_value() && (*second)->has_value());
    cr_assert(system.all_at(2));
}

Test(configuration, a_faulty_state_is_refused_with_its_faults) {
    simulated_system system(1);
    apply_command command = make_command("first", -1);
    const auto ended = system.apply(0, command);
    system.run_for(1s);
    cr_assert_eq(code_of(ended), configuration_error_code::invalid);
    cr_assert_eq((*ended)->error().faults.size(), 1);
}

Test(configuration, peers_keep_each_other_ready_through_an_outage) {
    simulated_system system(3);
    system.run_for(1s);
    apply_plainly(system, "first", 1);
    system.platform.set_faults(outage());
    system.run_for(600s);
    cr_assert(system.all_at(1));
}

Test(configuration, a_router_cut_off_from_table_and_peers_turns_unready) {
    simulated_system system(3);
    system.run_for(1s);
    apply_plainly(system, "first", 1);
    system.platform.set_faults(outage());
    system.network.cut[2] = true;
    system.run_for(20s);
    cr_assert(!system.service(2).confirmed());
    cr_assert(system.service(0).confirmed());
    system.network.cut[2] = false;
    system.run_for(6s);
    cr_assert(system.service(2).confirmed());
}

Test(configuration, a_restarted_router_serves_from_its_peers_during_an_outage) {
    simulated_system system(3);
    system.run_for(1s);
    apply_plainly(system, "first", 1);
    system.platform.set_faults(outage());
    system.start(1);
    system.run_for(100ms);
    cr_assert_eq(system.revision(1), 1);
    cr_assert(system.service(1).confirmed());
}

// The design size, restarted at once, on a table that takes 50 calls a second for everybody.
Test(configuration, a_herd_of_370_restarts_from_a_rate_limited_table) {
    constexpr std::size_t herd = 370;
    emulator::platform_options options;
    options.table_rate = 50;
    simulated_system system(herd, 1, options);
    system.run_for(5s);
    apply_plainly(system, "first", 1);
    for (std::size_t index = 0; index < herd; ++index) {
        system.stop(index);
    }
    for (std::size_t index = 0; index < herd; ++index) {
        system.start(index);
    }
    const std::uint64_t before = system.network.table_calls;
    system.run_for(4s);
    cr_assert(system.all_at(1));
    cr_assert_lt(system.network.table_calls - before, 3 * herd);
    assert_sound(system);
}

Test(configuration, a_copy_from_the_object_store_is_held_but_not_trusted) {
    simulated_system system(1);
    system.run_for(1s);
    apply_plainly(system, "first", 1);
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
    apply_plainly(system, "first", 1);
    std::vector<std::uint64_t> seen;
    const auto watching = system.service(1).watch(
        base::revision(0),
        [&](const revision_event& event) { seen.push_back(event.revision.value); });
    apply_plainly(system, "second", 2);
    apply_plainly(system, "third", 3);
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

// The worst moment: every router restarted and the table is down.
Test(configuration, an_operator_vouches_for_the_copy_after_a_herd_restart_without_a_table) {
    simulated_system system(3);
    system.run_for(1s);
    apply_plainly(system, "first", 1);
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
    assert_sound(system);
}

// A router died after its commit, before it told anyone: peers confirm each other, and only
// the table knows better.
Test(configuration, a_change_that_only_the_table_knows_is_found) {
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
