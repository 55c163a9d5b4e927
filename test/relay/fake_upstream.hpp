/// @file
/// Test fixtures: an upstream with scripted answers, and a response writer that records the
/// response.
#pragma once

#include "ferryroad/relay/relay_service.hpp"
#include "test/http/loopback.hpp"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace ferryroad::relay::test {

/// One step of a scripted body.
struct body_step {
    enum class kind { bytes, end, broken, silence };
    kind what = kind::end;
    std::string bytes;
};

inline body_step bytes(std::string text) {
    return {body_step::kind::bytes, std::move(text)};
}
inline const body_step body_end{body_step::kind::end, {}};
inline const body_step body_broken{body_step::kind::broken, {}};
inline const body_step body_silence{body_step::kind::silence, {}};

inline std::string event(std::uint64_t id) {
    return "id: " + std::to_string(id) + "\ndata: x\n\n";
}

/// Plays the steps of a scripted body, and counts the bodies that are open and the bytes read.
class scripted_body final : public http::byte_stream {
  public:
    scripted_body(runtime::scheduler& scheduler, std::vector<body_step> steps,
                  std::shared_ptr<int> open, std::shared_ptr<std::size_t> bytes_read)
        : m_scheduler(scheduler),
          m_steps(steps.begin(), steps.end()),
          m_open(std::move(open)),
          m_bytes_read(std::move(bytes_read)) {
        ++*m_open;
    }
    ~scripted_body() override { --*m_open; }
    unsigned status() const override { return 200; }
    const http::header_list& headers() const override { return m_headers; }
    runtime::task<http::result<std::optional<std::string>>> next(base::duration limit) override {
        co_await m_scheduler.sleep_for(std::chrono::milliseconds(1));
        body_step step = m_steps.empty() ? body_end : m_steps.front();
        if (!m_steps.empty()) {
            m_steps.pop_front();
        }
        if (step.what == body_step::kind::silence) {
            co_await m_scheduler.sleep_for(limit);
            co_return http::error{http::error_code::timed_out, "silent"};
        }
        if (step.what == body_step::kind::broken) {
            co_return http::error{http::error_code::connection_lost, "reset"};
        }
        if (step.what == body_step::kind::end) {
            co_return std::optional<std::string>();
        }
        *m_bytes_read += step.bytes.size();
        co_return std::optional<std::string>(std::move(step.bytes));
    }

  private:
    runtime::scheduler& m_scheduler;
    std::deque<body_step> m_steps;
    std::shared_ptr<int> m_open;
    std::shared_ptr<std::size_t> m_bytes_read;
    http::header_list m_headers;
};

/// What an engine does with one dispatch.
struct scripted_answer {
    std::optional<dispatch_failure> failure;
    unsigned status = 200;
    bool stream = true;
    bool status_promises_not_run = false;
    std::string signature = "sig";
    std::vector<body_step> body;
    base::duration delay{};       ///< From the connection to the answer's head.
    base::duration connecting{};  ///< Time to open the connection, before the delay.
};

inline dispatch_failure failure(core::execution::failure_kind kind,
                                core::execution::failure_proof proof) {
    dispatch_failure failed;
    failed.kind = kind;
    failed.proof = proof;
    failed.message = "scripted";
    return failed;
}

/// Gives scripted answers to dispatches in order, whatever their engine. Without a scripted answer,
/// a dispatch times out.
class fake_upstream {
  public:
    explicit fake_upstream(runtime::scheduler& scheduler) : m_scheduler(scheduler) {}

