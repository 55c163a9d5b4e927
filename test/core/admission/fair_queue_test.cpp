/// Admission queue: each request ends exactly once, tenants share by weight, no request starts
/// after its deadline, and low priorities are not starved.
#include "ferryroad/core/admission/fair_queue.hpp"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace {

using namespace ferryroad;
using namespace ferryroad::core::admission;
using namespace std::chrono_literals;

base::monotonic_time at(base::duration since_start) {
    return base::monotonic_time(since_start);
}

waiting_request request_of(const std::string& id, const std::string& tenant, level urgency,
                           base::duration start_by = 1h) {
    return {base::request_id(id), base::tenant_name(tenant), 1.0, urgency, 1.0, at(start_by)};
}

std::string start_one(fair_queue& queue, base::duration now) {
    const auto started = queue.start_next(at(now));
    if (!started) {
        return "none";
    }
    queue.finish();
    return started->value;
}

/// A queue with a limit of one request, which is running, so that every further request waits.
fair_queue busy_queue() {
    fair_queue queue(1);
    queue.arrive(request_of("running", "other", level::high), at(0s));
    return queue;
}

}  // namespace

Test(fair_queue, a_request_starts_at_once_while_capacity_is_free) {
    fair_queue queue(1);
    cr_assert(queue.arrive(request_of("1", "a", level::low), at(0s)).verdict ==
              queue_verdict::started);
    cr_assert(queue.arrive(request_of("2", "a", level::low), at(0s)).verdict ==
              queue_verdict::queued);
    cr_assert(!queue.start_next(at(0s)).has_value());
    queue.finish();
    cr_assert_str_eq(queue.start_next(at(0s))->value.c_str(), "2");
}

Test(fair_queue, higher_level_first_then_tenants_in_turn) {
    fair_queue queue = busy_queue();
    queue.arrive(request_of("low", "a", level::low), at(0s));
    queue.arrive(request_of("a1", "a", level::normal), at(0s));
    queue.arrive(request_of("a2", "a", level::normal), at(0s));
    queue.arrive(request_of("b1", "b", level::normal), at(0s));
    queue.arrive(request_of("high", "a", level::high), at(0s));
    queue.finish();
    std::string order;
    for (int start = 0; start < 5; ++start) {
        order += start_one(queue, 1s) + " ";
    }
    cr_assert_str_eq(order.c_str(), "high a1 b1 a2 low ");
}

Test(fair_queue, late_requests_expire_and_are_never_started) {
    fair_queue queue = busy_queue();
    queue.arrive(request_of("soon", "a", level::normal, 1s), at(0s));
    queue.arrive(request_of("later", "a", level::normal, 5s), at(0s));
    cr_assert(queue.next_expiry() == at(1s));
    queue.finish();
    cr_assert_str_eq(start_one(queue, 2s).c_str(), "later");
    const auto expired = queue.take_expired(at(2s));
    cr_assert_eq(expired.size(), 1);
    cr_assert_str_eq(expired.front().value.c_str(), "soon");
    cr_assert(queue.take_expired(at(2s)).empty());
}

Test(fair_queue, refuses_at_once_what_the_estimate_says_is_too_late) {
    fair_queue queue = busy_queue();
    for (int request = 0; request < 50; ++request) {
        queue.arrive(request_of("r" + std::to_string(request), "a", level::normal), at(0s));
    }
    queue.finish();
    // The measured rate is one start per second, and 40 requests still wait.
    for (int start = 0; start < 10; ++start) {
        start_one(queue, std::chrono::seconds(start));
    }
    const auto refused = queue.arrive(request_of("x", "a", level::normal, 20s), at(9s));
    cr_assert(refused.verdict == queue_verdict::refused_deadline);
    cr_assert(refused.retry_after > 0s);
    cr_assert_float_eq(base::to_seconds(refused.expected_wait), 40, 1);
    // Another tenant's request starts sooner, and one of a higher level starts at once.
    cr_assert(queue.arrive(request_of("y", "b", level::normal, 20s), at(9s)).verdict ==
              queue_verdict::queued);
    cr_assert(queue.arrive(request_of("z", "a", level::high, 10s), at(9s)).verdict ==
              queue_verdict::queued);
}

Test(fair_queue, length_is_bounded) {
    admission_tunables tunables;
    tunables.queue_length = 2;
    fair_queue queue(0, tunables);
    queue.arrive(request_of("1", "a", level::normal), at(0s));
    queue.arrive(request_of("2", "a", level::normal), at(0s));
    const auto refused = queue.arrive(request_of("3", "a", level::normal), at(0s));
    cr_assert(refused.verdict == queue_verdict::refused_full);
    cr_assert(refused.retry_after > 0s);
}

Test(fair_queue, cancelled_requests_cost_their_tenant_nothing) {
    fair_queue queue = busy_queue();
    queue.arrive(request_of("gone", "a", level::normal), at(0s));
    queue.arrive(request_of("a1", "a", level::normal), at(0s));
    queue.arrive(request_of("b1", "b", level::normal), at(0s));
    cr_assert(queue.cancel(base::request_id("gone")));
    cr_assert(!queue.cancel(base::request_id("gone")));
    queue.finish();
    cr_assert_str_eq(start_one(queue, 1s).c_str(), "a1");
    cr_assert_str_eq(start_one(queue, 1s).c_str(), "b1");
}

