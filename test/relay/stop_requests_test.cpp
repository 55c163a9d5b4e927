/// A planned stop ends what is in progress when its grace is over. Guards against requests that
/// were passed on late in the grace and then cut without a response, among them some that must not
/// be repeated: their callers could neither send them again nor learn whether they had run.
#include "test/relay/queueing_upstream.hpp"

using namespace ferryroad;
using namespace ferryroad::relay;
using namespace ferryroad::relay::test;
using namespace std::chrono_literals;

namespace {

constexpr base::duration stop_time = 5s;

/// A router in front of an engine whose answers take long.
struct stopping_router : queueing_router {
    explicit stopping_router(base::duration run) : queueing_router({{"e1", engine(run)}}) {
        core::traffic::declaration declared = policies.current()->declared();
        ++declared.version;
        for (core::traffic::route& one : declared.routes) {
            one.target_latency = 8s;  // No request is given up because its engine is silent.
        }
        policies.offer(std::move(declared));
        upstream.vary = [this](const queueing_engine& one, const dispatch& sent) {
            time_given = sent.time_left;
            return one;
        };
    }
    static queueing_engine engine(base::duration run) {
        queueing_engine one{1, 100ms, run};
        one.whole_answers = true;
        return one;
    }
    void begin_stop() { service.begin_stop(scheduler.now() + stop_time); }
    /// Sends a request that its caller gives this time.
    void send_for(const std::string& path, base::duration time_left) {
        relay_call call = call_of(path, 100, 20);
        call.time_left = time_left;
        policies.confirm(scheduler.now());
        writers.push_back(std::make_unique<recorded_writer>(scheduler));
        scheduler.spawn("call", service.handle(std::move(call), *writers.back()));
    }

    std::optional<base::duration> time_given;  ///< For the engine's work, in the last dispatch.
};

}  // namespace

Test(stop_requests, a_request_that_must_not_be_repeated_is_refused_if_it_may_outlast_the_stop) {
    for (const char* path : {"/unsafe/", "/stream/"}) {
        stopping_router router(1s);
        router.begin_stop();
        router.send_for(path, 8s);
        router.run_for(10ms);
        cr_assert_eq(router.writers[0]->status, 503);
        cr_assert(router.upstream.asked.empty());
    }
}

Test(stop_requests, a_request_that_ends_before_the_stop_is_served) {
    stopping_router router(1s);
    router.begin_stop();
    router.send_for("/unsafe/", 4s);
    router.run_for(stop_time);
    cr_assert_eq(router.writers[0]->status, 200);
}

Test(stop_requests, a_request_that_may_be_repeated_is_given_the_time_until_the_stop) {
    stopping_router router(1s);
    router.begin_stop();
    router.send_for("/safe/", 8s);
    router.run_for(10ms);
    cr_assert(router.time_given.has_value());
    cr_assert(*router.time_given <= stop_time);
    router.run_for(stop_time);
    cr_assert_eq(router.writers[0]->status, 200);
}

Test(stop_requests, a_request_in_progress_gets_a_response_when_the_stop_ends_it) {
    for (const char* path : {"/unsafe/", "/safe/"}) {
        stopping_router router(8s);
        router.send_for(path, 10s);
        router.run_for(1s);
        router.begin_stop();
        router.run_for(1s);
        cr_assert_eq(router.writers[0]->final_answers, 0);
        router.service.end_requests();
        router.run_for(10ms);
        cr_assert_eq(router.writers[0]->final_answers, 1);
        cr_assert_eq(router.writers[0]->status, 504, "it may have run, so 503 would be untrue");
        cr_assert_not(router.writers[0]->aborted);
    }
}
