/// Property tests of a whole group under random faults in virtual time.
#include "ferryroad/base/random.hpp"
#include "test/coordination/membership/simulated_group.hpp"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <algorithm>

namespace {

using namespace ferryroad;
using namespace ferryroad::coordination::membership;
using namespace ferryroad::coordination::membership::test;

constexpr base::duration settle_limit = 120s;
/// The probability that no other member probes a given member for this many periods is about
/// exp(-12).
constexpr int unprobed_periods = 12;
/// Time for an update to reach everyone.
constexpr base::duration spread_limit = 5s;

std::size_t any_size(std::size_t most) {
    return *rc::gen::inRange<std::size_t>(3, most + 1);
}
std::uint64_t any_seed() {
    return *rc::gen::arbitrary<std::uint64_t>();
}

/// No loss, but heavy reordering and duplication.
network_faults lossless() {
    network_faults faults;
    faults.duplication = 0.2;
    faults.longest_delay = 120ms;
    return faults;
}

base::duration detection_bound(simulated_group& group, std::size_t viewer) {
    return unprobed_periods * detector_settings{}.probe_period +
           group.at(viewer).detector->suspicion_time() + spread_limit;
}

/// Injects a random fault into any member but the first seed.
void random_fault(simulated_group& group, base::random_source& random) {
    const std::size_t victim = 1 + random.below(group.size() - 1);
    simulated_group::node& node = group.at(victim);
    switch (random.below(5)) {
        case 0:
            if (node.running) {
                group.crash(victim);
            }
            break;
        case 1:
            if (!node.running) {
                group.start(victim);
            }
            break;
        case 2:
            if (node.running && !node.paused) {
                group.pause(victim);
            } else if (node.paused && node.running) {
                group.resume(victim);
            }
            break;
        case 3:
            group.cut(random.below(group.size()));
            break;
        default: {
            network_faults faults;
            faults.loss = 0.25 * random.unit();
            faults.duplication = 0.3 * random.unit();
            faults.longest_delay = 150ms;
            group.set_faults(faults);
        }
    }
}

void end_faults(simulated_group& group) {
    group.cut(0);
    group.set_faults({});
    for (std::size_t index = 0; index < group.size(); ++index) {
        if (group.at(index).running && group.at(index).paused) {
            group.resume(index);
        }
    }
}

}  // namespace

Test(group, no_false_death_without_loss_and_crashes_are_found) {
    cr_assert(rc::check("without loss only crashed members are declared dead, in bounded time", [] {
        simulated_group group(any_size(30), any_seed(), lossless());
        group.start_all();
        RC_ASSERT(group.run_until([&] { return group.converged(); }, settle_limit).has_value());
        const std::size_t victim = *rc::gen::inRange<std::size_t>(0, group.size());
        const std::size_t viewer = victim == 0 ? 1 : 0;
        const base::duration bound = detection_bound(group, viewer);
        group.crash(victim);
        RC_ASSERT(group.run_until([&] { return group.all_see(victim, member_state::dead); }, bound)
                      .has_value());
        group.run_for(30s);
        RC_ASSERT(group.converged());
        RC_ASSERT(group.false_deaths() == 0U);
    }));
}

Test(group, converges_after_any_faults) {
    cr_assert(rc::check("after faults of every kind end, all views are exact again", [] {
        const std::uint64_t seed = any_seed();
        simulated_group group(any_size(24), seed);
        base::seeded_random schedule(seed ^ 1U);
        group.start_all();
        for (int step = 0; step < 20; ++step) {
            group.run_for(std::chrono::milliseconds(200 + schedule.below(6000)));
            random_fault(group, schedule);
        }
        end_faults(group);
        RC_ASSERT(group.run_until([&] { return group.converged(); }, settle_limit).has_value());
    }));
}

Test(group, suspicion_is_refuted_under_loss) {
    cr_assert(rc::check("at a tenth of loss no running member stays dead", [] {
        network_faults faults;
        faults.loss = 0.1;
        simulated_group group(any_size(20), any_seed(), faults);
        group.start_all();
        group.run_for(120s);
        // Direct and indirect probes rarely fail in the same period; if they do, the refutation
        // must win.
        RC_ASSERT(group.false_deaths() == 0U);
        group.set_faults({});
        RC_ASSERT(group.run_until([&] { return group.converged(); }, settle_limit).has_value());
    }));
}

