/// A stream that has begun may be preempted at its engine, which then reads the prompt again and
/// fetches and stores cached state as the dispatch named it. Guards against a stream that ran on
/// state of other weights: an engine had loaded newer weights, continued a stream under them, read
/// its prompt again and stored the state in the scope of the older weights. An engine that still
/// had the older weights fetched that state as it read the prompt of a preempted stream again.
///
/// The router logs these lines for a stream that it moves:
///
///     dispatched  engine=... fetch_from=... save_to=... weights=1
///     withdrawn   engine=... lost=state_current events=1 fetch_from=... save_to=...
///     dispatched  engine=... fetch_from=none save_to=none after_event=1
#include "test/relay/queueing_upstream.hpp"

using namespace ferryroad;
using namespace ferryroad::relay;
using namespace ferryroad::relay::test;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t shared_tokens = 9000;
constexpr std::uint64_t own_tokens = 500;
constexpr base::duration to_first_event = 100ms;
constexpr base::duration to_last_event = 3s;
/// A pause that engines make as they read other prompts.
constexpr base::duration short_pause = 750ms;

/// A router in front of two engines whose streams have two events, and a cache store.
struct streaming_router : queueing_router {
    streaming_router()
        : queueing_router({{"e1", {1, to_first_event, to_last_event}},
                           {"e2", {1, to_first_event, to_last_event}}}) {
        core::traffic::declaration declared = policies.current()->declared();
        ++declared.version;
        for (core::traffic::route& one : declared.routes) {
            one.target_latency = 8s;
            one.target_gap = 2s;  // No stream is given up because its engine is silent.
        }
        declared.stores = {{{"10.0.0.9", 9}, base::zone_name("z")}};
        policies.offer(std::move(declared));
        upstream.vary = [this](const queueing_engine& engine, const dispatch& sent) {
            fetched.push_back(sent.fetch_state_from.has_value());
            saved.push_back(sent.save_state_to.has_value());
            resumed_after.push_back(sent.resume_after);
            return engine;
        };
    }
    /// Sends a request whose prompt has a shared part, and waits until its stream has begun.
    void begin_stream(const std::string& path) {
        relay_call call = call_of(path, own_tokens, 20);
        call.prompt->parts.insert(call.prompt->parts.begin(), {"shared", shared_tokens});
        call.prompt->input_tokens += shared_tokens;
        policies.confirm(scheduler.now());
        writers.push_back(std::make_unique<recorded_writer>(scheduler));
        scheduler.spawn("call", service.handle(std::move(call), *writers.back()));
        run_for(to_first_event + 50ms);
        cr_assert_eq(upstream.begun.size(), 1);
    }
    /// The store reports that it holds the shared part under the first weights.
    void report_stored() {
        report_held(holder_name_of(policies.current()->declared().stores.front()).value);
    }
    /// An engine or store reports that it holds the shared part under the first weights.
    void report_held(const std::string& holder_name) {
        const core::prefix::declared_prompt prompt{
            "m", {{"shared", shared_tokens}, {"own", own_tokens}}, shared_tokens + own_tokens, 20};
        const base::engine_name holder(holder_name);
        warm.follow(holder, true);
        const auto part = core::prefix::scoped_parts_of(prompt, "shared/1").front();
        warm.told(part.key, holder, part.tokens, scheduler.now());
    }
    /// Names version 2 and tells the requests, as the program does.
    void replace_weights() {
        name_weights(2);
        service.check_waiting();
    }
    /// Another router announces that the engine is about to load version 2.
    void announce_load(const std::string& engine) {
        registry.expect_weights(base::engine_name(engine), "m", 2, scheduler.now() + 1200ms);
    }
    const std::string& first_engine() const { return upstream.begun.front().engine; }
    std::string other_engine() const { return first_engine() == "e1" ? "e2" : "e1"; }
    /// @return whether the caller got the whole stream, each event once.
    bool is_whole() const {
        return writers[0]->status == 200 && !writers[0]->aborted &&
               writers[0]->body == event(1) + event(2);
    }
    const relay_outcome& outcome() const { return outcomes.at("r0"); }

    // For each dispatch:
    std::vector<bool> fetched;  ///< It named a source of state.
    std::vector<bool> saved;    ///< It named a store for its state.
    std::vector<std::optional<std::uint64_t>> resumed_after;
};

}  // namespace

Test(running_state, a_stream_that_stores_state_moves_before_its_engine_loads_newer_weights) {
    streaming_router router;
    router.begin_stream("/resumable/");
    cr_assert(router.saved[0]);
    router.replace_weights();
    router.announce_load(router.first_engine());
    const base::duration announced_before_order = 150ms;
    router.run_for(announced_before_order);
    cr_assert_eq(router.upstream.asked.size(), 2);
    cr_assert_eq(router.upstream.asked[1], router.other_engine());
    cr_assert_eq(router.resumed_after[1].value_or(0), 1);
    cr_assert_not(router.saved[1]);
    cr_assert_not(router.fetched[1]);
    router.run_for(5s);
    cr_assert(router.is_whole());
    cr_assert_eq(router.outcome().state_withdrawals, 1);
}

