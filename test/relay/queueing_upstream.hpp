/// @file
/// Scaffolding: engines that begin with a request only after it has waited in their queue, and a
/// router before them, under virtual time.
#pragma once

#include "bench/simulation/virtual_scheduler.hpp"
#include "ferryroad/relay/relay_service.hpp"
#include "test/relay/fake_upstream.hpp"

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace ferryroad::relay::test {

/// How one engine treats what comes to it.
struct queueing_engine {
    std::uint64_t version = 1;   ///< Of its weights.
    base::duration wait{};       ///< From a request's arrival to its first event.
    base::duration run{};        ///< From its first event to the answer's end.
    bool drops_closed = true;    ///< Forgets what waits when its connection is closed.
    bool refuses_at_end = true;  ///< Says that a request whose time ended in the queue has not run.
};

/// A request's first event at an engine.
struct beginning {
    std::string engine;
    std::uint64_t version = 0;
    base::monotonic_time at{};
};

/// Two events, the second one when the run ends; nothing more after the engine's time for it.
class timed_body final : public http::byte_stream {
  public:
    timed_body(runtime::scheduler& scheduler, base::duration run, base::duration allowed)
        : m_scheduler(scheduler), m_run(run), m_allowed(allowed) {}
    unsigned status() const override { return 200; }
    const http::header_list& headers() const override { return m_headers; }
    runtime::task<http::result<std::optional<std::string>>> next(base::duration limit) override {
        if (m_events == 0) {
            ++m_events;
            co_return std::optional<std::string>(event(1));
        }
        if (m_events == 2) {
            co_return std::optional<std::string>();
        }
        const base::duration until = std::min({m_run, m_allowed, limit});
        co_await m_scheduler.sleep_for(until);
        if (until < m_run) {
            co_return http::error{http::error_code::connection_lost, "cut"};
        }
        ++m_events;
        co_return std::optional<std::string>(event(2));
    }

  private:
    runtime::scheduler& m_scheduler;
    base::duration m_run;
    base::duration m_allowed;
    int m_events = 0;
    http::header_list m_headers;
};

/// Its engines refuse what has no time left when its turn comes, as not run, and end what runs when
/// its time is over.
class queueing_upstream {
  public:
    explicit queueing_upstream(runtime::scheduler& scheduler) : m_scheduler(scheduler) {}

    runtime::task<runtime::result<opened_answer, dispatch_failure>> open(engine_target target,
                                                                         dispatch sent,
                                                                         base::duration limit) {
        using core::execution::failure_kind;
        using core::execution::failure_proof;
        const queueing_engine engine = engines[target.name.value];
        co_await m_scheduler.sleep_for(connect_time);
        if (sent.look_again) {
            const last_look look = sent.look_again();
            if (look.lost) {
                co_return withheld_for(*look.lost);
            }
            sent.time_left = look.time_left;
        }
        asked.push_back(target.name.value);
        auto place = std::make_shared<queue_place>();
        m_scheduler.spawn("engine", take_turn(target.name.value, engine, sent.time_left, place));
        const leave_queue at_end{place, engine.drops_closed};
        const base::monotonic_time give_up = m_scheduler.now() + limit;
        while (!place->decided && m_scheduler.now() < give_up) {
            co_await m_scheduler.sleep_for(std::chrono::milliseconds(1));
        }
        if (!place->decided) {
            co_return failure(failure_kind::timed_out, failure_proof::unknown);
        }
        if (!place->begun) {
            co_return failure(failure_kind::overloaded, failure_proof::not_run);
        }
        co_return answer_of(engine, sent.time_left - engine.wait);
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
    base::duration connect_time{};  ///< What opening a connection takes.
    std::vector<std::string> asked;
    std::vector<beginning> begun;

  private:
    struct queue_place {
        bool decided = false;
        bool begun = false;
        bool closed = false;
    };
    /// The connection ends with the exchange.
    struct leave_queue {
        std::shared_ptr<queue_place> place;
        bool dropped = true;
        ~leave_queue() { place->closed = dropped; }
    };

    runtime::task<void> take_turn(std::string name, queueing_engine engine, base::duration allowed,
                                  std::shared_ptr<queue_place> place) {
        const bool in_time = engine.wait < allowed;
        if (!in_time && !engine.refuses_at_end) {
            co_return;
        }
        co_await m_scheduler.sleep_for(in_time ? engine.wait : allowed);
        place->decided = true;
        if (place->closed || !in_time) {
            co_return;
        }
        place->begun = true;
        begun.push_back({std::move(name), engine.version, m_scheduler.now()});
    }

    opened_answer answer_of(const queueing_engine& engine, base::duration allowed) {
        opened_answer answer;
        answer.status = 200;
        answer.headers.add("X-Response-Signature", "sig");
        answer.is_event_stream = true;
        answer.version = engine.version;
        answer.body = std::make_unique<timed_body>(m_scheduler, engine.run, allowed);
        return answer;
    }

    runtime::scheduler& m_scheduler;
};

static_assert(upstream<queueing_upstream>);

/// A router before engines of one pool that run the model `m`. Version 1 is what they have.
struct queueing_router {
    /// How long requests may begin on weights after newer ones were named.
    static constexpr base::duration allowed = std::chrono::seconds(8);

    bench::simulation::virtual_time time{1};
    bench::simulation::virtual_scheduler scheduler{time, 1};
    queueing_upstream upstream{scheduler};
    engine_registry registry;
    policy_source policies{policy_bounds{}};
    core::placement::warm_state warm;
    core::placement::engine_load_view loads;
    engine_selection selection{registry, policies, warm, loads, selection_of()};
    std::vector<relay_outcome> outcomes;
    relay_service<queueing_upstream> service{
        {scheduler, upstream, registry, selection, policies, {}, {}},
        {},
        [this](const relay_plan&, const relay_outcome& outcome) { outcomes.push_back(outcome); }};
    std::vector<std::unique_ptr<recorded_writer>> writers;
    base::monotonic_time named_at{};

    /// @param engines by their names.
    explicit queueing_router(std::map<std::string, queueing_engine> engines) {
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

    /// New weights are named now.
    void name_weights(std::uint64_t version) {
        named_at = scheduler.now();
        policies.confirm(named_at);
        policies.name_version("m", version);
    }
    void run_for(base::duration span) { time.run_until(time.now() + span); }
    /// A caller sends a stream's request now. @param path of the route.
    void send(const std::string& path, std::uint64_t input_tokens, std::uint64_t output_tokens) {
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
        policies.confirm(scheduler.now());
        writers.push_back(std::make_unique<recorded_writer>(scheduler));
        scheduler.spawn("call", service.handle(std::move(call), *writers.back()));
    }
    /// @return the longest time from the naming to a beginning on older weights.
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
