/// @file
/// Carries out one relayed request: asks the execution state machine what to do, does it, and
/// tells it what came of it. Streams are passed on event by event and resumed inside the same
/// answer; other answers are passed on whole.
#pragma once

#include "ferryroad/core/admission/retry_allowance.hpp"
#include "ferryroad/core/execution/request_execution.hpp"
#include "ferryroad/core/stream/event_splitter.hpp"
#include "ferryroad/core/traffic/traffic_policy.hpp"
#include "ferryroad/http/server.hpp"
#include "ferryroad/quotas/quota_service.hpp"
#include "ferryroad/relay/begin_watch.hpp"
#include "ferryroad/relay/canary_traffic.hpp"
#include "ferryroad/relay/dispatch_grounds.hpp"
#include "ferryroad/relay/dispatch_log.hpp"
#include "ferryroad/relay/distance_meter.hpp"
#include "ferryroad/relay/engine_registry.hpp"
#include "ferryroad/relay/exchange_evidence.hpp"
#include "ferryroad/relay/policy_source.hpp"
#include "ferryroad/relay/refusal.hpp"
#include "ferryroad/relay/relay_plan.hpp"
#include "ferryroad/relay/request_quarantine.hpp"
#include "ferryroad/relay/selection.hpp"
#include "ferryroad/relay/stream_admission.hpp"
#include "ferryroad/relay/upstream.hpp"
#include "ferryroad/relay/waiting_requests.hpp"
#include "ferryroad/runtime/log.hpp"
#include "ferryroad/runtime/scheduler.hpp"

#include <boost/asio/experimental/awaitable_operators.hpp>

#include <algorithm>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>

namespace ferryroad::relay {

namespace execution = core::execution;

/// Gets the engine, the shared parts of the prompt, and how many tokens are expected to be
/// read anew.
using dispatch_sink = std::function<void(
    const base::engine_name&, const std::vector<core::prefix::scoped_part>&, std::uint64_t)>;

/// Counts a request against its tenant's limit over all routers.
using quota_counter = std::function<runtime::task<quotas::quota_decision>(
    const base::tenant_name&, const quotas::rate_limit&, double amount)>;

/// What requests are served with. All outlive the requests.
template <upstream Upstream>
struct relay_collaborators {
    runtime::scheduler& scheduler;
    Upstream& engines;
    engine_registry& registry;
    engine_selection& selection;
    const policy_source& policies;
    /// Told of each dispatch, where there is someone to tell.
    dispatch_sink dispatched;
    /// Asked for each request of a tenant with a limit; none holds without it.
    quota_counter count_quota;
    /// Chooses requests for versions on trial, and is told what came of them; may be null.
    canary_traffic* releases = nullptr;
    /// Holds requests back that end engines, and is told how exchanges end; may be null.
    request_quarantine* quarantine = nullptr;
    /// Counts bytes by their distance, where it is there.
    distance_meter* meter = nullptr;
};

/// How a request ended, for logs and metrics.
struct relay_outcome {
    std::optional<relay_refusal> refusal;  ///< Nothing where an engine's answer was passed on.
    unsigned status = 0;
    std::uint32_t dispatches = 0;
    std::uint32_t withdrawals = 0;     ///< Of these, that had not begun when they no longer might.
    bool quarantined_waiting = false;  ///< The last of them, for a quarantine.
    std::uint64_t events = 0;
    std::optional<base::duration> first_event;  ///< From the call's arrival.
    base::duration longest_gap{};               ///< Between two events.
    std::string engine;                         ///< The last one asked.
    double predicted_ms = 0;                    ///< What choosing it was estimated to cost.
    std::optional<std::uint64_t> weights;       ///< That the engine said it has.
    /// From the sending to the first event, of the last exchange that began; with a prompt only.
    std::optional<base::duration> begun_after;
    base::duration begin_bound{};  ///< Within what time that was expected.
    /// How long newer weights had been named as an exchange's first event came; the longest of all
    /// exchanges, nothing where all began on the newest.
    std::optional<base::duration> begun_outdated;
};

/// One request, from its selection to its final answer. Used from the event loop's thread.
template <upstream Upstream>
class relay_driver {
  public:
    relay_driver(const relay_collaborators<Upstream>& with, relay_plan plan,
                 core::admission::retry_allowance& budget, core::admission::load_shedder& shedder,
                 waiting_requests& waiting, http::response_writer& writer, driver_tunables tunables)
        : m_with(with),
          m_plan(std::move(plan)),
          m_budget(budget),
          m_writer(writer),
          m_tunables(tunables),
          m_admission(shedder, with.scheduler, m_plan),
          m_machine(rules_of(m_plan), limits_of(m_plan, tunables)),
          m_evidence(with.releases),
          m_watch(with.selection, with.policies, m_plan),
          m_grounds({with.scheduler, with.selection, with.policies, with.quarantine, waiting},
                    m_plan, m_watch),
          m_last_id(m_plan.call->last_event_id) {}

