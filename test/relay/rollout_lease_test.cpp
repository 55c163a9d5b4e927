/// A holder acts only after it announced that in the lease, and has to wait only where its
/// predecessor may have acted recently.
#include "ferryroad/relay/rollout_lease.hpp"

#include "test/relay/lease_router.hpp"

#include <optional>

using namespace ferryroad;
using namespace ferryroad::relay;
using namespace ferryroad::relay::test;
using namespace std::chrono_literals;

namespace {

using router = lease_router;

/// Runs until the router may act, while it announces that it wants to.
/// @return how long that took.
base::duration time_to_act(ferryroad::test::loopback& loop, router& one) {
    const base::monotonic_time began = loop.scheduler.now();
    loop.context.restart();
    cr_assert(loop.run([&]() -> runtime::task<void> {
        co_await loop.until([&] {
            one.lease.set_intent(true);
            return one.lease.token().has_value();
        });
    }));
    return loop.scheduler.now() - began;
}

void run_for(ferryroad::test::loopback& loop, base::duration time) {
    loop.context.restart();
    cr_assert(loop.run([&]() -> runtime::task<void> { co_await loop.scheduler.sleep_for(time); }));
}

/// The lease was held by a router that took no action, then by one that did.
struct previous_holders {
    static constexpr base::duration gap = 1500ms;

    ferryroad::test::loopback loop;
    single_row_table table;
    router early{loop, table, 1, gap};
    base::monotonic_time acted{};

    previous_holders() {
        run_for(loop, 30ms);
        early.lease.set_intent(false);
        run_for(loop, 30ms);
        early.wanted = false;
        run_for(loop, 30ms);
        time_to_act(loop, m_acting.emplace(loop, table, 2, gap));
        acted = loop.scheduler.now();
        m_acting->stop();
        run_for(loop, 30ms);
    }
    /// Checks that the router doesn't act within the gap after the action.
    void expect_gap_until(router& last) {
        time_to_act(loop, last);
        const base::duration since = loop.scheduler.now() - acted;
        cr_assert(since >= gap, "%ld ms", static_cast<long>(base::to_milliseconds(since)));
    }

  private:
    std::optional<router> m_acting;
};

}  // namespace

Test(rollout_lease, the_first_holder_acts_once_it_has_announced_it) {
    ferryroad::test::loopback loop;
    single_row_table table;
    router first(loop, table, 1, 5s);
    run_for(loop, 30ms);
    cr_assert(first.lease.held());
    cr_assert_not(first.lease.token().has_value());
    cr_assert(time_to_act(loop, first) < 2500ms);
    cr_assert_eq(first.lease.token()->value, 1);
}

Test(rollout_lease, waits_the_whole_gap_after_a_holder_that_was_acting) {
    ferryroad::test::loopback loop;
    single_row_table table;
    router first(loop, table, 1);
    time_to_act(loop, first);
    single_row_table without_first;  // As if the first holder had been killed.
    without_first.row = table.row;
    router second(loop, without_first, 2);
    const base::duration waited = time_to_act(loop, second);
    cr_assert(waited >= 400ms + 200ms, "the hold and the gap");
    cr_assert_eq(second.lease.token()->value, 2);
}

Test(rollout_lease, the_gap_counts_from_the_end_of_the_previous_hold) {
    ferryroad::test::loopback loop;
    single_row_table table;
    router first(loop, table, 1, 1500ms);
    time_to_act(loop, first);
    router second(loop, table, 2, 1500ms);
    table.writes_refused = true;  // The first holder's lease ends, and nobody can take it.
    first.leases.stop();
    run_for(loop, 1700ms);
    table.writes_refused = false;
    const base::duration waited = time_to_act(loop, second);
    cr_assert(waited < 1s, "%ld ms", static_cast<long>(base::to_milliseconds(waited)));
}

Test(rollout_lease, a_stopping_holder_writes_the_time_of_its_last_action) {
    ferryroad::test::loopback loop;
    single_row_table table;
    router first(loop, table, 1, 1500ms);
    time_to_act(loop, first);
    run_for(loop, 1600ms);  // It announced actions all the time, but took none.
    first.lease.finish();
    first.lease.set_intent(true);
    cr_assert_not(first.lease.token().has_value());
    first.leases.stop();
    router second(loop, table, 2, 1500ms);
    const base::duration waited = time_to_act(loop, second);
    cr_assert(waited < 1s, "%ld ms", static_cast<long>(base::to_milliseconds(waited)));
}

