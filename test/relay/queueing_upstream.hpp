/// @file
/// Test fixtures under virtual time: engines that start a request only after it has waited in their
/// queue, and a router in front of them.
#pragma once

#include "bench/simulation/virtual_scheduler.hpp"
#include "ferryroad/relay/relay_service.hpp"
#include "test/relay/fake_upstream.hpp"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace ferryroad::relay::test {

/// Behaviour of one engine.
struct queueing_engine {
    std::uint64_t version = 1;   ///< Weights version.
    base::duration wait{};       ///< From a request's arrival to its first event.
    base::duration run{};        ///< From its first event to the answer's end.
    bool drops_closed = true;    ///< Drops a queued request when its connection is closed.
    bool refuses_at_end = true;  ///< Reports as not run a request whose time ran out in the queue.
    /// From a request's arrival until the engine refuses it as not run, if it does.
    std::optional<base::duration> refuses_after;
    /// From a request's arrival until its connection breaks, if it does.
    std::optional<base::duration> breaks_after;
    bool breaks_in_answer = false;  ///< The connection breaks after the answer's first event.
    /// Engine events are handled after router events that are due at the same time.
    bool turns_last = false;
    base::duration close_delay{};  ///< Until it notices that a connection was closed.
    bool whole_answers = false;    ///< Its answers are not streams.
};

/// The arrival of a request at an engine.
struct arrival {
    std::string request;
    base::monotonic_time at{};
};

/// A request's first event at an engine.
struct beginning {
    std::string engine;
    std::uint64_t version = 0;
    base::monotonic_time at{};
    std::string request;
    bool drops_closed = true;
    base::monotonic_time told_end{};  ///< Deadline that the engine was given.
};

/// An answer of two events, the second one at the end of the run. It breaks when the time allowed
/// to the engine is over. A non-streaming answer has one part, at the end of the run.
class timed_body final : public http::byte_stream {
  public:
    /// @param allowed time allowed to the engine. @param resume_after last event that the caller
    /// has. @param on_ended called when the caller is to know that the engine has ended the
    /// request.
    timed_body(runtime::scheduler& scheduler, const queueing_engine& engine, base::duration allowed,
               std::uint64_t resume_after = 0, std::function<void()> on_ended = {})
        : m_scheduler(scheduler),
          m_engine(engine),
          m_allowed(allowed),
          m_next(engine.whole_answers ? last : resume_after + 1),
          m_on_ended(std::move(on_ended)) {}
    timed_body(const timed_body&) = delete;
    timed_body& operator=(const timed_body&) = delete;
    ~timed_body() override {
        const bool is_complete = m_next > last;
        if (m_on_ended && (is_complete || m_engine.drops_closed)) {
            m_on_ended();
        }
    }
    unsigned status() const override { return 200; }
    const http::header_list& headers() const override { return m_headers; }
    runtime::task<http::result<std::optional<std::string>>> next(base::duration limit) override {
        if (m_next > last) {
            co_return std::optional<std::string>();
        }
        if (m_next < last) {
            co_return std::optional<std::string>(event(m_next++));
        }
        if (m_engine.breaks_in_answer) {
            co_await m_scheduler.sleep_for(std::min(limit, m_engine.run / 2));
            co_return http::error{http::error_code::connection_lost, "broken"};
        }
        const base::duration until = std::min({m_engine.run, m_allowed, limit});
        co_await m_scheduler.sleep_for(until);
        if (until < m_engine.run) {
            const bool silent = limit < std::min(m_engine.run, m_allowed);
            co_return silent ? http::error{http::error_code::timed_out, "silent"}
                             : http::error{http::error_code::connection_lost, "cut"};
        }
        co_return std::optional<std::string>(event(m_next++));
    }

  private:
    static constexpr std::uint64_t last = 2;

    runtime::scheduler& m_scheduler;
    queueing_engine m_engine;
    base::duration m_allowed;
    std::uint64_t m_next;
    std::function<void()> m_on_ended;
    http::header_list m_headers;
};

/// An upstream of queueing engines. They refuse a request as not run if it has no time left when
/// its turn comes, and abort a running request when its time is over.
class queueing_upstream {
  public:
    explicit queueing_upstream(runtime::scheduler& scheduler) : m_scheduler(scheduler) {}

