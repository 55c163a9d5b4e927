/// A request that waits at an engine fetches cached prompt state when it begins. Guards against
/// checking the source of that state only when the request is sent: a request waited for 2.4 s at
/// an engine with the old weights, while another engine loaded newer ones and computed the same
/// prompt part again for a request that it continued. The waiting request then fetched that part.
///
/// The router logs these lines for the request:
///
///     dispatched  engine=... fetch_from=... weights=1
///     withdrawn   engine=... lost=state_current waited_ms=...
///     dispatched  engine=... fetch_from=none weights=1
#include "test/relay/queueing_upstream.hpp"

using namespace ferryroad;
using namespace ferryroad::relay;
using namespace ferryroad::relay::test;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t shared_tokens = 9000;
constexpr std::uint64_t own_tokens = 500;

/// A router in front of two engines where requests wait, with a cache store.
struct store_router : queueing_router {
    /// @param wait from a request's arrival at the engine until it begins.
    explicit store_router(base::duration wait)
        : queueing_router({{"e1", {1, wait, 250ms}}, {"e2", {1, wait, 250ms}}}) {
        core::traffic::declaration declared = policies.current()->declared();
        ++declared.version;
        for (core::traffic::route& one : declared.routes) {
            one.target_latency = 8s;  // No request is given up because its engine is silent.
        }
        declared.stores = {{{"10.0.0.9", 9}, base::zone_name("z")}};
        policies.offer(std::move(declared));
        upstream.vary = [this](const queueing_engine& engine, const dispatch& sent) {
            arrived_with_source.push_back(sent.fetch_state_from.has_value());
            return engine;
        };
    }
    /// Sends a request whose prompt has a shared part.
    void send_shared(const std::string& path) {
        relay_call call = call_of(path, own_tokens, 20);
        call.prompt->parts.insert(call.prompt->parts.begin(), {"shared", shared_tokens});
        call.prompt->input_tokens += shared_tokens;
        policies.confirm(scheduler.now());
        writers.push_back(std::make_unique<recorded_writer>(scheduler));
        scheduler.spawn("call", service.handle(std::move(call), *writers.back()));
    }
    /// Makes the router expect that requests begin after this time.
    void expect_waits(base::duration wait) {
        for (int request = 0; request < 200; ++request) {
            selection.record_begin_delay(base::pool_name("p"), {shared_tokens + own_tokens, 20},
                                         wait);
        }
    }
    /// Names version 2 and tells the waiting requests, as the program does.
    void replace_weights() {
        name_weights(2);
        service.check_waiting();
    }
    /// Sends a request, names version 2 half a second later and runs until the request has ended.
    void replace_weights_while_waiting(const std::string& path) {
        send_shared(path);
        run_for(500ms);
        replace_weights();
        run_for(3s);
    }

    std::vector<bool> arrived_with_source;  ///< Whether each dispatch named a source of state.
};

}  // namespace

Test(waiting_state_fetch, a_waiting_request_that_would_fetch_replaced_state_is_withdrawn) {
    store_router router(1s);
    router.replace_weights_while_waiting("/resumable/");
    cr_assert_eq(router.arrived_with_source.size(), 2);
    cr_assert(router.arrived_with_source[0]);
    cr_assert_not(router.arrived_with_source[1]);
    cr_assert_eq(router.upstream.begun.size(), 1);
    cr_assert(router.upstream.begun[0].at >= router.named_at + 1s, "the second dispatch began");
    cr_assert_eq(router.writers[0]->status, 200);
    cr_assert_eq(router.outcomes.at("r0").state_withdrawals, 1);
}

Test(waiting_state_fetch, a_request_that_has_begun_is_not_withdrawn) {
    store_router router(300ms);
    router.send_shared("/resumable/");
    router.run_for(400ms);
    router.replace_weights();
    router.run_for(3s);
    cr_assert_eq(router.arrived_with_source.size(), 1);
    cr_assert_eq(router.writers[0]->status, 200);
    cr_assert_eq(router.outcomes.at("r0").withdrawals, 0);
}

Test(waiting_state_fetch, an_unrepeatable_request_that_waits_fetches_nothing_and_stays) {
    store_router router(1s);
    router.expect_waits(1s);
    router.replace_weights_while_waiting("/stream/");
    cr_assert_eq(router.arrived_with_source.size(), 1);
    cr_assert_not(router.arrived_with_source[0]);
    cr_assert_eq(router.writers[0]->status, 200);
}

// Guards against: a request that can't be sent again was withdrawn, and its caller got an error.
Test(waiting_state_fetch, an_unrepeatable_request_that_fetches_is_not_withdrawn) {
    store_router router(1s);
    router.expect_waits(100ms);
    router.replace_weights_while_waiting("/stream/");
    cr_assert_eq(router.arrived_with_source.size(), 1);
    cr_assert(router.arrived_with_source[0]);
    cr_assert_eq(router.outcomes.at("r0").withdrawals, 0);
    cr_assert_eq(router.writers[0]->status, 200);
}

// Guards against: a request at its last attempt, expected to begin within 452 ms, waited for 3.2 s
// and fetched state that had been replaced meanwhile.
Test(waiting_state_fetch, a_last_attempt_fetches_nothing_even_if_it_is_expected_to_begin_soon) {
    store_router router(1s);
    router.expect_waits(100ms);
    for (auto& [name, engine] : router.upstream.engines) {
        engine.breaks_after = 100ms;
    }
    router.send_shared("/resumable/");
    router.run_for(3s);
    cr_assert_geq(router.arrived_with_source.size(), 2);
    cr_assert(router.arrived_with_source[0]);
    cr_assert_not(router.arrived_with_source[1]);
}

Test(waiting_state_fetch, an_attempt_that_did_not_run_is_not_counted) {
    store_router router(1s);
    for (auto& [name, engine] : router.upstream.engines) {
        engine.refuses_after = 100ms;
    }
    router.send_shared("/resumable/");
    router.run_for(3s);
    cr_assert_geq(router.arrived_with_source.size(), 2);
    cr_assert(router.arrived_with_source[1]);
}

Test(waiting_state_fetch, weights_named_while_the_connection_opens_withhold_the_dispatch) {
    store_router router(100ms);
    router.upstream.connect_time = 200ms;
    router.send_shared("/resumable/");
    router.run_for(100ms);
    router.name_weights(2);
    router.run_for(3s);
    cr_assert_eq(router.arrived_with_source.size(), 1);
    cr_assert_not(router.arrived_with_source[0], "the first dispatch was not sent");
    cr_assert_eq(router.writers[0]->status, 200);
}