Test(fair_queue, low_priority_is_not_starved) {
    cr_assert(rc::check("an aged request starts within its share of starts", [] {
        const admission_tunables tunables;
        fair_queue queue(1, tunables);
        queue.arrive(request_of("running", "other", level::high), at(0s));
        const auto low_count = *rc::gen::inRange<std::size_t>(1, 10);
        for (std::size_t low = 0; low < low_count; ++low) {
            queue.arrive(request_of("low" + std::to_string(low), "a", level::low), at(0s));
        }
        queue.finish();
        // High-priority requests keep arriving.
        base::duration now = tunables.aging_bound + 1ms;
        std::size_t low_started = 0;
        const std::size_t starts = low_count * tunables.aged_start_every;
        for (std::size_t start = 0; start < starts; ++start) {
            queue.arrive(request_of("high" + std::to_string(start), "b", level::high), at(now));
            low_started += start_one(queue, now).starts_with("low") ? 1 : 0;
            now += 1ms;
        }
        RC_ASSERT(low_started == low_count);
    }));
}

Test(fair_queue, tenants_get_starts_by_weight) {
    cr_assert(rc::check("backlogged tenants differ by one request's worth at most", [] {
        admission_tunables tunables;
        tunables.aging_bound = 24h;
        fair_queue queue(1, tunables);
        queue.arrive(request_of("running", "other", level::normal), at(0s));
        std::map<std::string, std::string> tenant_of;
        std::map<std::string, double> work_of;
        std::map<std::string, double> weights{{"a", 1.0 * *rc::gen::inRange(1, 6)},
                                              {"b", 1.0 * *rc::gen::inRange(1, 6)}};
        constexpr double largest_work = 8;
        for (int number = 0; number < 100; ++number) {
            for (const auto& [tenant, weight] : weights) {
                auto request = request_of(tenant + std::to_string(number), tenant, level::normal);
                request.weight = weight;
                request.work = *rc::gen::inRange(1, 1 + static_cast<int>(largest_work));
                tenant_of[request.request.value] = tenant;
                work_of[request.request.value] = request.work;
                queue.arrive(request, at(0s));
            }
        }
        queue.finish();
        std::map<std::string, double> served;
        for (int start = 0; start < 100; ++start) {
            const std::string started = start_one(queue, 1s);
            served[tenant_of.at(started)] += work_of.at(started) / weights[tenant_of.at(started)];
            const double bound = largest_work / weights["a"] + largest_work / weights["b"];
            RC_ASSERT(std::abs(served["a"] - served["b"]) <= bound + 1e-9);
        }
    }));
}

Test(fair_queue, every_request_ends_exactly_once) {
    cr_assert(rc::check("started, refused, expired or cancelled: one of them, once", [] {
        const auto max_running = *rc::gen::inRange<std::size_t>(1, 4);
        admission_tunables tunables;
        tunables.queue_length = 12;
        tunables.aging_bound = 300ms;
        fair_queue queue(max_running, tunables);
        std::map<std::string, base::monotonic_time> open;
        std::vector<std::string> all;
        base::duration now{};
        std::size_t running = 0;
        const auto end = [&](const base::request_id& request) {
            RC_ASSERT(open.erase(request.value) == 1U);
        };
        const auto start_all = [&] {
            while (const auto started = queue.start_next(at(now))) {
                RC_ASSERT(at(now) <= open.at(started->value));
                end(*started);
                ++running;
            }
        };
        const auto steps = *rc::gen::inRange(1, 120);
        for (int step = 0; step < steps; ++step) {
            now += std::chrono::milliseconds(*rc::gen::inRange(0, 100));
            switch (*rc::gen::inRange(0, 6)) {
                case 0:
                    running -= running > 0 ? 1 : 0;
                    queue.finish();
                    break;
                case 1:
                    for (const auto& expired : queue.take_expired(at(now))) {
                        RC_ASSERT(open.at(expired.value) < at(now));
                        end(expired);
                    }
                    break;
                case 2:
                    if (!all.empty()) {
                        const base::request_id gone(*rc::gen::elementOf(all));
                        const bool waited = open.contains(gone.value);
                        RC_ASSERT(queue.cancel(gone) == waited);
                        open.erase(gone.value);
                    }
                    break;
                default: {
                    const auto urgency = *rc::gen::element(level::low, level::normal, level::high);
                    const auto time_to_start = std::chrono::milliseconds(*rc::gen::inRange(0, 800));
                    auto request = request_of(std::to_string(step),
                                              *rc::gen::element<std::string>("a", "b", "c"),
                                              urgency, now + time_to_start);
                    request.work = *rc::gen::inRange(1, 5);
                    const auto answer = queue.arrive(request, at(now));
                    all.push_back(request.request.value);
                    if (answer.verdict == queue_verdict::queued) {
                        open.emplace(request.request.value, request.start_by);
                    }
                    running += answer.verdict == queue_verdict::started ? 1 : 0;
                }
            }
            start_all();
            RC_ASSERT(queue.waiting() == open.size());
            RC_ASSERT(queue.running() == running);
            RC_ASSERT(running <= max_running);
        }
    }));
}