Test(group, a_paused_process_declares_nobody_dead) {
    cr_assert(rc::check("a long pause of one process proves nothing against the others", [] {
        simulated_group group(any_size(20), any_seed(), lossless());
        group.start_all();
        RC_ASSERT(group.run_until([&] { return group.converged(); }, settle_limit).has_value());
        const std::size_t victim = *rc::gen::inRange<std::size_t>(0, group.size());
        group.run_for(std::chrono::milliseconds(*rc::gen::inRange(0, 2000)));
        group.pause(victim);
        group.run_for(std::chrono::milliseconds(*rc::gen::inRange(500, 60'000)));
        group.resume(victim);
        RC_ASSERT(group.run_until([&] { return group.converged(); }, settle_limit).has_value());
        group.run_for(10s);
        RC_ASSERT(group.at(victim).deaths_declared == 0U);
        RC_ASSERT(group.converged());
    }));
}

Test(group, all_paused_at_once) {
    simulated_group group(15, 3, lossless());
    group.start_all();
    cr_assert(group.run_until([&] { return group.converged(); }, settle_limit).has_value());
    for (std::size_t index = 0; index < group.size(); ++index) {
        group.pause(index);
    }
    group.run_for(60s);
    for (std::size_t index = 0; index < group.size(); ++index) {
        group.resume(index);
    }
    group.run_for(20s);
    cr_assert(group.converged());
    cr_assert_eq(group.false_deaths(), 0);
}

Test(group, a_broken_link_between_two_members_is_bridged_by_others) {
    simulated_group group(6, 5);
    group.start_all();
    cr_assert(group.run_until([&] { return group.converged(); }, settle_limit).has_value());
    group.cut_pair(1, 4);
    group.run_for(120s);
    cr_assert(group.converged());
    cr_assert_eq(group.false_deaths(), 0);
}

Test(group, partition_heals) {
    simulated_group group(40, 8);
    group.start_all();
    cr_assert(group.run_until([&] { return group.converged(); }, settle_limit).has_value());
    group.cut(15);
    group.run_for(300s);
    cr_assert(group.view(0, 20) == member_state::dead);
    cr_assert(group.view(0, 10) == member_state::alive);
    cr_assert(group.view(20, 10) == member_state::dead);
    group.cut(0);
    cr_assert(group.run_until([&] { return group.converged(); }, settle_limit).has_value());
}

Test(group, planned_stop_is_known_at_once) {
    simulated_group group(20, 9);
    group.start_all();
    cr_assert(group.run_until([&] { return group.converged(); }, settle_limit).has_value());
    group.at(7).detector->leave();
    cr_assert(group.run_until([&] { return group.all_see(7, member_state::leaving); }, spread_limit)
                  .has_value());
    group.run_for(30s);
    cr_assert(group.all_see(7, member_state::leaving), "a leaving member goes on answering");
    group.depart(7);
    cr_assert(group.run_until([&] { return group.all_see(7, member_state::dead); }, spread_limit)
                  .has_value());
}

Test(group, restarted_member_replaces_its_former_process) {
    simulated_group group(12, 10);
    group.start_all();
    cr_assert(group.run_until([&] { return group.converged(); }, settle_limit).has_value());
    group.crash(5);
    group.start(5);
    cr_assert(group.run_until([&] { return group.converged(); }, 20s).has_value());
    cr_assert_eq(group.false_deaths(), 0);
}

Test(group, notices_and_revisions_reach_everyone) {
    network_faults faults;
    faults.loss = 0.1;
    simulated_group group(40, 11, faults);
    group.start_all();
    cr_assert(group.run_until([&] { return group.converged(); }, settle_limit).has_value());
    group.at(3).detector->spread({"engine-1", 4, true}, group.now());
    group.at(9).detector->set_revision(17);
    const auto reached = [&] {
        for (std::size_t index = 0; index < group.size(); ++index) {
            const bool revision = index == 9 || group.at(index).highest_revision == 17;
            if (group.at(index).notices.size() != 1 || !revision) {
                return false;
            }
        }
        return true;
    };
    cr_assert(group.run_until(reached, spread_limit).has_value());
    group.run_for(60s);
    cr_assert(reached(), "a notice was news twice");
}
