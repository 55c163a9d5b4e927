/// Token buckets, tenant limits and retry budgets never admit more than their limits.
#include "ferryroad/core/admission/retry_budget.hpp"
#include "ferryroad/core/admission/retry_window.hpp"
#include "ferryroad/core/admission/tenant_limiter.hpp"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cstdint>

namespace {

using namespace ferryroad;
using namespace ferryroad::core::admission;
using namespace std::chrono_literals;

const base::tenant_name tenant("alpha");

base::monotonic_time at(base::duration since_start) {
    return base::monotonic_time(1h + since_start);
}

}  // namespace

Test(tenant_limiter, refusal_says_when_the_next_token_comes) {
    tenant_limiter limiter;
    const tenant_share share{.requests_per_second = 2, .request_burst = 1};
    cr_assert(limiter.admit(tenant, share, at(0s)).verdict == limit_verdict::admitted);
    const auto refused = limiter.admit(tenant, share, at(100ms));
    cr_assert(refused.verdict == limit_verdict::over_rate);
    cr_assert_float_eq(base::to_seconds(refused.retry_after), 0.4, 1e-6);
    cr_assert(limiter.admit(tenant, share, at(500ms)).verdict == limit_verdict::admitted);
}

Test(tenant_limiter, concurrency_is_bounded_and_freed) {
    tenant_limiter limiter;
    const tenant_share share{.concurrent_requests = 2};
    limiter.admit(tenant, share, at(0s));
    limiter.admit(tenant, share, at(0s));
    const auto refused = limiter.admit(tenant, share, at(0s));
    cr_assert(refused.verdict == limit_verdict::over_concurrency);
    cr_assert(refused.retry_after > 0s);
    limiter.finish(tenant, at(1s));
    cr_assert(limiter.admit(tenant, share, at(1s)).verdict == limit_verdict::admitted);
}

Test(tenant_limiter, a_refusal_for_concurrency_takes_no_token) {
    tenant_limiter limiter;
    const tenant_share share{
        .requests_per_second = 1, .request_burst = 2, .concurrent_requests = 1};
    limiter.admit(tenant, share, at(0s));
    limiter.admit(tenant, share, at(0s));
    limiter.finish(tenant, at(0s));
    cr_assert(limiter.admit(tenant, share, at(0s)).verdict == limit_verdict::admitted);
}

Test(tenant_limiter, zero_means_unlimited_and_a_change_applies_at_once) {
    tenant_limiter limiter;
    for (int request = 0; request < 100; ++request) {
        cr_assert(limiter.admit(tenant, {}, at(0s)).verdict == limit_verdict::admitted);
    }
    const tenant_share strict{.requests_per_second = 1, .request_burst = 1};
    limiter.admit(tenant, strict, at(0s));
    cr_assert(limiter.admit(tenant, strict, at(0s)).verdict == limit_verdict::over_rate);
}

Test(tenant_limiter, idle_tenants_are_forgotten_only_when_nothing_is_lost) {
    tenant_limiter limiter;
    const tenant_share share{.requests_per_second = 1, .request_burst = 1};
    limiter.admit(tenant, share, at(0s));
    limiter.finish(tenant, at(0s));
    limiter.reclaim(at(500ms));
    cr_assert_eq(limiter.size(), 1);
    limiter.reclaim(at(2s));
    cr_assert_eq(limiter.size(), 0);
}

