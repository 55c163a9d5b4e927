/// Requests must not begin on outdated weights later than 8,000 ms after newer ones were announced.
/// Guards against checking the age of the weights only when a request is sent, with a fixed
/// allowance of 800 ms for its wait: an engine that first prefilled other prompts and then a long
/// one began the request 2.5 s after it was sent, and 8,196 ms after newer weights had been
/// announced. The wait was predictable:
///   dispatched  engine=i-f4c0f8cbd2 cost_ms=2820 prefill_tokens=42509 running=31 slots=32
///   ended       engine=i-f4c0f8cbd2 cause=answered dispatches=1 first_event_ms=2586
/// The request had been sent 5,518 ms after the announcement.
#include "test/relay/queueing_upstream.hpp"

using namespace ferryroad;
using namespace ferryroad::relay;
using namespace ferryroad::relay::test;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t long_prompt = 42509;
constexpr std::uint64_t short_prompt = 300;
constexpr std::uint64_t short_answer = 30;
/// Tokens of an answer that takes longer than outdated weights may be used.
constexpr std::uint64_t long_answer = 4000;

/// Sends a request every 50 ms. @param end time after the announcement of newer weights, until
/// which requests are sent. @param path of the requests' route.
void send_until(queueing_router& router, base::duration end, const std::string& path,
                std::uint64_t input_tokens, std::uint64_t output_tokens) {
    while (router.scheduler.now() < router.named_at + end) {
        router.send(path, input_tokens, output_tokens);
        router.run_for(50ms);
    }
}

/// Sends requests until the weights are too old, then runs until all requests have ended.
void send_until_the_limit(queueing_router& router, const std::string& path,
                          std::uint64_t input_tokens, std::uint64_t output_tokens) {
    send_until(router, queueing_router::allowed, path, input_tokens, output_tokens);
    router.run_for(12s);
}

}  // namespace

Test(outdated_begin, repeatable_requests_do_not_begin_after_the_limit) {
    queueing_router router({{"e1", {1, 2586ms, 250ms}}, {"e2", {1, 2457ms, 300ms}}});
    router.name_weights(2);
    send_until_the_limit(router, "/resumable/", long_prompt, short_answer);
    cr_assert_gt(router.upstream.begun.size(), 0);
    cr_assert_leq(router.latest_outdated().count(), queueing_router::allowed.count());
}

Test(outdated_begin, unrepeatable_requests_do_not_begin_after_the_limit) {
    queueing_router router({{"e1", {1, 2586ms, 250ms}}, {"e2", {1, 2457ms, 300ms}}});
    router.name_weights(2);
    send_until_the_limit(router, "/stream/", long_prompt, short_answer);
    cr_assert_gt(router.upstream.begun.size(), 0);
    cr_assert_leq(router.latest_outdated().count(), queueing_router::allowed.count());
}

Test(outdated_begin, the_limit_holds_if_the_prompt_does_not_explain_the_wait) {
    queueing_router router({{"e1", {1, 2586ms, 50ms}}, {"e2", {1, 3100ms, 50ms}}});
    router.name_weights(2);
    send_until_the_limit(router, "/stream/", short_prompt, short_answer);
    cr_assert_gt(router.upstream.begun.size(), 0);
    cr_assert_leq(router.latest_outdated().count(), queueing_router::allowed.count());
}

Test(outdated_begin, the_limit_holds_at_engines_that_keep_requests_of_closed_connections) {
    queueing_engine keeps{1, 2586ms, 250ms};
    keeps.drops_closed = false;
    queueing_router router({{"e1", keeps}, {"e2", keeps}});
    router.name_weights(2);
    send_until_the_limit(router, "/resumable/", long_prompt, short_answer);
    cr_assert_gt(router.upstream.begun.size(), 0);
    cr_assert_leq(router.latest_outdated().count(), queueing_router::allowed.count());
}

Test(outdated_begin, the_limit_holds_for_answers_that_take_longer_than_the_limit) {
    queueing_router router({{"e1", {1, 2586ms, 9s}}, {"e2", {1, 2457ms, 9s}}});
    router.name_weights(2);
    send_until_the_limit(router, "/resumable/", long_prompt, long_answer);
    cr_assert_gt(router.upstream.begun.size(), 0);
    cr_assert_leq(router.latest_outdated().count(), queueing_router::allowed.count());
}

