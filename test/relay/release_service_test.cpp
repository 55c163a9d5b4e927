/// Releases over several routers: good versions are completed in time and bad ones rolled back,
/// also where routers or the store fail.
#include "ferryroad/relay/release_service.hpp"

#include "test/relay/simulated_release.hpp"

using namespace ferryroad;
using namespace ferryroad::relay;
using namespace ferryroad::relay::test;
using namespace std::chrono_literals;
using release::release_phase;

namespace {

constexpr base::duration allowed = 12s;
constexpr base::duration grant = 2s;

/// One in three answers of the new software fails.
made_answer fails_often(const std::string& software, std::size_t request) {
    return {software == "v2" && request % 3 == 0, 20ms};
}

made_answer is_good(const std::string&, std::size_t) {
    return {};
}

made_answer is_slow(const std::string& software, std::size_t) {
    return {false, software == "v2" ? 80ms : 20ms};
}

/// Gives an order; the engines of the new version follow a little later.
void begin(simulated_release& run) {
    run.order("v2", allowed);
    run.run_for(300ms);
    run.add_engines("v2", simulated_release::old_engines);
}

void assert_exposed_little(const simulated_release& run) {
    const double share = static_cast<double>(run.sent_to("v2", run.ordered_at)) /
                         static_cast<double>(run.sent_since_order());
    cr_assert_leq(share, 0.1, "%f", share);
}

void assert_status(const simulated_release& run, release_phase phase) {
    cr_assert_not(run.statuses.empty());
    cr_assert(run.statuses.back().phase == phase);
    cr_assert(run.statuses.back().target.value == "v2");
}

}  // namespace

Test(release_service, a_good_version_completes_in_time_and_then_nothing_is_sent) {
    simulated_release run(5);
    begin(run);
    cr_assert(run.run_until_all_know(release_phase::trial, 2s));
    run.run_for(2s);
    cr_assert_gt(run.sent_to("v2"), 0);
    assert_exposed_little(run);
    cr_assert(run.statuses.front().phase == release_phase::trial);
    cr_assert(run.run_until_all_know(release_phase::completed, allowed - 2500ms));
    run.run_for(500ms);
    assert_status(run, release_phase::completed);
    cr_assert_leq(run.time.now() - run.ordered_at, allowed);
    run.remove_engines("v1");
    const auto sent = run.network.sent;
    const auto calls = run.rows.calls;
    run.run_for(6s);
    cr_assert_eq(run.network.sent, sent, "%zu datagrams", run.network.sent - sent);
    cr_assert_eq(run.rows.calls, calls);
    cr_assert_eq(run.unserved, 0);
    run.start(2);  // It asks for the state once.
    run.run_for(3s);
    cr_assert(run.all_know(release_phase::completed));
    cr_assert_leq(run.network.sent - sent, 12);
    cr_assert_eq(run.unserved, 0);
}

Test(release_service, bad_versions_are_rolled_back_before_the_deadline) {
    for (const auto& engine : {fails_often, is_slow}) {
        simulated_release run(5);
        run.engine = engine;
        begin(run);
        cr_assert(run.run_until_all_know(release_phase::rolled_back, 9s));
        assert_exposed_little(run);
        const base::monotonic_time ended = run.time.now();
        run.run_for(3s);
        assert_status(run, release_phase::rolled_back);
        cr_assert_eq(run.sent_to("v2", ended), 0);
        cr_assert_eq(run.unserved, 0);
    }
}

Test(release_service, a_killed_coordinator_is_replaced) {
    for (const auto phase : {release_phase::completed, release_phase::rolled_back}) {
        simulated_release run(6);
        begin(run);
        run.run_for(3s);
        const std::size_t first = run.coordinator();
        run.kill(first);
        if (phase == release_phase::rolled_back) {
            run.engine = fails_often;
        }
        run.run_for(3s);
        cr_assert_neq(run.coordinator(), first);
        run.declare();
        cr_assert(run.run_until_all_know(phase, allowed - 6300ms));
        run.run_for(500ms);
        assert_status(run, phase);
        cr_assert_eq(run.unserved, 0);
    }
}

Test(release_service, the_end_is_published_though_the_coordinator_that_wrote_it_is_killed) {
    for (const auto& engine : {fails_often, is_good}) {
        simulated_release run(4);
        run.engine = engine;
        run.rows.call_time = 50ms;
        begin(run);
        const auto recorded = [&] { return release::is_final(run.record().phase); };
        const base::monotonic_time limit = run.ordered_at + allowed;
        while (!recorded() && run.time.now() < limit) {
            run.run_for(20ms);
        }
        cr_assert(recorded());
        const release_phase end = run.record().phase;
        cr_assert(run.statuses.empty() || run.statuses.back().phase == release_phase::trial);
        run.kill(run.coordinator());
        run.run_for(3s);
        assert_status(run, end);
        cr_assert(run.record().status_told);
    }
}

Test(release_service, a_bad_version_gets_no_requests_while_the_store_is_down) {
    simulated_release run(5);
    begin(run);
    run.run_for(2s);
    run.rows.down = true;
    run.engine = fails_often;
    run.run_for(4500ms);
    const base::monotonic_time later = run.time.now();
    run.run_for(8s);
    cr_assert_eq(run.sent_to("v2", later), 0);
    cr_assert_eq(run.unserved, 0);
    run.rows.down = false;
    cr_assert(run.run_until_all_know(release_phase::rolled_back, 3s));
    run.run_for(500ms);
    assert_status(run, release_phase::rolled_back);
}

