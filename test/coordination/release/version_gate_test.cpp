/// Tests of which requests a version may get: without an order, in each phase, at a start, and when
/// notices arrive in any order.
#include "ferryroad/coordination/release/version_gate.hpp"

#include <criterion/criterion.h>

using namespace ferryroad;
using namespace ferryroad::coordination::release;
using namespace std::chrono_literals;

namespace {

const base::pool_name pool("p");
const software_version v1("v1");
const software_version v2("v2");
const software_version v3("v3");

base::monotonic_time at(base::duration since_start) {
    return base::monotonic_time(1h + since_start);
}

/// The gate of a router at which v1 has been in force for a long time.
struct fixture {
    version_gate gate;

    fixture() {
        gate.listed(pool, {v1}, at(-60s));
        gate.confirmed(at(-1s));
    }
    void order(std::uint64_t number, const software_version& target) {
        gate.order({order_number(number), pool, target, 60s});
    }
    void tell(std::uint64_t number, const software_version& target, release_phase phase,
              base::duration when, std::set<software_version> refused = {},
              std::set<software_version> replaced = {}) {
        gate.told(
            {pool, order_number(number), target, phase, std::move(refused), std::move(replaced)},
            at(when));
    }
    /// @return the permission of an engine that was first listed at 0 s.
    permission of(const software_version& version, base::duration now = 1s) const {
        return gate.permits(pool, version, at(0s), at(now));
    }
    /// @return a fixture with an order for v2, whose engines are listed beside those of v1.
    static fixture ordered() {
        fixture one;
        one.order(5, v2);
        one.gate.listed(pool, {v1, v2}, at(0s));
        one.gate.confirmed(at(1s));
        return one;
    }
};

constexpr auto all = permission::all;
constexpr auto canary = permission::canary;
constexpr auto none = permission::none;

}  // namespace

Test(version_gate, without_an_order_new_engines_wait_for_the_confirmation) {
    fixture one;
    one.gate.listed(pool, {v1, v2}, at(0s));
    cr_assert(one.of(v1) == all, "another engine of its version was served before");
    cr_assert(one.of(v2) == none);
    one.gate.confirmed(at(-1ms));
    cr_assert(one.of(v2) == none);
    one.gate.confirmed(at(0s));
    cr_assert(one.of(v2) == all, "an ordinary replacement");
    one.gate.confirmed(at(-5s));
    cr_assert(one.of(v2) == all, "an older confirmation takes nothing back");
}

Test(version_gate, an_ordinary_replacement_needs_no_list) {
    version_gate gate;
    cr_assert(gate.permits(pool, v1, at(0s), at(1s)) == none);
    gate.confirmed(at(0s));
    cr_assert(gate.permits(pool, v1, at(0s), at(1s)) == all);
    cr_assert(gate.permits(pool, v1, at(1s), at(1s)) == none);
}

Test(version_gate, at_a_start_a_single_version_is_served_at_once) {
    version_gate gate;
    gate.listed(pool, {v1}, at(0s));
    cr_assert(gate.permits(pool, v1, at(0s), at(0s)) == all);
    gate.listed(pool, {v1, v2}, at(1s));
    cr_assert(gate.permits(pool, v1, at(0s), at(1s)) == all);
    cr_assert(gate.permits(pool, v2, at(1s), at(1s)) == none);
}

Test(version_gate, at_a_start_several_versions_wait_for_the_confirmation) {
    version_gate gate;
    gate.listed(pool, {v1, v2}, at(0s));
    cr_assert(gate.permits(pool, v1, at(0s), at(0s)) == none);
    gate.order({order_number(5), pool, v2, 60s});
    gate.confirmed(at(1s));
    cr_assert(gate.permits(pool, v1, at(0s), at(1s)) == all);
    cr_assert(gate.permits(pool, v2, at(0s), at(1s)) == none);
}

Test(version_gate, the_target_gets_nothing_until_a_notice) {
    const fixture one = fixture::ordered();
    cr_assert(one.of(v1) == all);
    cr_assert(one.of(v2) == none);
    cr_assert(one.gate.under_way(pool));
    cr_assert_not(one.gate.phase_of(pool).has_value());
}

Test(version_gate, a_trial_ends_two_seconds_after_its_notice) {
    fixture one = fixture::ordered();
    one.tell(5, v2, release_phase::trial, 2s);
    cr_assert(one.of(v2, 2s) == canary);
    cr_assert(one.of(v2, 3999ms) == canary);
    cr_assert(one.of(v2, 4s) == none);
    one.tell(5, v2, release_phase::trial, 5s);
    cr_assert(one.of(v2, 5s) == canary);
    cr_assert(one.of(v1, 5s) == all);
}

