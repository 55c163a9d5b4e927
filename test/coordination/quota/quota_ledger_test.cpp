/// Tests of what one ledger grants to one or several routers, and of the fallback shares.
#include "ferryroad/coordination/quota/quota_ledger.hpp"

#include "ferryroad/base/random.hpp"
#include "ferryroad/coordination/quota/equal_shares.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <queue>
#include <string>
#include <vector>

namespace {

using namespace ferryroad;
using namespace ferryroad::coordination::quota;
using namespace std::chrono_literals;

const base::tenant_name tenant("t");
const base::router_name first("r1");

base::monotonic_time at(base::duration since_start) {
    return base::monotonic_time(1h + since_start);
}

quota_ask ask_for(double amount, std::uint32_t known_askers = 0) {
    return {tenant, amount, {base::revision(1), 1000, 500}, known_askers};
}

base::router_name router(int number) {
    return base::router_name("r" + std::to_string(number));
}

/// @return a ledger past its startup period.
quota_ledger ledger_after_startup() {
    return quota_ledger(at(-1min));
}

}  // namespace

Test(quota_ledger, grants_the_burst_and_then_the_rate) {
    quota_ledger ledger = ledger_after_startup();
    cr_assert(ledger.decide(first, ask_for(500), at(0s)).granted);
    cr_assert_not(ledger.decide(first, ask_for(1), at(0s)).granted);
    cr_assert(ledger.decide(first, ask_for(90), at(100ms)).granted);
    cr_assert(ledger.decide(first, ask_for(10), at(100ms)).granted);
    cr_assert_not(ledger.decide(first, ask_for(1), at(100ms)).granted);
}

Test(quota_ledger, a_request_larger_than_the_burst_is_granted_and_paid_for) {
    quota_ledger ledger = ledger_after_startup();
    cr_assert(ledger.decide(first, ask_for(1500), at(0s)).granted);
    const auto refused = ledger.decide(first, ask_for(1), at(0s));
    cr_assert_not(refused.granted);
    cr_assert(refused.retry_after == 1s, "1,000 are owed, at 1,000 a second");
    cr_assert(ledger.decide(first, ask_for(1), at(1001ms)).granted);
}

Test(quota_ledger, refused_requests_retry_one_after_the_other) {
    quota_ledger ledger = ledger_after_startup();
    ledger.decide(first, ask_for(600), at(0s));
    const auto one = ledger.decide(first, ask_for(400), at(0s));
    const auto other = ledger.decide(first, ask_for(400), at(0s));
    cr_assert(one.retry_after == 100ms);
    cr_assert(other.retry_after == 500ms, "the first one's 400 are left by then");
}

/// The limit of a tenant is permanently lowered to a third of its load. Each caller retries once
/// after the delay that it was told, or after 5 s if the delay is longer. The full rate must be
/// granted, and no caller that is granted may have waited for seconds.
Test(quota_ledger, retries_below_a_lowered_limit_are_granted_soon_or_not_at_all) {
    struct coming {
        base::duration at{};
        base::duration since{};
        bool first = true;
    };
    const auto later = [](const coming& a, const coming& b) { return a.at > b.at; };
    std::priority_queue<coming, std::vector<coming>, decltype(later)> callers(later);
    base::seeded_random random(1);
    for (base::duration time{}; time < 30s;
         time += std::chrono::microseconds(random.below(20000))) {
        callers.push({time, time, true});  // 3,000 a second, of which 1,000 are allowed.
    }
    quota_ledger ledger = ledger_after_startup();
    double granted = 0;
    base::duration longest{};
    while (!callers.empty()) {
        const coming one = callers.top();
        callers.pop();
        const auto verdict = ledger.decide(first, ask_for(30), at(one.at));
        if (verdict.granted) {
            granted += one.at < 30s ? 30 : 0;
            longest = std::max(longest, one.at - one.since);
        } else if (one.first) {
            const base::duration wait = std::min<base::duration>(verdict.retry_after, 5s);
            callers.push({one.at + wait, one.since, false});
        }
    }
    cr_assert_geq(granted, 0.99 * (500 + 30 * 1000), "%f: nothing of the limit is lost", granted);
    cr_assert_leq(base::to_milliseconds(longest), 600);
}