    runtime::task<runtime::result<opened_answer, dispatch_failure>> open(engine_target target,
                                                                         dispatch sent,
                                                                         base::duration limit) {
        engines.push_back(target.name.value);
        dispatches.push_back(sent);
        limits.push_back(limit);
        if (!answers.empty() && answers.front().connecting > base::duration{}) {
            co_await m_scheduler.sleep_for(answers.front().connecting);
        }
        const last_look look = sent.check_before_send();
        looks.push_back(look);
        if (look.lost) {
            co_return withheld_for(*look.lost);  // Nothing was sent, so no answer is consumed.
        }
        if (answers.empty()) {
            co_await m_scheduler.sleep_for(limit);
            co_return failure(core::execution::failure_kind::timed_out,
                              core::execution::failure_proof::unknown);
        }
        scripted_answer next = std::move(answers.front());
        answers.pop_front();
        co_await m_scheduler.sleep_for(next.delay);
        if (next.failure) {
            co_return std::move(*next.failure);
        }
        opened_answer answer;
        answer.status = next.status;
        answer.headers.add("X-Response-Signature", next.signature);
        answer.is_event_stream = next.stream;
        answer.status_promises_not_run = next.status_promises_not_run;
        answer.body = std::make_unique<scripted_body>(m_scheduler, std::move(next.body),
                                                      open_bodies, body_bytes_read);
        co_return std::move(answer);
    }
    runtime::task<std::optional<coordination::rollout::engine_report>> report(engine_target target,
                                                                              std::string model,
                                                                              base::duration) {
        co_await m_scheduler.sleep_for(std::chrono::milliseconds(1));
        const auto found = reports.find(target.name.value);
        if (found == reports.end()) {
            co_return std::nullopt;
        }
        coordination::rollout::engine_report report = found->second;
        const auto version = model_versions.find({target.name.value, model});
        report.version = version == model_versions.end() ? report.version : version->second;
        co_return report;
    }
    runtime::task<coordination::rollout::order_answer> order(engine_target target,
                                                             weights_order wanted, base::duration) {
        orders.push_back(wanted);
        engines_ordered.push_back(target.name.value);
        co_await m_scheduler.sleep_for(std::chrono::milliseconds(1));
        auto& report = reports[target.name.value];
        const auto version = model_versions.find({target.name.value, wanted.model});
        (version == model_versions.end() ? report.version : version->second) = wanted.version;
        ++report.orders_taken;
        co_return coordination::rollout::order_answer::accepted;
    }

    std::deque<scripted_answer> answers;
    std::vector<std::string> engines;
    std::vector<dispatch> dispatches;
    std::vector<last_look> looks;  ///< Of each dispatch, once its connection was open.
    std::map<std::string, coordination::rollout::engine_report> reports;
    /// Versions by engine and model, of engines that have several; others have that of `reports`.
    std::map<std::pair<std::string, std::string>, std::uint64_t> model_versions;
    std::vector<weights_order> orders;
    std::vector<std::string> engines_ordered;  ///< Of each order.
    std::vector<base::duration> limits;        ///< Time limit of each dispatch.
    std::shared_ptr<int> open_bodies = std::make_shared<int>(0);
    /// Read from all bodies.
    std::shared_ptr<std::size_t> body_bytes_read = std::make_shared<std::size_t>(0);

  private:
    runtime::scheduler& m_scheduler;
};

static_assert(upstream<fake_upstream>);

/// Records the response.
class recorded_writer : public http::response_writer {
  public:
    explicit recorded_writer(runtime::scheduler& scheduler) : m_scheduler(scheduler) {}

    runtime::task<runtime::result<void, http::error>> send(http::response answer) override {
        ++final_answers;
        status = answer.status;
        headers = answer.headers;
        body = answer.body;
        co_return runtime::result<void, http::error>();
    }
    runtime::task<runtime::result<void, http::error>> begin_stream(
        unsigned begun_status, http::header_list begun_headers) override {
        ++streams;
        status = begun_status;
        headers = std::move(begun_headers);
        co_return runtime::result<void, http::error>();
    }
    runtime::task<runtime::result<void, http::error>> write(std::string chunk) override {
        body += chunk;
        co_return runtime::result<void, http::error>();
    }
    runtime::task<runtime::result<void, http::error>> end_stream() override {
        ++final_answers;
        co_return runtime::result<void, http::error>();
    }
    runtime::task<void> wait_closed() override {
        while (!closed) {
            co_await m_scheduler.sleep_for(std::chrono::milliseconds(1));
        }
    }
    void abort() override { aborted = true; }

    unsigned status = 0;
    http::header_list headers;
    std::string body;
    int streams = 0;
    int final_answers = 0;
    bool aborted = false;
    bool closed = false;

  private:
    runtime::scheduler& m_scheduler;
};