    runtime::task<runtime::result<opened_answer, dispatch_failure>> open(engine_target target,
                                                                         dispatch sent,
                                                                         base::duration limit) {
        using core::execution::failure_kind;
        using core::execution::failure_proof;
        // As in the HTTP client, the limit includes opening the connection.
        const base::monotonic_time give_up = m_scheduler.now() + limit;
        const base::duration connecting = std::min(connect_time, limit);
        co_await m_scheduler.sleep_for(connecting);
        if (connecting < connect_time) {
            unreached.push_back(sent.call->id.value);
            co_return failure(failure_kind::unreachable, failure_proof::not_sent);
        }
        if (sent.check_before_send) {
            const last_look look = sent.check_before_send();
            if (look.lost) {
                co_return withheld_for(*look.lost);
            }
            sent.time_left = look.time_left;
        }
        const std::string name = target.name.value;
        const queueing_engine engine = vary ? vary(engines[name], sent) : engines[name];
        asked.push_back(name);
        arrived.push_back({sent.call->id.value, m_scheduler.now()});
        if (sent.expected_version && *sent.expected_version != engine.version) {
            co_return other_version(engine);
        }
        auto place = std::make_shared<queue_place>();
        const leave_queue at_end{m_scheduler, place};
        m_scheduler.spawn("engine", take_turn(name, engine, sent, place));
        const base::monotonic_time came = m_scheduler.now();
        const base::monotonic_time breaks = came + engine.breaks_after.value_or(never);
        base::monotonic_time look_at = came + decides_after(engine, sent.time_left);
        while (!place->decided && m_scheduler.now() < std::min(give_up, breaks)) {
            look_at = std::max(look_at, m_scheduler.now() + tick);
            const base::monotonic_time next = std::min({look_at, give_up, breaks});
            co_await m_scheduler.sleep_until(next);
        }
        if (m_scheduler.now() >= breaks) {
            co_return failure(failure_kind::broken, failure_proof::unknown);
        }
        if (!place->decided) {
            co_return failure(failure_kind::timed_out, failure_proof::unknown);
        }
        if (!place->begun) {
            co_return failure(failure_kind::overloaded, failure_proof::not_run);
        }
        co_return answer_of(engine, sent.time_left - engine.wait, sent);
    }
    runtime::task<std::optional<coordination::rollout::engine_report>> report(engine_target,
                                                                              std::string,
                                                                              base::duration) {
        co_return std::nullopt;
    }
    runtime::task<coordination::rollout::order_answer> order(engine_target, weights_order,
                                                             base::duration) {
        co_return coordination::rollout::order_answer::lost;
    }

    std::map<std::string, queueing_engine> engines;
    /// If set, returns the engine's behaviour for one dispatch that has just arrived.
    std::function<queueing_engine(const queueing_engine&, const dispatch&)> vary;
    base::duration connect_time{};  ///< Time to open a connection.
    std::vector<std::string> asked;
    std::vector<arrival> arrived;        ///< In the order of `asked`.
    std::vector<std::string> unreached;  ///< Requests whose connection was not opened in time.
    std::vector<beginning> begun;

  private:
    static constexpr base::duration tick = std::chrono::milliseconds(1);
    static constexpr base::duration never = std::chrono::hours(1);  ///< Longer than any test runs.

    struct queue_place {
        bool decided = false;
        bool begun = false;
        std::optional<base::monotonic_time> closed_at;
    };
    /// Closes the connection at the end of the exchange.
    struct leave_queue {
        runtime::scheduler& scheduler;
        std::shared_ptr<queue_place> place;
        ~leave_queue() { place->closed_at = scheduler.now(); }
    };

    static bool begins_in_time(const queueing_engine& engine, base::duration allowed) {
        return engine.wait < allowed;
    }
    /// @return the time from a request's arrival until its engine starts or refuses it.
    static base::duration decides_after(const queueing_engine& engine, base::duration allowed) {
        const bool begins = begins_in_time(engine, allowed);
        const base::duration end = engine.refuses_at_end ? allowed : never;
        return std::min(begins ? engine.wait : end, engine.refuses_after.value_or(never));
    }

    runtime::task<void> take_turn(std::string name, queueing_engine engine, dispatch sent,
                                  std::shared_ptr<queue_place> place) {
        const base::monotonic_time came = m_scheduler.now();
        const base::duration decided = decides_after(engine, sent.time_left);
        if (decided >= never) {
            co_return;
        }
        co_await m_scheduler.sleep_for(decided);
        if (engine.turns_last) {
            co_await m_scheduler.sleep_for(base::duration{});
        }
        place->decided = true;
        const bool refused = engine.refuses_after && *engine.refuses_after <= engine.wait;
        const base::monotonic_time now = m_scheduler.now();
        const bool dropped = engine.drops_closed && place->closed_at &&
                             *place->closed_at + engine.close_delay <= now;
        if (dropped || refused || !begins_in_time(engine, sent.time_left)) {
            co_return;
        }
        place->begun = true;
        begun.push_back({std::move(name), engine.version, now, sent.call->id.value,
                         engine.drops_closed, came + sent.time_left});
    }

    static dispatch_failure other_version(const queueing_engine& engine) {
        dispatch_failure refused = failure(core::execution::failure_kind::stale_target,
                                           core::execution::failure_proof::not_run);
        refused.version = engine.version;
        return refused;
    }