Test(quota_ledger, retry_delays_never_exceed_what_callers_wait) {
    quota_ledger ledger = ledger_after_startup();
    for (int index = 0; index < 1000; ++index) {
        const auto verdict = ledger.decide(first, ask_for(400), at(0s));
        cr_assert(verdict.retry_after <= 10s);
    }
}

Test(quota_ledger, the_limit_of_the_newest_configuration_holds) {
    quota_ledger ledger = ledger_after_startup();
    ledger.decide(first, ask_for(500), at(0s));
    quota_ask lowered = ask_for(1);
    lowered.limit = {base::revision(2), 10, 5};
    cr_assert_not(ledger.decide(first, lowered, at(0s)).granted);
    // A router that doesn't know the new limit yet asks with the old one.
    cr_assert(ledger.decide(first, ask_for(9), at(1s)).granted);
    cr_assert_not(ledger.decide(first, ask_for(500), at(1s)).granted);
}

Test(quota_ledger, a_ledger_that_takes_over_grants_no_burst) {
    quota_ledger ledger = ledger_after_startup();
    cr_assert(ledger.decide(first, ask_for(100, 1), at(0s)).granted);
    cr_assert_not(ledger.decide(first, ask_for(1, 1), at(0s)).granted);
}

Test(quota_ledger, a_new_process_grants_only_the_parts_of_the_asking_routers) {
    quota_ledger ledger(at(0s));
    ledger.expect_routers(10);
    cr_assert(ledger.decide(first, ask_for(10), at(0s)).granted);
    // One of ten routers has asked, so a tenth of the rate is granted.
    cr_assert(ledger.decide(first, ask_for(100), at(1s)).granted);
    cr_assert_not(ledger.decide(first, ask_for(1), at(1s)).granted);
}

Test(quota_ledger, the_part_of_routers_that_ask_elsewhere_is_not_granted) {
    quota_ledger ledger = ledger_after_startup();
    // Half of the ten routers that used to ask another ledger now ask this one.
    double granted = 0;
    for (int step = 0; step < 1000; ++step) {
        for (int number = 0; number < 5; ++number) {
            const auto verdict = ledger.decide(router(number), ask_for(10, 10), at(step * 10ms));
            granted += verdict.granted ? 10 : 0;
        }
    }
    cr_assert_lt(granted, 0.55 * 10 * 1000);
    cr_assert_gt(granted, 0.45 * 10 * 1000);
}

Test(quota_ledger, the_part_of_missing_routers_is_not_granted) {
    quota_ledger ledger = ledger_after_startup();
    const auto run = [&](int routers, base::duration from, base::duration to) {
        double granted = 0;
        for (base::duration now = from; now < to; now += 10ms) {
            for (int number = 0; number < routers; ++number) {
                granted += ledger.decide(router(number), ask_for(10), at(now)).granted ? 10 : 0;
            }
        }
        return granted;
    };
    run(10, 0s, 5s);
    run(5, 5s, 7s);  // Until the other five count as missing.
    const double granted = run(5, 7s, 12s);
    cr_assert_lt(granted, 0.55 * 5 * 1000);
    cr_assert_gt(granted, 0.45 * 5 * 1000);
}

Test(quota_ledger, reports_the_number_of_askers_and_removes_idle_tenants) {
    quota_ledger ledger = ledger_after_startup();
    ledger.decide(router(1), ask_for(1), at(0s));
    cr_assert_eq(ledger.decide(router(2), ask_for(1), at(0s)).askers, 2);
    ledger.reclaim(at(30s));
    cr_assert_eq(ledger.size(), 1);
    ledger.reclaim(at(61s));
    cr_assert_eq(ledger.size(), 0);
}

Test(quota_ledger, a_stopped_clock_grants_nothing_more) {
    quota_ledger ledger = ledger_after_startup();
    ledger.decide(first, ask_for(500), at(0s));
    for (int index = 0; index < 100; ++index) {
        cr_assert_not(ledger.decide(first, ask_for(1), at(0s)).granted);
    }
}