    /// Runs the request to its end, its final answer included. Exceptions end it early and are
    /// kept in; then, and where it is cancelled, call `interrupt`.
    runtime::task<void> run() {
        try {
            for (execution::action& wanted : m_machine.begin(m_with.scheduler.now())) {
                m_pending.push_back(std::move(wanted));
            }
            co_await work();
        } catch (...) {
            runtime::log_exception(component, std::current_exception());
        }
    }

    /// Ends a request that `run` left unfinished, and gives its final answer where someone
    /// waits for it.
    runtime::task<void> interrupt(execution::event happened) {
        m_outbox.clear();
        feed(happened);
        try {
            co_await work();
        } catch (...) {
            runtime::log_exception(component, std::current_exception());
        }
    }

    const relay_outcome& outcome() const { return m_outcome; }

  private:
    static constexpr std::string_view component = "relay.request";
    static constexpr unsigned first_failure_status = 500;

    runtime::task<void> work() {
        while (!m_machine.ended() || !m_pending.empty()) {
            if (m_pending.empty()) {
                co_await read_answer();
                continue;
            }
            const execution::action wanted = std::move(m_pending.front());
            m_pending.pop_front();
            co_await perform(wanted);
        }
    }

    void feed(const execution::event& happened) {
        auto wanted = m_machine.handle(happened, m_with.scheduler.now(), m_budget);
        for (execution::action& each : wanted) {
            m_pending.push_back(std::move(each));
        }
    }

    runtime::task<void> perform(const execution::action& wanted) {
        if (const auto* selection = std::get_if<execution::select_engine>(&wanted)) {
            select(*selection);
        } else if (const auto* attempt = std::get_if<execution::dispatch_attempt>(&wanted)) {
            co_await open(*attempt);
        } else if (std::holds_alternative<execution::cancel_attempt>(wanted)) {
            end_exchange();
        } else if (const auto* given_up = std::get_if<execution::refuse>(&wanted)) {
            end_exchange();
            co_await refuse(to_relay_refusal(*given_up));
        } else if (std::holds_alternative<execution::finish>(wanted)) {
            co_await finish();
        }
    }

    // ---- Selection and dispatch ----

    /// Only a request's first dispatch may go to a version on trial; where that has no engine for
    /// it, it goes to the version in force.
    std::optional<selected_engine> place(selection_query query, base::monotonic_time now) {
        const bool first = m_outcome.dispatches == 0 && !m_plan.call->last_event_id;
        query.canary = first && m_with.releases != nullptr &&
                       m_with.releases->choose(m_plan.pool, m_plan.on->name, now);
        if (query.canary) {
            if (auto chosen = m_with.selection.select(query, now)) {
                return chosen;
            }
            m_with.releases->give_back(m_plan.pool, m_plan.on->name);
            query.canary = false;
        }
        return m_with.selection.select(query, now);
    }