    opened_answer answer_of(const queueing_engine& engine, base::duration allowed,
                            const dispatch& sent) {
        opened_answer answer;
        answer.status = 200;
        answer.headers.add("X-Response-Signature", "sig");
        answer.is_event_stream = !engine.whole_answers;
        answer.version = engine.version;
        answer.body = std::make_unique<timed_body>(m_scheduler, engine, allowed,
                                                   sent.resume_after.value_or(0), sent.on_ended);
        return answer;
    }

    runtime::scheduler& m_scheduler;
};

static_assert(upstream<queueing_upstream>);

/// A router in front of engines of one pool that run version 1 of the model `m`.
struct queueing_router {
    /// How long after newer weights were announced requests may still begin on older ones.
    static constexpr base::duration allowed = std::chrono::seconds(8);

    bench::simulation::virtual_time time;
    bench::simulation::virtual_scheduler scheduler;
    queueing_upstream upstream{scheduler};
    engine_registry registry;
    policy_source policies{policy_staleness_limits{}};
    core::placement::warm_state warm;
    core::placement::engine_load_view loads;
    engine_selection selection{registry, policies, warm, loads, selection_of()};
    /// Its probe never confirms a crash. Used only with `holds_back`.
    request_quarantine quarantine{
        scheduler, [](engine_target) -> runtime::task<bool> { co_return false; }, {}};
    std::map<std::string, relay_outcome> outcomes;  ///< By request id.
    relay_service<queueing_upstream> service;
    std::vector<std::unique_ptr<recorded_writer>> writers;
    base::monotonic_time named_at{};

    /// @param engines by name. @param seed of the simulation.
    /// @param holds_back whether the router quarantines requests that crash engines.
    explicit queueing_router(std::map<std::string, queueing_engine> engines, std::uint64_t seed = 1,
                             bool holds_back = false)
        : time(seed),
          scheduler(time, seed),
          service({scheduler,
                   upstream,
                   registry,
                   selection,
                   policies,
                   {},
                   {},
                   nullptr,
                   holds_back ? &quarantine : nullptr},
                  {}, [this](const relay_plan& plan, const relay_outcome& outcome) {
                      outcomes.emplace(plan.call->id.value, outcome);
                  }) {
        upstream.engines = std::move(engines);
        for (const auto& [name, engine] : upstream.engines) {
            listed_engine one = relay_fixture::listed(name.c_str());
            one.versions["m"] = engine.version;
            registry.put(one, scheduler.now());
        }
        core::traffic::declaration declared = relay_fixture::declared();
        for (core::traffic::route& one : declared.routes) {
            one.timeout = std::chrono::seconds(10);
            one.target_latency = std::chrono::seconds(2);
        }
        policies.offer(std::move(declared));
    }
    ~queueing_router() { scheduler.kill(); }

    static selection_settings selection_of() {
        selection_settings settings;
        settings.zone = base::zone_name("z");
        settings.outdated_limit = outdated_limit_for(allowed);
        return settings;
    }

    /// Announces a new weights version now.
    void name_weights(std::uint64_t version) {
        named_at = scheduler.now();
        policies.confirm(named_at);
        policies.add_named_version("m", version);
    }
    void run_for(base::duration span) { time.run_until(time.now() + span); }
    /// @return a request that arrives now. @param path of the route.
    relay_call call_of(const std::string& path, std::uint64_t input_tokens,
                       std::uint64_t output_tokens) const {
        relay_call call;
        call.id.value = "r" + std::to_string(writers.size());
        call.host = "h";
        call.message.method = "POST";
        call.message.target = path + "x";
        call.api_key = "key";
        call.time_left = std::chrono::seconds(10);
        call.arrived = scheduler.now();
        call.prompt = core::prefix::declared_prompt{
            "m", {{call.id.value, input_tokens}}, input_tokens, output_tokens};
        return call;
    }
    /// Sends a request now. @param path of the route. @param body identifies repeats of a request.
    void send(const std::string& path, std::uint64_t input_tokens, std::uint64_t output_tokens,
              std::string body = {}) {
        relay_call call = call_of(path, input_tokens, output_tokens);
        call.message.body = std::move(body);
        policies.confirm(scheduler.now());
        writers.push_back(std::make_unique<recorded_writer>(scheduler));
        scheduler.spawn("call", service.handle(std::move(call), *writers.back()));
    }
    /// @return the longest time from the announcement of newer weights until a request began on
    /// older ones.
    base::duration latest_outdated() const {
        base::duration latest{};
        for (const beginning& one : upstream.begun) {
            if (one.version < policies.versions_of("m").newest()) {
                latest = std::max(latest, one.at - named_at);
            }
        }
        return latest;
    }
};

}  // namespace ferryroad::relay::test