Test(running_state, a_stream_moves_only_when_its_own_engine_loads) {
    streaming_router router;
    router.begin_stream("/resumable/");
    router.replace_weights();
    router.announce_load(router.other_engine());
    router.run_for(short_pause);
    cr_assert_eq(router.upstream.asked.size(), 1);
}

Test(running_state, a_stream_that_stores_nothing_stays_as_its_engine_loads_newer_weights) {
    streaming_router router;
    router.report_stored();
    router.begin_stream("/resumable/");
    cr_assert(router.fetched[0]);
    cr_assert_not(router.saved[0]);
    router.replace_weights();
    router.announce_load(router.first_engine());
    router.run_for(1s);
    router.registry.record_version(base::engine_name(router.first_engine()), "m", 2);
    router.run_for(5s);
    cr_assert_eq(router.upstream.asked.size(), 1);
    cr_assert(router.is_whole());
}

Test(running_state, a_preempted_stream_whose_source_loads_newer_weights_moves) {
    streaming_router router;
    router.report_held("e2");
    router.registry.find(base::engine_name("e2"))->refuses_until = router.scheduler.now() + 200ms;
    router.begin_stream("/resumable/");
    cr_assert_eq(router.first_engine(), "e1");
    cr_assert(router.fetched[0]);
    router.replace_weights();
    router.announce_load(router.other_engine());
    router.run_for(short_pause);
    cr_assert_eq(router.upstream.asked.size(), 1, "short pauses are usual");
    router.run_for(400ms);
    cr_assert_eq(router.upstream.asked.size(), 2);
    cr_assert_eq(router.resumed_after[1].value_or(0), 1);
    router.run_for(5s);
    cr_assert(router.is_whole());
}

// What the store holds stays right, as no engine loads while requests that store state may run
// there.
Test(running_state, a_preempted_stream_whose_source_is_a_store_stays) {
    streaming_router router;
    router.report_stored();
    router.begin_stream("/resumable/");
    cr_assert(router.fetched[0]);
    router.replace_weights();
    router.run_for(5s);
    cr_assert_eq(router.upstream.asked.size(), 1);
    cr_assert(router.is_whole());
}

Test(running_state, a_stream_whose_source_has_its_weights_stays_however_long_it_pauses) {
    streaming_router router;
    router.report_stored();
    router.begin_stream("/resumable/");
    router.run_for(5s);
    cr_assert_eq(router.upstream.asked.size(), 1);
    cr_assert(router.is_whole());
}

// An engine must not load newer weights while it runs a request that stores state and can't be
// moved, so the holder of the rollout's lease is told of it.
Test(running_state, a_request_that_stores_state_and_cannot_be_moved_is_counted) {
    streaming_router router;
    router.begin_stream("/stream/");
    cr_assert(router.saved[0]);
    const base::engine_name engine(router.first_engine());
    cr_assert_eq(router.registry.find(engine)->pinned_writers, 1);
    router.replace_weights();
    router.announce_load(engine.value);
    router.run_for(5s);
    cr_assert_eq(router.upstream.asked.size(), 1);
    cr_assert(router.is_whole());
    cr_assert_eq(router.registry.find(engine)->pinned_writers, 0);
}

// Guards against an engine that loads newer weights while a stream that was given up goes on there
// and stores state: not every engine stops as a connection is closed.
Test(running_state, a_moved_stream_that_stores_state_counts_until_its_engine_has_ended_it) {
    for (const bool drops_closed : {true, false}) {
        streaming_router router;
        for (auto& [name, engine] : router.upstream.engines) {
            engine.drops_closed = drops_closed;
        }
        router.begin_stream("/resumable/");
        const base::engine_name engine(router.first_engine());
        const auto stores = [&] {
            const known_engine* known = router.registry.find(engine);
            return known->state_used_for(router.scheduler.now()) > 0s;
        };
        cr_assert(stores());
        router.replace_weights();
        router.announce_load(engine.value);
        router.run_for(150ms);
        cr_assert_eq(router.upstream.asked.size(), 2, "the stream has moved");
        cr_expect_neq(stores(), drops_closed);
        cr_assert_eq(router.registry.active(router.scheduler.now()).size(), drops_closed ? 1 : 2);
        const base::duration time_of_request = 10s;
        router.run_for(time_of_request + 500ms);
        cr_expect_not(stores(), "its engine has stopped it at the deadline");
    }
}