    void select(const execution::select_engine& wanted) {
        const base::monotonic_time now = m_with.scheduler.now();
        const selection_query query = query_of(m_plan, wanted.excluded);
        if (m_outcome.dispatches == 0 && m_admission.refuses()) {
            feed(execution::selection_failed{
                execution::selection_problem::deadline_too_near,
                std::max(m_tunables.retry_after, m_admission.retry_after())});
            return;
        }
        std::optional<selected_engine> chosen;
        if (m_grounds.key_holds() && !m_grounds.is_held_back()) {
            chosen = place(query, now);
        }
        if (!chosen) {
            feed(execution::selection_failed{execution::selection_problem::no_engine,
                                             m_tunables.retry_after});
            return;
        }
        m_selected = std::move(*chosen);
        feed(execution::engine_selected{{m_selected.target.name, {}}});
    }

    /// Time has passed since the engine was chosen, as a connection to it was opened.
    last_look look_again() {
        const base::monotonic_time now = m_with.scheduler.now();
        const auto lost = m_grounds.lost_before_sending(m_selected, asked_engine(), now);
        m_handed_over = m_handed_over || !lost;
        return {lost, m_watch.time_for_engine(now)};
    }

    dispatch terms_of(const execution::dispatch_attempt& attempt) {
        dispatch sent;
        sent.look_again = [this] { return look_again(); };
        sent.call = m_plan.call;
        sent.time_left = m_watch.time_for_engine(m_with.scheduler.now());
        if (m_plan.tenant != nullptr) {
            sent.tenant = m_plan.tenant->name;
        }
        sent.expected_version = m_selected.expected_version;
        sent.cache_scope = m_selected.cache_scope;
        sent.fetch_state_from = m_selected.fetch_state_from;
        sent.save_state_to = m_selected.save_state_to;
        sent.priority = m_plan.priority;
        sent.resume_after = m_last_id;
        // Kept connections may all have broken with the last one; what an engine refused says
        // nothing of them.
        sent.fresh_connection = attempt.attempt.value > 1 && m_lost_connection;
        return sent;
    }

    runtime::task<void> open(execution::dispatch_attempt attempt) {
        const base::monotonic_time now = m_with.scheduler.now();
        m_exchange = attempt.exchange;
        m_exchange_began = now;
        m_handed_over = false;
        m_watch.sent(m_selected, now);
        m_exchange_events = 0;
        ++m_outcome.dispatches;
        if (m_outcome.events == 0) {
            m_admission.sent();
        }
        m_outcome.engine = m_selected.target.name.value;
        m_outcome.predicted_ms = m_selected.cost_ms;
        m_load.emplace(m_with.registry, m_selected.target.name, m_selected.prefill_tokens,
                       is_repeatable(*m_plan.on));
        const known_engine* engine = m_with.registry.find(m_selected.target.name);
        m_engine_born = engine == nullptr ? std::nullopt : engine->listed.born;
        m_evidence.begin(m_plan, engine, expected_reading(), now);
        const auto parts = m_with.selection.record_dispatch(*m_plan.call, m_selected, now);
        if (m_with.dispatched) {
            m_with.dispatched(m_selected.target.name, parts, m_selected.prefill_tokens);
        }
        log_dispatch(m_plan, m_selected, attempt.attempt,
                     {now, m_with.policies.age(now), m_with.registry.age(now)});
        log_prompt(m_plan, m_selected, parts);
        engine_target target = m_selected.target;
        meter(traffic_kind::request, size_of(m_plan.call->message));
        if (m_with.meter != nullptr && m_selected.moved_bytes > 0) {
            m_with.meter->add(traffic_kind::state_moved, m_selected.moved_over,
                              static_cast<std::uint64_t>(m_selected.moved_bytes));
        }
        dispatch sent = terms_of(attempt);
        auto opened = co_await open_while_grounds_hold(std::move(target), std::move(sent));
        if (!opened) {
            note_failure(opened.error());
            co_return;
        }
        if (!m_plan.call->prompt) {
            const base::monotonic_time opened_at = m_with.scheduler.now();
            m_with.selection.record_way(m_selected.zone, opened_at - now, opened_at);
        }
        saw_version(opened->version);
        m_answer = std::move(*opened);
        if (!m_answer->is_event_stream) {
            m_watch.answered(m_with.scheduler.now());
        }
        m_whole.clear();
        m_splitter = core::stream::event_splitter();
        feed(execution::exchange_started{m_exchange});
    }

