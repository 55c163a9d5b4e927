/// Tests the order in which queued requests start, and that cancelled requests free their places.
#include "bench/simulation/virtual_scheduler.hpp"
#include "test/router/request/fake_router.hpp"

#include <boost/asio/experimental/awaitable_operators.hpp>
#include <criterion/criterion.h>

using namespace ferryroad;
using namespace std::chrono_literals;

namespace {

/// A pool of one engine that runs one request at a time.
struct single_place_pool {
    bench::simulation::virtual_time time{1};
    bench::simulation::virtual_scheduler scheduler{time, 1};
    test::fake_directory directory;
    router::single_router_quota quota;
    router::fair_admission admission{scheduler, directory, quota, {1}};
    std::vector<std::string> started;
    std::vector<std::string> refused;

    single_place_pool() { directory.engines = {base::engine_name("e1")}; }
    ~single_place_pool() { scheduler.kill(); }

    runtime::task<void> hold(router::admission_query query, base::duration work) {
        const std::string name = query.request.value;
        auto admitted = co_await admission.admit(std::move(query));
        if (admitted.has_error()) {
            refused.push_back(name);
            co_return;
        }
        started.push_back(name);
        co_await scheduler.sleep_for(work);
    }
    runtime::task<void> hold_until_cancelled(router::admission_query query, base::duration work,
                                             base::duration cancel_after) {
        using boost::asio::experimental::awaitable_operators::operator||;
        co_await (hold(std::move(query), work) || scheduler.sleep_for(cancel_after));
    }
    void arrive(const char* name, router::admission_query query, base::duration work,
                base::duration cancel_after = 1h) {
        query.request = base::request_id(name);
        query.pool = base::pool_name("models");
        query.deadline = scheduler.now() + 30s;
        scheduler.spawn("arrival", hold_until_cancelled(std::move(query), work, cancel_after));
        time.run_until(time.now() + 1ms);
    }
    std::string order() {
        time.run_until(time.now() + 2h);
        std::string names;
        for (const std::string& name : started) {
            names += name + " ";
        }
        return names;
    }
};

router::admission_query query_of(
    const char* tenant, catalog::request_priority priority = catalog::request_priority::normal) {
    router::admission_query query;
    query.tenant = base::tenant_name(tenant);
    query.priority = priority;
    return query;
}

}  // namespace

Test(fair_admission, a_higher_priority_starts_first) {
    single_place_pool pool;
    pool.arrive("first", query_of("a"), 1s);
    pool.arrive("normal", query_of("a"), 1s);
    pool.arrive("high", query_of("b", catalog::request_priority::high), 1s);
    cr_assert(pool.order() == "first high normal ");
}

Test(fair_admission, a_cancelled_waiting_request_leaves_the_queue) {
    single_place_pool pool;
    pool.arrive("first", query_of("a"), 1s);
    pool.arrive("gone", query_of("a"), 1s, 10ms);
    pool.arrive("next", query_of("a"), 1s);
    cr_assert(pool.order() == "first next ");
    cr_assert_eq(pool.admission.waiting(base::pool_name("models")), 0U);
}

Test(fair_admission, a_cancelled_running_request_frees_its_place) {
    single_place_pool pool;
    pool.arrive("gone", query_of("a"), 1h, 10ms);
    pool.arrive("next", query_of("a"), 1s);
    cr_assert(pool.order() == "gone next ");
}

Test(fair_admission, tenant_concurrency_is_limited_and_released) {
    single_place_pool pool;
    auto query = query_of("a");
    query.limits.concurrent_requests = 1;
    pool.arrive("first", query, 100ms);
    pool.arrive("second", query, 1s);
    cr_assert_eq(pool.refused.size(), 1U);
    pool.time.run_until(pool.time.now() + 1s);
    pool.arrive("third", query, 1s);
    cr_assert(pool.order() == "first third ");
}