Test(quota_ledger, a_limit_without_a_burst_serves_its_rate) {
    quota_ledger ledger = ledger_after_startup();
    int granted = 0;
    for (int step = 0; step < 100; ++step) {
        quota_ask one = ask_for(10);
        one.limit.burst = 0;
        granted += ledger.decide(first, one, at(step * 10ms)).granted ? 1 : 0;
    }
    cr_assert_eq(granted, 100);
}

Test(quota_ledger, uncounted_requests_are_owed_up_to_a_bound) {
    quota_ledger ledger = ledger_after_startup();
    quota_ask one = ask_for(1);
    one.uncounted = 1500;
    cr_assert_not(ledger.decide(first, one, at(0s)).granted, "the burst is 500");
    cr_assert_not(ledger.decide(first, ask_for(1), at(999ms)).granted);
    cr_assert(ledger.decide(first, ask_for(1), at(1001ms)).granted);
    one.uncounted = 100'000;
    cr_assert_not(ledger.decide(first, one, at(2s)).granted);
    cr_assert_not(ledger.decide(first, ask_for(1), at(4900ms)).granted);
    cr_assert(ledger.decide(first, ask_for(1), at(5001ms)).granted, "owes 3 s at most");
}

Test(quota_ledger, the_limit_learned_last_is_in_force) {
    quota_ledger ledger = ledger_after_startup();
    quota_ask lower = ask_for(100);
    lower.limit.per_second = 10;
    lower.limit.burst = 0;
    cr_assert(ledger.decide(first, lower, at(0s)).granted);
    quota_ask older = ask_for(100);
    older.limit_age = 5s;
    cr_assert_not(ledger.decide(first, older, at(1s)).granted, "100 owed, 10 a second");
    cr_assert_not(ledger.decide(first, older, at(2s)).granted);
    cr_assert_not(ledger.decide(first, ask_for(100), at(3s)).granted, "learned just now");
    cr_assert(ledger.decide(first, older, at(4s)).granted);
}

Test(quota_ledger, subjects_of_a_kind_are_counted_apart) {
    quota_ledger ledger = ledger_after_startup();
    quota_ask engine = ask_for(500);
    engine.subject = base::engine_name(tenant.value);
    cr_assert(ledger.decide(first, ask_for(500), at(0s)).granted);
    cr_assert(ledger.decide(first, engine, at(0s)).granted);
    cr_assert_eq(ledger.size(), 2);
}

/// Each of many routers has a share that is worth a request only after minutes.
Test(equal_shares, routers_that_start_together_do_not_all_send_to_a_limited_engine) {
    constexpr std::size_t routers = 100;
    base::seeded_random random(1);
    quota_ask ask{base::engine_name("e"), 1, {base::revision(), 1, 0.5}, 0};
    std::vector<equal_shares> fleet(routers);
    int granted = 0;
    for (base::duration passed{}; passed < 100s; passed += 100ms) {
        for (equal_shares& one : fleet) {
            granted += one.decide(ask, routers, at(passed), random).granted ? 1 : 0;
        }
        const double expected = base::to_seconds(passed) + 1;
        cr_assert_leq(granted, expected + 20, "%d after %f s", granted, expected - 1);
    }
    cr_assert_geq(granted, 90);
}

Test(equal_shares, each_router_keeps_its_part) {
    equal_shares shares;
    base::seeded_random random(1);
    cr_assert(shares.decide(ask_for(10), 10, at(0s), random).granted,
              "a tenth of a second's worth");
    const auto refused = shares.decide(ask_for(10), 10, at(0s), random);
    cr_assert_not(refused.granted);
    cr_assert_eq(refused.retry_after.count(), 0, "nothing is owed");
    cr_assert(shares.decide(ask_for(100), 10, at(1s), random).granted);
    cr_assert_not(shares.decide(ask_for(1), 10, at(1s), random).granted);
    shares.reclaim(at(1s));
    cr_assert_eq(shares.size(), 1);
    shares.reclaim(at(3s));
    cr_assert_eq(shares.size(), 0);
}