    using open_result = runtime::result<opened_answer, dispatch_failure>;

    runtime::task<open_result> open_while_grounds_hold(engine_target target, dispatch sent) {
        using boost::asio::experimental::awaitable_operators::operator||;
        const base::duration limit = patience();
        auto opening = m_with.engines.open(std::move(target), std::move(sent), limit);
        if (!m_grounds.can_be_lost()) {
            co_return co_await std::move(opening);
        }
        auto first = co_await (std::move(opening) || m_grounds.until_lost());
        if (first.index() == 0) {
            co_return std::get<0>(std::move(first));
        }
        co_return failure_for(std::get<1>(first));
    }

    /// @return how a dispatch ends whose ground went while it waited, or while its connection was
    /// opened: then the engine knows nothing of it.
    dispatch_failure failure_for(dispatch_ground lost) const {
        if (!m_handed_over && lost != dispatch_ground::engine_serves) {
            return withheld_for(lost);
        }
        dispatch_failure withdrawn;
        withdrawn.kind = execution::failure_kind::timed_out;
        withdrawn.message = "withdrawn";
        withdrawn.withdrawn = lost;
        return withdrawn;
    }

    base::duration patience() const {
        return m_watch.patience(silence_limit(), m_tunables.refusal_wait, m_with.scheduler.now());
    }

    /// @return how long the engine may stay silent before it is given up.
    base::duration silence_limit() const {
        const base::duration left =
            std::max(m_plan.deadline - m_with.scheduler.now(), base::duration{});
        const bool may_go_elsewhere =
            is_repeatable(*m_plan.on) && m_outcome.dispatches < m_plan.on->attempts;
        if (!may_go_elsewhere) {
            return left;
        }
        const bool streaming = m_outcome.events > 0;
        const double share = streaming ? m_tunables.gap_factor : m_tunables.silence_share;
        const base::duration target = streaming ? m_plan.on->target_gap : m_plan.on->target_latency;
        const base::duration allowed = base::from_seconds(base::to_seconds(target) * share);
        const base::duration reading = streaming ? base::duration{} : expected_reading();
        return std::min(left, std::max(allowed, m_tunables.least_silence) + reading);
    }

    /// A long prompt takes its time: another engine would have to read it, too.
    base::duration expected_reading() const {
        return base::from_seconds(static_cast<double>(m_selected.prefill_tokens) /
                                  m_tunables.prefill_tokens_per_second);
    }

    static std::uint64_t size_of(const http::request& message) {
        std::uint64_t size = message.target.size() + message.body.size();
        for (const http::header& one : message.headers.entries()) {
            size += one.name.size() + one.value.size();
        }
        return size;
    }

    void meter(traffic_kind kind, std::uint64_t bytes) {
        if (m_with.meter != nullptr) {
            m_with.meter->add(kind, m_selected.away, bytes);
        }
    }

    void saw_version(const std::optional<std::uint64_t>& version) {
        if (version && m_plan.call->prompt) {
            m_outcome.weights = version;
            m_with.registry.saw_version(m_selected.target.name, m_plan.call->prompt->model,
                                        *version);
        }
    }

    /// The engine has begun with the request, under the weights that it said in its answer's head.
    void note_beginning(base::monotonic_time now) {
        const auto outdated = m_watch.begun(m_answer->version, now);
        if (m_plan.call->prompt) {
            m_outcome.begun_after = m_watch.since_sent(now);
            m_outcome.begin_bound = m_selected.begin_bound;
        }
        if (outdated) {
            const base::duration before = m_outcome.begun_outdated.value_or(base::duration{});
            m_outcome.begun_outdated = std::max(before, *outdated);
        }
    }

    bool has_outdated_weights(const known_engine& engine) const {
        if (!m_plan.call->prompt) {
            return false;
        }
        const std::string& model = m_plan.call->prompt->model;
        return engine.version_of(model) < m_with.policies.versions_of(model).newest();
    }