Test(outdated_begin, the_limit_holds_for_requests_sent_before_the_announcement) {
    queueing_router router({{"e1", {1, 8500ms, 250ms}}});
    router.send("/stream/", short_prompt, short_answer);
    router.run_for(10ms);
    router.name_weights(2);
    router.run_for(12s);
    cr_assert_eq(router.upstream.asked.size(), 1);
    cr_assert(router.upstream.begun.empty());
    cr_assert_eq(router.writers[0]->status, 503);
}

Test(outdated_begin, the_limit_holds_with_slow_connections) {
    queueing_engine keeps{1, 400ms, 250ms};
    keeps.drops_closed = false;
    queueing_router router({{"e1", keeps}});
    router.upstream.connect_time = 300ms;
    router.name_weights(2);
    send_until(router, 6s, "/resumable/", short_prompt, short_answer);
    router.upstream.engines["e1"].wait = 2s;
    router.send("/resumable/", short_prompt, short_answer);
    router.run_for(5s);
    cr_assert_gt(router.upstream.begun.size(), 0);
    cr_assert_leq(router.latest_outdated().count(), queueing_router::allowed.count());
}

Test(outdated_begin, the_limit_holds_at_engines_that_do_not_report_expired_requests) {
    queueing_engine mute{1, 2586ms, 250ms};
    mute.drops_closed = false;
    mute.refuses_at_end = false;
    queueing_router router({{"e1", mute}, {"e2", mute}});
    router.name_weights(2);
    send_until_the_limit(router, "/stream/", long_prompt, short_answer);
    cr_assert_gt(router.upstream.begun.size(), 0);
    cr_assert_leq(router.latest_outdated().count(), queueing_router::allowed.count());
}

Test(outdated_begin, waits_of_short_prompts_predict_those_of_other_prompts) {
    queueing_engine keeps{1, 1600ms, 250ms};
    keeps.drops_closed = false;
    queueing_router router({{"e1", keeps}});
    router.name_weights(2);
    send_until(router, 4s, "/resumable/", short_prompt, short_answer);
    router.run_for(2500ms);
    router.send("/stream/", 2 * short_prompt, long_answer);
    router.run_for(5s);
    cr_assert_leq(router.latest_outdated().count(), queueing_router::allowed.count());
}

Test(outdated_begin, a_request_that_began_in_time_is_not_cut) {
    queueing_router router({{"e1", {1, 100ms, 250ms}}});
    router.name_weights(2);
    send_until(router, 5s, "/stream/", short_prompt, short_answer);
    const std::size_t last = router.writers.size();
    router.upstream.engines["e1"].run = 1200ms;
    router.send("/stream/", short_prompt, short_answer);
    router.run_for(5s);
    cr_assert_eq(router.writers[last]->final_answers, 1);
    cr_assert_not(router.writers[last]->aborted);
}

Test(outdated_begin, a_withdrawn_request_begins_at_an_engine_with_the_newest_weights) {
    queueing_router router({{"e1", {1, 6s, 250ms}}});
    router.name_weights(2);
    router.run_for(4s);
    router.send("/resumable/", short_prompt, short_answer);
    router.run_for(1s);
    listed_engine fresh = relay_fixture::listed("e2");
    fresh.versions["m"] = 2;
    router.upstream.engines["e2"] = {2, 100ms, 250ms};
    router.registry.put(fresh, router.scheduler.now());
    router.run_for(8s);
    cr_assert_eq(router.upstream.begun.size(), 1);
    cr_assert_str_eq(router.upstream.begun[0].engine.c_str(), "e2");
    cr_assert_eq(router.writers[0]->status, 200);
}

Test(outdated_begin, requests_that_can_begin_in_time_go_to_outdated_engines) {
    queueing_router router({{"e1", {1, 100ms, 50ms}}});
    router.name_weights(2);
    router.run_for(7s);
    router.send("/resumable/", short_prompt, short_answer);
    router.run_for(3s);
    cr_assert_eq(router.upstream.begun.size(), 1);
    cr_assert_eq(router.writers[0]->status, 200);
}

Test(outdated_begin, a_refused_request_gets_503) {
    queueing_router router({{"e1", {1, 100ms, 50ms}}});
    router.name_weights(2);
    router.run_for(7900ms);
    router.send("/stream/", short_prompt, short_answer);
    router.run_for(3s);
    cr_assert(router.upstream.begun.empty());
    cr_assert_eq(router.writers[0]->status, 503);
}