Test(version_gate, a_router_that_found_the_version_bad_stops_until_promoted) {
    fixture one = fixture::ordered();
    one.tell(5, v2, release_phase::trial, 2s);
    one.gate.stop(pool);
    one.tell(5, v2, release_phase::trial, 3s);
    cr_assert(one.of(v2, 3s) == none);
    one.tell(5, v2, release_phase::promoted, 4s, {}, {v1});
    cr_assert(one.of(v2, 4s) == all);
    one.order(6, v3);
    one.tell(6, v3, release_phase::trial, 5s, {v2});
    cr_assert(one.of(v3, 5s) == canary, "the stop is part of that order only");
}

Test(version_gate, promoted_and_completed_exclude_replaced_versions) {
    fixture one = fixture::ordered();
    one.tell(5, v2, release_phase::promoted, 2s, {}, {v1});
    cr_assert(one.of(v2, 60s) == all, "no grant that ends");
    cr_assert(one.of(v1, 60s) == none);
    cr_assert(one.gate.under_way(pool));
    one.tell(5, v2, release_phase::completed, 3s, {}, {v1});
    cr_assert(one.of(v2) == all);
    cr_assert(one.of(v1) == none);
    cr_assert_not(one.gate.under_way(pool));
}

Test(version_gate, a_roll_back_after_the_promotion_readmits_the_old_version) {
    fixture one = fixture::ordered();
    one.tell(5, v2, release_phase::promoted, 2s, {}, {v1});
    one.tell(5, v2, release_phase::rolled_back, 3s, {v2});
    cr_assert(one.of(v1) == all);
    cr_assert(one.of(v2) == none);
    cr_assert_not(one.gate.under_way(pool));
}

Test(version_gate, late_and_repeated_notices_change_nothing) {
    fixture one = fixture::ordered();
    one.tell(5, v2, release_phase::rolled_back, 2s, {v2});
    one.tell(5, v2, release_phase::trial, 3s);
    one.tell(5, v2, release_phase::promoted, 3s, {}, {v1});
    one.tell(4, v3, release_phase::trial, 3s);
    cr_assert(one.of(v2, 3s) == none);
    cr_assert(one.of(v1, 3s) == all);
    one.order(5, v2);
    one.order(4, v3);
    cr_assert(one.of(v2, 3s) == none, "the order repeated under its number is no new one");
    cr_assert(one.gate.order_of(pool)->number == order_number(5));
}

Test(version_gate, completed_overrides_a_roll_back_announced_before_it_was_written) {
    fixture one = fixture::ordered();
    one.tell(5, v2, release_phase::rolled_back, 2s, {v2});
    one.tell(5, v2, release_phase::completed, 3s, {}, {v1});
    one.tell(5, v2, release_phase::rolled_back, 4s, {v2});
    cr_assert(one.of(v2, 4s) == all);
    cr_assert(one.of(v1, 4s) == none);
}

Test(version_gate, a_version_rolled_back_stays_refused_under_the_next_order) {
    fixture one = fixture::ordered();
    one.tell(5, v2, release_phase::rolled_back, 2s, {v2});
    one.order(6, v3);
    cr_assert(one.of(v2) == none, "before the next order was told of");
    one.tell(6, v3, release_phase::trial, 3s, {v2});
    cr_assert(one.of(v2, 3s) == none);
    cr_assert(one.of(v3, 3s) == canary);
}

Test(version_gate, a_version_rolled_back_may_be_ordered_again) {
    fixture one = fixture::ordered();
    one.tell(5, v2, release_phase::rolled_back, 2s, {v2});
    one.order(6, v2);
    cr_assert(one.of(v2) == none);
    one.tell(6, v2, release_phase::trial, 3s);
    cr_assert(one.of(v2, 3s) == canary);
}

Test(version_gate, the_target_of_a_superseded_trial_gets_nothing) {
    fixture one = fixture::ordered();
    one.tell(5, v2, release_phase::trial, 2s);
    one.order(6, v3);
    cr_assert(one.of(v2, 2s) == none);
    one.tell(5, v2, release_phase::trial, 3s);
    cr_assert(one.of(v2, 3s) == none);
    cr_assert(one.of(v1, 3s) == all);
}

Test(version_gate, a_superseded_promotion_holds_until_the_next_order_is_announced) {
    fixture one = fixture::ordered();
    one.tell(5, v2, release_phase::promoted, 2s, {}, {v1});
    one.order(6, v3);
    cr_assert(one.of(v2, 2s) == all, "the pool isn't lost meanwhile");
    cr_assert(one.of(v1, 2s) == none);
    one.tell(6, v3, release_phase::trial, 3s, {v2});
    cr_assert(one.of(v2, 3s) == none);
    cr_assert(one.of(v1, 3s) == all);
}

Test(version_gate, a_notice_of_an_order_not_read_yet_grants_no_trial) {
    fixture one;
    one.gate.listed(pool, {v1, v2}, at(0s));
    one.tell(5, v2, release_phase::trial, 1s);
    one.gate.confirmed(at(2s));
    cr_assert(one.of(v2, 2s) == none);
    one.order(5, v2);
    cr_assert(one.of(v2, 2s) == canary);
}