    /// The request has not begun, and may no longer. Where the engine didn't say so itself, the
    /// connection is closed, so that it forgets the request. That it waits says nothing against the
    /// engine, nor that it said so.
    void withdraw(dispatch_ground lost, execution::failure_proof proof) {
        const base::monotonic_time now = m_with.scheduler.now();
        m_lost_connection = false;
        log_withdrawal(m_plan, m_selected, lost, m_watch.since_sent(now), now);
        ++m_outcome.withdrawals;
        if (lost == dispatch_ground::no_quarantine) {
            m_outcome.quarantined_waiting = true;
            m_with.quarantine->withdrawn(m_selected.target.name,
                                         {m_plan.identity, m_exchange_began, m_plan.deadline});
        } else {
            m_watch.withdrawn(now);
        }
        end_exchange();
        feed(execution::exchange_failed{m_exchange, execution::failure_kind::timed_out, proof,
                                        std::nullopt});
    }

    void note_failure(const dispatch_failure& failure) {
        const base::monotonic_time now = m_with.scheduler.now();
        if (failure.withdrawn) {
            withdraw(*failure.withdrawn, failure.proof);
            return;
        }
        // What was withheld was never there to be withdrawn, and costs no retry.
        if (!failure.lost && m_watch.may_no_longer_begin(now)) {
            withdraw(dispatch_ground::engine_serves, failure.proof);
            return;
        }
        const bool streaming = m_answer && m_answer->is_event_stream;
        m_evidence.failed(failure, streaming, now < m_plan.deadline, now);
        if (failure.lost) {
            take_back_dispatch();
        } else {
            m_lost_connection = failure.proof != execution::failure_proof::not_run;
        }
        saw_version(failure.version);
        if (known_engine* engine = asked_engine()) {
            blame(*engine, failure, has_outdated_weights(*engine), m_tunables, now);
        }
        runtime::log(runtime::log_level::warning, component,
                     failure.lost ? "not sent after all" : "dispatch failed",
                     {{"request_id", m_plan.call->id.value},
                      {"digest", core::quarantine::to_string(m_plan.identity)},
                      {"engine", m_selected.target.name.value},
                      {"reason", failure.message},
                      {"lost", failure.lost ? std::string(to_string(*failure.lost)) : "none"},
                      {"events", std::to_string(m_exchange_events)},
                      {"running", std::to_string(running_there())},
                      {"after_ms", std::to_string(base::to_milliseconds(now - m_exchange_began))}});
        if (failure.kind == execution::failure_kind::broken) {
            note_break();
        }
        end_exchange();
        feed(execution::exchange_failed{m_exchange, failure.kind, failure.proof,
                                        failure.retry_after});
    }

    /// Nothing was sent: the dispatch counts for nothing.
    void take_back_dispatch() {
        --m_outcome.dispatches;
        if (m_selected.canary) {
            m_with.releases->give_back(m_plan.pool, m_plan.on->name);
        }
    }

    /// The engine may have ended under this request, unless it was about to leave.
    void note_break() {
        const known_engine* listed = m_with.registry.find(m_selected.target.name);
        if (m_with.quarantine == nullptr || listed == nullptr || listed->listed.leaving) {
            return;
        }
        m_grounds.exchange_broke();
        const base::duration taken = m_with.scheduler.now() - m_exchange_began;
        broken_exchange how;
        how.silent = m_exchange_events == 0 && taken >= m_tunables.least_run;
        // A row that lapsed and came back is no new process.
        how.replaced = m_engine_born && listed->listed.born && m_engine_born != listed->listed.born;
        how.began = m_exchange_began;
        m_with.quarantine->exchange_broke(m_selected.target, m_plan.identity, how);
    }

    /// @return the engine of the exchange under way, or null where its process is no longer
    /// listed: what is still on its way from it says nothing of the next one.
    known_engine* asked_engine() const { return m_load ? m_load->engine() : nullptr; }

    /// @return this router's requests at the engine of the exchange, this one included.
    std::uint32_t running_there() const {
        const known_engine* engine = asked_engine();
        return engine == nullptr ? 0 : engine->running;
    }

    void fail_exchange(execution::failure_kind kind, std::string message) {
        note_failure({kind, execution::failure_proof::unknown, std::nullopt, std::nullopt,
                      std::move(message)});
    }