Test(tenant_limiter, never_admits_beyond_rate_burst_and_concurrency) {
    cr_assert(rc::check("admitted <= burst + rate x time; in flight <= concurrency", [] {
        tenant_limiter limiter;
        const tenant_share share{.requests_per_second = *rc::gen::inRange(1, 50) / 10.0,
                                 .request_burst = static_cast<double>(*rc::gen::inRange(1, 10)),
                                 .concurrent_requests = *rc::gen::inRange<std::uint32_t>(0, 5)};
        base::duration elapsed{};
        std::uint32_t admitted = 0;
        std::uint32_t in_flight = 0;
        const auto steps = *rc::gen::inRange(1, 100);
        for (int step = 0; step < steps; ++step) {
            elapsed += std::chrono::milliseconds(*rc::gen::inRange(0, 400));
            if (*rc::gen::inRange(0, 3) == 0) {
                limiter.finish(tenant, at(elapsed));
                in_flight -= in_flight > 0 ? 1 : 0;
                continue;
            }
            const auto answer = limiter.admit(tenant, share, at(elapsed));
            if (answer.verdict == limit_verdict::admitted) {
                ++admitted;
                ++in_flight;
            } else {
                RC_ASSERT(answer.retry_after > 0s);
            }
            RC_ASSERT(limiter.in_flight(tenant) == in_flight);
            RC_ASSERT(share.concurrent_requests == 0 || in_flight <= share.concurrent_requests);
            RC_ASSERT(admitted <= share.request_burst +
                                      share.requests_per_second * base::to_seconds(elapsed) + 1e-3);
        }
    }));
}

Test(retry_budget, retries_are_a_share_of_successes) {
    cr_assert(rc::check("retries <= reserve + share x successes", [] {
        const double share = *rc::gen::inRange(0, 11) / 10.0;
        const double reserve = *rc::gen::inRange(0, 5);
        retry_budget budget(share, reserve);
        int successes = 0;
        int retries = 0;
        const auto steps = *rc::gen::inRange(1, 200);
        for (int step = 0; step < steps; ++step) {
            if (*rc::gen::arbitrary<bool>()) {
                budget.record_success();
                ++successes;
            } else if (budget.try_retry()) {
                ++retries;
            }
            RC_ASSERT(retries <= reserve + share * successes + 1e-9);
        }
    }));
}

Test(retry_budget, an_outage_spends_the_reserve_and_no_more) {
    retry_budget budget(0.1, 3);
    int retries = 0;
    for (int failure = 0; failure < 100; ++failure) {
        retries += budget.try_retry() ? 1 : 0;
    }
    cr_assert_eq(retries, 3);
}

Test(retry_window, retries_are_a_share_of_any_windows_requests) {
    cr_assert(rc::check("retries <= reserve + share x requests, in each window", [] {
        const double share = *rc::gen::inRange(0, 11) / 10.0;
        const double reserve = *rc::gen::inRange(0, 5);
        retry_window budget({share, reserve, 10s});
        std::vector<base::monotonic_time> requests;
        std::vector<base::monotonic_time> retries;
        base::monotonic_time now{1000s};
        const auto steps = *rc::gen::inRange(1, 300);
        for (int step = 0; step < steps; ++step) {
            now += std::chrono::milliseconds(*rc::gen::inRange(0, 400));
            if (*rc::gen::arbitrary<bool>()) {
                budget.record_request(now);
                requests.push_back(now);
            } else if (budget.try_retry(now)) {
                retries.push_back(now);
                const auto within = [&](base::monotonic_time at) { return now - at < 10s; };
                const auto retry_count = std::count_if(retries.begin(), retries.end(), within);
                const auto request_count = std::count_if(requests.begin(), requests.end(), within);
                RC_ASSERT(static_cast<double>(retry_count) <=
                          reserve + share * static_cast<double>(request_count) + 1e-9);
            }
        }
    }));
}

/// One of 83 routers gets 6.5 requests per second for a pool. When the load orders of a weights
/// rollout reach a sixth of the engines, several requests are refused within a second, once or
/// twice each. The budget must allow these retries.
Test(retry_window, a_rollouts_refusals_in_a_row_are_within_a_quiet_windows_share) {
    retry_window budget({0.15, 1.5, 10s});
    base::monotonic_time now{1000s};
    for (int request = 0; request < 65; ++request) {
        now += 150ms;
        budget.record_request(now);
    }
    for (int refusal = 0; refusal < 8; ++refusal) {
        now += 100ms;
        cr_assert(budget.try_retry(now), "refusal %d", refusal);
    }
    budget.give_back();
    cr_assert(budget.try_retry(now));
    cr_assert_not(retry_window({0.15, 0, 10s}).try_retry(now));
}