Test(version_gate, a_final_notice_of_an_order_not_read_yet_counts) {
    fixture one;
    one.gate.listed(pool, {v1, v2}, at(0s));
    one.tell(5, v2, release_phase::completed, 1s, {}, {v1});
    cr_assert(one.of(v2, 2s) == all);
    cr_assert(one.of(v1, 2s) == none);
}

Test(version_gate, the_version_in_force_is_still_served_when_ordered_again) {
    fixture one = fixture::ordered();
    one.tell(5, v2, release_phase::completed, 2s, {}, {v1});
    one.gate.listed(pool, {v2}, at(3s));
    one.order(6, v2);
    cr_assert(one.of(v2, 4s) == all);
    one.tell(6, v2, release_phase::trial, 4s);
    cr_assert(one.of(v2, 60s) == all);
    one.tell(6, v2, release_phase::completed, 5s);
    cr_assert(one.of(v2, 60s) == all);
}

Test(version_gate, a_version_replaced_after_its_completion_counts_as_new) {
    fixture one = fixture::ordered();
    one.tell(5, v2, release_phase::completed, 2s, {}, {v1});
    one.order(6, v1);
    one.tell(6, v1, release_phase::completed, 3s, {}, {v2});
    one.gate.listed(pool, {v1}, at(4s));
    one.order(7, v2);
    one.gate.listed(pool, {v1, v2}, at(5s));
    one.gate.confirmed(at(6s));
    cr_assert(one.of(v2, 6s) == none);
    one.tell(7, v2, release_phase::trial, 7s);
    cr_assert(one.of(v2, 7s) == canary);
    cr_assert(one.of(v1, 7s) == all);
}

Test(version_gate, a_router_started_long_after_the_release_serves_the_existing_version) {
    version_gate gate;
    gate.order({order_number(5), pool, v2, 60s});
    gate.listed(pool, {v2}, at(0s));
    cr_assert(gate.permits(pool, v2, at(0s), at(0s)) == all);
    cr_assert(gate.under_way(pool), "the router sends reports");
    gate.told({pool, order_number(5), v2, release_phase::rolled_back, {v2}, {}}, at(1s));
    cr_assert(gate.permits(pool, v2, at(0s), at(1s)) == none);
}

Test(version_gate, a_router_started_in_the_trial_waits_for_its_grant) {
    version_gate gate;
    gate.order({order_number(5), pool, v2, 60s});
    gate.listed(pool, {v1, v2}, at(0s));
    gate.confirmed(at(1s));
    cr_assert(gate.permits(pool, v2, at(0s), at(1s)) == none);
    gate.listed(pool, {v2}, at(2s));
    cr_assert(gate.permits(pool, v2, at(0s), at(3s)) == none, "another version was there");
}

Test(version_gate, the_target_is_not_in_force_because_all_old_engines_crashed) {
    fixture one = fixture::ordered();
    one.tell(5, v2, release_phase::trial, 2s);
    one.gate.listed(pool, {v2}, at(3s));
    one.gate.confirmed(at(4s));
    cr_assert(one.of(v2, 3s) == canary);
    cr_assert(one.of(v2, 5s) == none);
    one.gate.listed(pool, {v1, v2}, at(6s));
    cr_assert(one.gate.permits(pool, v1, at(6s), at(6s)) == all, "at once when they are back");
}

Test(version_gate, the_target_is_not_in_force_where_another_version_is_too) {
    fixture one;
    one.gate.listed(pool, {v1, v2}, at(0s));
    one.gate.confirmed(at(1s));
    one.order(5, v2);
    cr_assert(one.of(v2, 2s) == none);
    one.tell(5, v2, release_phase::trial, 2s);
    cr_assert(one.of(v2, 2s) == canary);
}

Test(version_gate, an_order_for_the_version_in_force_ends_a_trial) {
    fixture one = fixture::ordered();
    one.tell(5, v2, release_phase::trial, 2s);
    one.order(6, v1);
    cr_assert(one.of(v1, 2s) == all);
    cr_assert(one.of(v2, 2s) == none);
    one.tell(6, v1, release_phase::completed, 3s, {v2});
    cr_assert(one.of(v1, 3s) == all);
    cr_assert(one.of(v2, 3s) == none);
}

Test(version_gate, pools_are_independent) {
    fixture one = fixture::ordered();
    const base::pool_name other("q");
    one.gate.listed(other, {v2}, at(0s));
    one.tell(5, v2, release_phase::rolled_back, 1s, {v2});
    cr_assert(one.gate.permits(other, v2, at(0s), at(1s)) == all);
    cr_assert(one.gate.order_of(other) == nullptr);
    cr_assert_not(one.gate.under_way(other));
    one.gate.stop(other);
    cr_assert_eq(one.gate.orders().size(), 1U);
}