/// A relay service with two engines in one pool and one route of each kind.
struct relay_fixture {
    ferryroad::test::loopback loop;
    fake_upstream upstream{loop.scheduler};
    engine_registry registry;
    policy_source policies{
        policy_staleness_limits{std::chrono::seconds(3), std::chrono::seconds(2)}};
    core::placement::warm_state warm;
    core::placement::engine_load_view loads;
    engine_selection selection{registry, policies, warm, loads, selection_of()};
    canary_traffic releases{registry, {}};
    std::vector<relay_outcome> outcomes;
    relay_service<fake_upstream> service{
        {loop.scheduler, upstream, registry, selection, policies, {}, {}, &releases},
        settings_of(),
        [this](const relay_plan&, const relay_outcome& outcome) { outcomes.push_back(outcome); }};
    recorded_writer writer{loop.scheduler};

    relay_fixture() {
        policies.offer(declared());
        policies.confirm(loop.scheduler.now());
        registry.replace_all({listed("e1"), listed("e2")}, loop.scheduler.now());
        releases.engines_changed(loop.scheduler.now());
        releases.confirmed(loop.scheduler.now());
        selection.set_releases(releases);
    }

    static selection_settings selection_of() {
        selection_settings settings;
        settings.zone = base::zone_name("z");
        settings.outdated_limit = std::chrono::seconds(7);
        return settings;
    }
    static relay_settings settings_of() {
        relay_settings settings;
        settings.driver.min_silence_limit = std::chrono::milliseconds(30);
        settings.driver.latency_factor = 1.0;
        return settings;
    }
    static core::traffic::declaration declared(std::uint64_t version = 1) {
        core::traffic::declaration all;
        all.version = version;
        for (const auto& [prefix, kind, resumable] :
             {std::tuple("/safe/", core::traffic::request_kind::safe, false),
              std::tuple("/unsafe/", core::traffic::request_kind::unsafe, false),
              std::tuple("/stream/", core::traffic::request_kind::streaming, false),
              std::tuple("/resumable/", core::traffic::request_kind::streaming, true)}) {
            core::traffic::route one;
            one.name.value = prefix;
            one.host = "h";
            one.path_prefix = prefix;
            one.kind = kind;
            one.resumable = resumable;
            one.attempts = 2;
            one.timeout = std::chrono::milliseconds(300);
            one.target_latency = std::chrono::milliseconds(60);
            one.target_gap = std::chrono::milliseconds(20);
            one.pools = {{base::pool_name("p"), 1}};
            all.routes.push_back(std::move(one));
        }
        all.tenants = {{base::tenant_name("t"), {"key"}, std::nullopt, false}};
        return all;
    }
    static listed_engine listed(const char* name) {
        listed_engine one;
        one.name.value = name;
        one.pool.value = "p";
        one.address = {"127.0.0.1", static_cast<std::uint16_t>(1 + one.name.value.back())};
        one.zone.value = "z";
        one.slots = 8;
        return one;
    }
    /// Registers an engine with another software version and starts a trial of that version.
    void begin_trial() {
        namespace release = coordination::release;
        const base::monotonic_time now = loop.scheduler.now();
        const release::release_order order{release::order_number(7), base::pool_name("p"),
                                           release::software_version("v2"),
                                           std::chrono::seconds(12)};
        releases.order(order);
        listed_engine one = listed("n1");
        one.software = order.target;
        registry.put(one, now);
        releases.engines_changed(now);
        releases.told({order.pool, order.number, order.target, release::release_phase::trial}, now);
    }
    relay_call call(const std::string& path) const {
        relay_call one;
        one.id.value = "r1";
        one.host = "h";
        one.message.method = "POST";
        one.message.target = path + "x";
        one.api_key = "key";
        one.time_left = std::chrono::seconds(5);
        one.arrived = loop.scheduler.now();
        return one;
    }
    /// Serves one request to completion.
    void serve(relay_call one) {
        loop.context.restart();
        const bool ended = loop.run(
            [&]() -> runtime::task<void> { co_await service.handle(std::move(one), writer); });
        cr_assert(ended);
    }
    void answer(scripted_answer one) { upstream.answers.push_back(std::move(one)); }
};

}  // namespace ferryroad::relay::test