    void end_exchange() {
        m_admission.ended();
        m_answer.reset();
        m_load.reset();
    }

    // ---- The answer ----

    runtime::task<void> read_answer() {
        auto read = co_await next_while_grounds_hold();
        if (const auto* lost = std::get_if<dispatch_ground>(&read)) {
            note_failure(failure_for(*lost));
            co_return;
        }
        auto& bytes = std::get<read_bytes>(read);
        if (!bytes) {
            const bool late = bytes.error().code == http::error_code::timed_out;
            fail_exchange(
                late ? execution::failure_kind::timed_out : execution::failure_kind::broken,
                bytes.error().message);
            co_return;
        }
        if (*bytes) {
            meter(traffic_kind::answer, (*bytes)->size());
        }
        if (m_answer->is_event_stream) {
            co_await take_stream(*bytes);
        } else {
            take_whole(*bytes);
        }
    }

    using read_bytes = http::result<std::optional<std::string>>;

    /// A stream's head may come long before its first event: until then the request waits.
    runtime::task<std::variant<read_bytes, dispatch_ground>> next_while_grounds_hold() {
        using boost::asio::experimental::awaitable_operators::operator||;
        auto next = m_answer->body->next(patience());
        if (!m_grounds.can_be_lost()) {
            co_return co_await std::move(next);
        }
        co_return co_await (std::move(next) || m_grounds.until_lost());
    }

    void take_whole(const std::optional<std::string>& bytes) {
        if (bytes) {
            m_whole += *bytes;
            if (m_whole.size() > m_tunables.answer_bytes) {
                fail_exchange(execution::failure_kind::broken, "the answer is too large");
            }
            return;
        }
        m_kept = http::response{m_answer->status, m_answer->headers, std::move(m_whole)};
        m_evidence.answered(m_answer->status, m_with.scheduler.now());
        note_success();
        end_exchange();
        if (m_kept->status >= first_failure_status && is_repeatable(*m_plan.on)) {
            feed(execution::exchange_failed{m_exchange, execution::failure_kind::engine_failure,
                                            execution::failure_proof::unknown, std::nullopt});
            return;
        }
        feed(execution::exchange_ended{m_exchange, m_machine.emitted_tokens()});
    }

    runtime::task<void> take_stream(const std::optional<std::string>& bytes) {
        if (!bytes) {
            if (m_splitter.in_event()) {
                fail_exchange(execution::failure_kind::broken, "the stream ends inside an event");
                co_return;
            }
            if (!m_begun) {
                // A caller that resumes after the last event is sent no further one.
                m_kept = http::response{m_answer->status, m_answer->headers, {}};
            }
            m_evidence.answered(m_answer->status, m_with.scheduler.now());
            m_watch.ended(m_with.scheduler.now());
            note_success();
            end_exchange();
            feed(execution::exchange_ended{m_exchange, m_machine.emitted_tokens()});
            co_return;
        }
        bool sound = m_splitter.held_bytes() < m_tunables.answer_bytes;
        for (core::stream::whole_event& event : m_splitter.feed(*bytes)) {
            sound = sound && follows(event);
            if (!sound) {
                break;
            }
            take_event(event);
        }
        co_await flush();
        if (!sound) {
            fail_exchange(execution::failure_kind::broken, "the stream's events are out of order");
        }
    }

    bool follows(const core::stream::whole_event& event) const {
        return !event.id || !m_last_id || *event.id == *m_last_id + 1;
    }

    void take_event(const core::stream::whole_event& event) {
        if (event.id) {
            m_last_id = event.id;
        }
        const base::monotonic_time now = m_with.scheduler.now();
        if (m_outcome.events == 0) {
            m_outcome.first_event = now - m_plan.call->arrived;
            m_admission.answered();
        } else {
            m_outcome.longest_gap = std::max(m_outcome.longest_gap, now - m_last_event_at);
        }
        m_last_event_at = now;
        m_evidence.event(now);
        if (m_load) {
            m_load->prefilled();
        }
        if (m_exchange_events == 0) {
            note_beginning(now);
        }
        ++m_outcome.events;
        ++m_exchange_events;
        m_outbox += event.bytes;
        feed(execution::token_received{m_exchange, m_machine.emitted_tokens()});
    }