Test(release_service, a_good_version_is_not_promoted_while_the_store_is_down) {
    simulated_release run(5);
    begin(run);
    run.run_for(3s);
    run.rows.down = true;
    run.run_for(allowed);
    for (const auto& one : run.routers) {
        cr_assert(one->service.traffic().gate().phase_of(the_pool) != release_phase::promoted);
    }
    cr_assert_eq(run.unserved, 0);
    run.rows.down = false;
    run.run_for(3s);
    cr_assert(run.statuses.back().phase != release_phase::trial, "the end must be published");
}

Test(release_service, an_isolated_router_ends_its_trial_by_itself) {
    simulated_release run(5);
    begin(run);
    run.run_for(3s);
    const std::size_t cut = (run.coordinator() + 1) % run.routers.size();
    cr_assert_gt(run.sent_to("v2", {}, cut), 0);
    run.routers[cut]->cut_off();
    const base::monotonic_time at = run.time.now();
    run.run_for(grant + 100ms);
    const std::size_t sent_before = run.sent_to("v2", {}, cut);
    run.run_for(2s);
    cr_assert_eq(run.sent_to("v2", {}, cut), sent_before);
    cr_assert_gt(run.sent_to("v1", at + grant, cut), 0);
}

Test(release_service, a_release_survives_the_restart_of_all_routers) {
    simulated_release run(5);
    begin(run);
    run.run_for(3s);
    for (std::size_t index = 0; index < run.routers.size(); ++index) {
        run.start(index);
    }
    cr_assert(run.run_until_all_know(release_phase::completed, allowed - 3300ms));
    run.run_for(500ms);
    assert_status(run, release_phase::completed);
    cr_assert_eq(run.unserved, 0);
}

Test(release_service, without_an_order_new_versions_are_served_and_nothing_is_sent) {
    simulated_release run(3);
    run.add_engines("v2", 4);
    run.run_for(2s);
    cr_assert_gt(run.sent_to("v2"), 0);
    run.remove_engines("v1");
    run.add_engines("v3", 4);  // Not confirmed yet when the other engines are removed.
    run.remove_engines("v2");
    run.run_for(1s);
    cr_assert_gt(run.sent_to("v3"), 0);
    cr_assert_eq(run.unserved, 0);
    cr_assert_eq(run.network.sent, 0);
    cr_assert_eq(run.rows.calls, 0);
}

Test(release_service, a_router_started_while_the_store_is_down_uses_the_listed_engines) {
    simulated_release run(3);
    run.add_engines("v2", 4);
    run.rows.down = true;
    run.start(0);
    run.run_for(2s);
    cr_assert_eq(run.unserved, 0);
    cr_assert_gt(run.sent_to("v1", run.time.now() - 1s, 0), 0);
}

Test(release_service, a_router_without_a_list_of_routers_coordinates_nothing) {
    simulated_release run(3);
    begin(run);
    run.run_for(3s);
    run.routers[0].reset();
    run.routers[0] =
        std::make_unique<release_router>(run.time, run.network, run.rows, run.statuses, 0, 99);
    run.routers[0]->service.order(*run.routers[1]->service.traffic().gate().order_of(the_pool));
    run.routers[0]->registry.replace_all({}, {});
    run.time.run_until(run.time.now() + 500ms);
    cr_assert_eq(run.routers[0]->service.coordinated_count(), 0);
    cr_assert_eq(run.routers[0]->service.counters().table_calls, 0);
}

Test(release_service, malformed_datagrams_are_counted_and_ignored) {
    simulated_release run(2);
    run.routers[0]->service.handle_datagram({"10.0.0.9", 9}, "nonsense");
    run.routers[0]->service.handle_datagram({"10.0.0.9", 9}, std::string("\x08\0\0\0FRRR", 8));
    cr_assert_eq(run.routers[0]->service.counters().malformed, 2);
    peer::release_report unknown;
    unknown.sender.value = "r9";
    unknown.pool.value = "other";
    run.routers[0]->service.handle_datagram({"10.0.0.9", 9}, peer::encode(unknown));
    cr_assert_eq(run.routers[0]->service.coordinated_count(), 0);
}

Test(release_service, a_delayed_trial_notice_grants_nothing) {
    simulated_release run(3);
    begin(run);
    cr_assert(run.run_until_all_know(release_phase::trial, 2s));
    const std::size_t coordinator = run.coordinator();
    const std::size_t other = coordinator == 0 ? 1 : 0;
    run.routers[other]->cut_off();
    run.run_for(grant + 500ms);
    // A notice sent before the isolation arrives late.
    auto& isolated = run.routers[other]->service;
    const auto order = isolated.traffic().gate().order_of(the_pool)->number;
    const release::phase_notice told{
        the_pool, order, release::software_version("v2"), release_phase::trial, {}, {}};
    const auto& teller = run.routers[coordinator]->self;
    const base::monotonic_time later = run.time.now();
    isolated.handle_datagram(teller.address, peer::encode(peer::release_notice{
                                                 teller.name, the_pool, order, told, false, 1}));
    run.run_for(1s);
    cr_assert_eq(run.sent_to("v2", later, other), 0);
    cr_assert_gt(run.sent_to("v1", later, other), 0);
}