Test(rollout_lease, a_holder_that_never_acted_is_not_waited_for) {
    ferryroad::test::loopback loop;
    single_row_table table;
    router first(loop, table, 1, 1500ms);
    time_to_act(loop, first);
    const base::monotonic_time acted = loop.scheduler.now();
    first.lease.finish();
    first.leases.stop();
    router second(loop, table, 2, 1500ms);
    loop.context.restart();
    cr_assert(loop.run([&] { return loop.until([&] { return second.lease.held(); }); }));
    second.lease.set_intent(true);
    run_for(loop, 100ms);
    cr_assert_not(second.lease.token().has_value());
    second.lease.set_intent(true);
    second.leases.stop();
    router third(loop, table, 3, 1500ms);
    time_to_act(loop, third);
    const base::duration since = loop.scheduler.now() - acted;
    cr_assert(since >= 1400ms);
    cr_assert(since < 2500ms, "%ld ms", static_cast<long>(base::to_milliseconds(since)));
}

Test(rollout_lease, acts_at_once_after_a_holder_that_finished_long_ago) {
    ferryroad::test::loopback loop;
    single_row_table table;
    router first(loop, table, 1);
    time_to_act(loop, first);
    first.lease.set_intent(false);
    run_for(loop, 250ms);
    cr_assert_not(first.lease.token().has_value());
    first.leases.stop();
    run_for(loop, 30ms);
    router second(loop, table, 2);
    const base::duration waited = time_to_act(loop, second);
    cr_assert(waited < 200ms, "%ld ms", static_cast<long>(base::to_milliseconds(waited)));
}

// Guards against: a router that took the lease wrote a note of its own, older than its
// predecessor's last action, and ended at once; its successor then acted without waiting.
Test(rollout_lease, a_holder_that_ends_as_it_takes_the_lease_preserves_the_handover_gap) {
    previous_holders before;
    before.table.on_committed = [&] {
        if (before.early.wanted) {
            before.early.stop();
        }
    };
    before.early.wanted = true;
    run_for(before.loop, 60ms);
    before.table.on_committed = {};
    cr_assert_not(before.early.wanted, "it took the lease");
    router last(before.loop, before.table, 3, before.gap);
    before.expect_gap_until(last);
}

// Guards against: the same, where the router that took the lease was killed and released nothing.
Test(rollout_lease, a_holder_killed_as_it_takes_the_lease_preserves_the_handover_gap) {
    previous_holders before;
    single_row_table after_kill;
    before.table.on_committed = [&] {
        if (after_kill.row.version.value == 0) {
            after_kill.row = before.table.row;  // The first write of `early` is its last.
        }
    };
    before.early.wanted = true;
    run_for(before.loop, 60ms);
    cr_assert(after_kill.row.version.value > 0, "it took the lease");
    router last(before.loop, after_kill, 3, before.gap);
    before.expect_gap_until(last);
}

// Guards against: a planned stop left the note of a holder that acts, and its successor waited the
// whole gap although the last action was long ago.
Test(rollout_lease, a_planned_stop_leaves_the_time_of_the_last_action) {
    ferryroad::test::loopback loop;
    single_row_table table;
    constexpr base::duration gap = 1500ms;
    router first(loop, table, 1, gap);
    time_to_act(loop, first);
    run_for(loop, 1600ms);  // It announces actions, but takes none.
    const base::monotonic_time stopped = loop.scheduler.now();
    first.stop();
    router second(loop, table, 2, gap);
    time_to_act(loop, second);
    const base::duration waited = loop.scheduler.now() - stopped;
    cr_assert(waited < gap, "%ld ms", static_cast<long>(base::to_milliseconds(waited)));
}

// Guards against: a holder without the owner's clock left a time long ago as that of its last
// action.
Test(rollout_lease, a_router_that_cannot_date_its_actions_takes_none) {
    ferryroad::test::loopback loop;
    single_row_table table;
    constexpr base::duration gap = 1500ms;
    router first(loop, table, 1, gap);
    time_to_act(loop, first);
    const base::monotonic_time acted = loop.scheduler.now();
    first.stop();
    router undated(loop, table, 2, gap, router::clock_state::unknown);
    run_for(loop, 300ms);
    cr_assert(undated.lease.held());
    undated.lease.set_intent(true);
    run_for(loop, 30ms);
    cr_assert_not(undated.lease.token().has_value());
    undated.stop();
    router third(loop, table, 3, gap);
    time_to_act(loop, third);
    const base::duration since = loop.scheduler.now() - acted;
    cr_assert(since >= gap, "%ld ms", static_cast<long>(base::to_milliseconds(since)));
}

Test(rollout_lease, few_routers_contend_and_none_while_all_start_together) {
    lease_contender router;
    router.uptime = 10s;
    cr_assert_not(contends_for_rollout(router));
    router.reads_owner = true;
    cr_assert(contends_for_rollout(router));
    router.uptime = 100ms;
    cr_assert_not(contends_for_rollout(router));
    router.holds = true;
    cr_assert(contends_for_rollout(router));
    router.reaches_engines = false;
    cr_assert_not(contends_for_rollout(router), "its orders would arrive nowhere");
    router.reaches_engines = true;
    router.stopping = true;
    cr_assert_not(contends_for_rollout(router));
}