    runtime::task<void> flush() {
        if (m_outbox.empty()) {
            co_return;
        }
        if (!m_begun) {
            m_begun = true;
            m_outcome.status = m_answer->status;
            http::header_list headers = m_answer->headers;
            const auto begun = co_await m_writer.begin_stream(m_answer->status, std::move(headers));
            if (!begun) {
                feed(execution::caller_gone{});
                co_return;
            }
        }
        std::string events = std::exchange(m_outbox, {});
        const auto written = co_await m_writer.write(std::move(events));
        if (!written) {
            feed(execution::caller_gone{});
        }
    }

    void note_success() {
        if (known_engine* engine = asked_engine()) {
            engine->health.record_success();
        }
        if (m_with.quarantine != nullptr) {
            m_with.quarantine->ended_well(m_plan.identity);
        }
    }

    // ---- The end ----

    runtime::task<void> finish() {
        if (m_begun) {
            m_with.selection.record_gap(m_plan.pool, m_outcome.longest_gap, m_plan.on->target_gap);
            co_await m_writer.end_stream();
            co_return;
        }
        co_await send(*m_kept);
    }

    /// @param answer outlives the returned coroutine.
    runtime::task<void> send(const http::response& answer) {
        m_outcome.status = answer.status;
        http::response sent = answer;
        co_await m_writer.send(std::move(sent));
    }

    /// The caller is to know why no engine gets the request any more, and when one may.
    void name_quarantine(relay_refusal& refusal) const {
        const bool unserved = refusal.cause == refusal_cause::no_engine ||
                              refusal.cause == refusal_cause::engine_failed;
        const auto* held = unserved ? m_grounds.quarantine() : nullptr;
        if (held != nullptr) {
            refusal.cause = refusal_cause::quarantined;
            refusal.retry_after = held->until - m_with.scheduler.now();
        }
    }

    runtime::task<void> refuse(relay_refusal refusal) {
        const bool out_of_time = m_with.scheduler.now() >= m_plan.deadline;
        if (out_of_time && refusal.cause == refusal_cause::engine_failed) {
            refusal.cause = refusal_cause::deadline_exceeded;
        }
        name_quarantine(refusal);
        m_outcome.refusal = refusal;
        if (refusal.cause == refusal_cause::caller_gone || m_begun) {
            m_writer.abort();  // A stream that was cut short must not look complete.
            co_return;
        }
        if (m_kept) {
            co_await send(*m_kept);  // The engine's own failure says more than ours.
            co_return;
        }
        const http::response answer = answer_of(refusal);
        co_await send(answer);
    }

    relay_collaborators<Upstream> m_with;
    relay_plan m_plan;
    core::admission::retry_allowance& m_budget;
    http::response_writer& m_writer;
    driver_tunables m_tunables;
    stream_admission m_admission;
    core::execution::request_execution m_machine;
    exchange_evidence m_evidence;
    begin_watch m_watch;
    dispatch_grounds m_grounds;
    std::deque<execution::action> m_pending;
    selected_engine m_selected;
    std::optional<engine_load> m_load;
    execution::exchange_number m_exchange;
    base::monotonic_time m_exchange_began{};
    std::uint64_t m_exchange_events = 0;
    std::optional<std::uint64_t> m_engine_born;  ///< Of the process asked.
    std::optional<opened_answer> m_answer;
    core::stream::event_splitter m_splitter;
    std::string m_whole;                   ///< Of an answer that is no stream, so far.
    std::optional<http::response> m_kept;  ///< The last whole answer of an engine.
    std::string m_outbox;                  ///< Events not yet passed on.
    std::optional<std::uint64_t> m_last_id;
    base::monotonic_time m_last_event_at{};
    bool m_begun = false;            ///< The caller has the answer's head.
    bool m_handed_over = false;      ///< Some byte of the dispatch may have left this router.
    bool m_lost_connection = false;  ///< The last failure was no answer of an engine.
    relay_outcome m_outcome;
};

}  // namespace ferryroad::relay