Test(running_state, a_stream_that_no_other_engine_can_take_counts_until_its_end) {
    streaming_router router;
    router.begin_stream("/resumable/");
    const base::engine_name engine(router.first_engine());
    listed_engine leaving = router.registry.find(base::engine_name(router.other_engine()))->listed;
    leaving.leaving = true;
    router.registry.put(leaving, router.scheduler.now());
    router.replace_weights();
    router.announce_load(engine.value);
    router.run_for(1s);
    cr_assert_eq(router.upstream.asked.size(), 1);
    cr_assert(router.registry.find(engine)->state_used_for(router.scheduler.now()) > 0s);
    router.run_for(5s);
    cr_assert(router.is_whole());
    cr_assert(router.registry.find(engine)->state_used_for(router.scheduler.now()) == 0s);
}

// Guards against a request that can't be moved and is read again with state of newer weights: the
// engine that it fetches from had loaded them and gone on with its own requests.
Test(running_state, a_request_that_cannot_be_moved_counts_at_the_engine_it_fetches_from) {
    for (const bool can_be_moved : {false, true}) {
        streaming_router router;
        router.report_held("e2");
        router.registry.find(base::engine_name("e2"))->refuses_until =
            router.scheduler.now() + 200ms;
        router.begin_stream(can_be_moved ? "/resumable/" : "/stream/");
        cr_assert_eq(router.first_engine(), "e1");
        cr_assert(router.fetched[0]);
        const auto is_counted = [&] {
            const known_engine* source = router.registry.find(base::engine_name("e2"));
            return source->state_used_for(router.scheduler.now()) > 0s;
        };
        cr_expect_neq(is_counted(), can_be_moved);
        router.run_for(5s);
        cr_assert(router.is_whole());
        cr_expect_not(is_counted());
    }
}

Test(running_state, a_request_that_its_engine_refused_does_not_count) {
    streaming_router router;
    for (auto& [name, engine] : router.upstream.engines) {
        engine.refuses_after = 20ms;
    }
    relay_call call = router.call_of("/stream/", own_tokens, 20);
    call.prompt->parts.insert(call.prompt->parts.begin(), {"shared", shared_tokens});
    router.policies.confirm(router.scheduler.now());
    router.writers.push_back(std::make_unique<recorded_writer>(router.scheduler));
    router.scheduler.spawn("call", router.service.handle(std::move(call), *router.writers.back()));
    router.run_for(1s);
    cr_assert_gt(router.saved.size(), 0);
    cr_assert(router.saved[0]);
    for (const auto& [name, engine] : router.registry.engines()) {
        cr_assert(engine.state_used_for(router.scheduler.now()) == 0s);
    }
}

Test(running_state, a_request_that_stores_nothing_or_can_be_moved_is_not_counted) {
    for (const bool stored : {true, false}) {
        streaming_router router;
        if (stored) {
            router.report_stored();
        }
        router.begin_stream(stored ? "/stream/" : "/resumable/");
        const base::engine_name engine(router.first_engine());
        cr_assert_eq(router.registry.find(engine)->pinned_writers, 0);
    }
}

// Guards against a stream that was moved although it could not be continued, and so was cut: its
// key had been removed since it began, or no other engine could take it.
Test(running_state, a_stream_whose_key_was_removed_stays) {
    streaming_router router;
    router.begin_stream("/resumable/");
    core::traffic::declaration declared = router.policies.current()->declared();
    ++declared.version;
    declared.tenants = {{base::tenant_name("t"), {"another key"}, std::nullopt, false}};
    router.policies.offer(std::move(declared));
    router.replace_weights();
    router.announce_load(router.first_engine());
    router.run_for(5s);
    cr_assert_eq(router.upstream.asked.size(), 1);
    cr_assert(router.is_whole());
}

Test(running_state, a_stream_stays_if_no_other_engine_can_take_it) {
    streaming_router router;
    router.begin_stream("/resumable/");
    router.registry.remove(base::engine_name(router.other_engine()));
    router.replace_weights();
    router.announce_load(router.first_engine());
    router.run_for(5s);
    cr_assert_eq(router.upstream.asked.size(), 1);
    cr_assert(router.is_whole());
}

// A stream must not be cut for its state if no retry is left to continue it.
Test(running_state, a_stream_stays_while_the_retry_budget_is_used_up) {
    streaming_router router;
    relay_settings without_retries;
    without_retries.retries.share = 0;
    without_retries.retries.reserve = 0;
    router.service.change_settings(without_retries);
    router.begin_stream("/resumable/");
    router.replace_weights();
    router.announce_load(router.first_engine());
    router.run_for(5s);
    cr_assert_eq(router.upstream.asked.size(), 1);
    cr_assert(router.is_whole());
}
