/// @file
/// Executes one relayed request: performs the actions of the execution state machine and feeds the
/// results back to it. Streams are forwarded event by event and, if they are resumed at another
/// engine, continued within the same response; other answers are forwarded once they are complete.
#pragma once

#include "ferryroad/core/admission/retry_allowance.hpp"
#include "ferryroad/core/execution/request_execution.hpp"
#include "ferryroad/core/reachability/engine_paths.hpp"
#include "ferryroad/core/stream/event_splitter.hpp"
#include "ferryroad/core/traffic/traffic_policy.hpp"
#include "ferryroad/http/server.hpp"
#include "ferryroad/quotas/quota_service.hpp"
#include "ferryroad/relay/answer_body.hpp"
#include "ferryroad/relay/canary_traffic.hpp"
#include "ferryroad/relay/dispatch_log.hpp"
#include "ferryroad/relay/dispatch_preconditions.hpp"
#include "ferryroad/relay/engine_limits.hpp"
#include "ferryroad/relay/engine_registry.hpp"
#include "ferryroad/relay/engine_slots.hpp"
#include "ferryroad/relay/exchange_evidence.hpp"
#include "ferryroad/relay/exchange_timing.hpp"
#include "ferryroad/relay/policy_source.hpp"
#include "ferryroad/relay/refusal.hpp"
#include "ferryroad/relay/relay_dependencies.hpp"
#include "ferryroad/relay/relay_outcome.hpp"
#include "ferryroad/relay/relay_plan.hpp"
#include "ferryroad/relay/request_quarantine.hpp"
#include "ferryroad/relay/selection.hpp"
#include "ferryroad/relay/stream_admission.hpp"
#include "ferryroad/relay/stream_origins.hpp"
#include "ferryroad/relay/traffic_meter.hpp"
#include "ferryroad/relay/upstream.hpp"
#include "ferryroad/relay/waiting_requests.hpp"
#include "ferryroad/runtime/log.hpp"
#include "ferryroad/runtime/memory_budget.hpp"
#include "ferryroad/runtime/scheduler.hpp"

#include <boost/asio/experimental/awaitable_operators.hpp>

#include <algorithm>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>

namespace ferryroad::relay {

namespace execution = core::execution;

/// Runs one request from the selection of an engine to the final response. Used from the event
/// loop's thread.
template <upstream Upstream>
class relay_driver {
  public:
    relay_driver(const relay_dependencies<Upstream>& dependencies, relay_plan plan,
                 core::admission::retry_allowance& budget, core::admission::load_shedder& shedder,
                 waiting_requests& waiting, http::response_writer& writer, driver_tunables tunables)
        : m_dependencies(dependencies),
          m_plan(std::move(plan)),
          m_budget(budget),
          m_writer(writer),
          m_tunables(tunables),
          m_admission(shedder, dependencies.scheduler, m_plan),
          m_machine(rules_of(m_plan), limits_of(m_plan, tunables)),
          m_evidence(dependencies.releases),
          m_timing(dependencies.selection, dependencies.policies, m_plan),
          m_preconditions({dependencies.scheduler, dependencies.selection, dependencies.policies,
                           dependencies.quarantine, waiting},
                          m_plan, m_timing),
          m_body(dependencies.memory, dependencies.scheduler, tunables.max_answer_bytes),
          m_last_id(m_plan.call->last_event_id),
          m_begun_at(m_plan.begun_at) {
        m_outcome.begun_at = m_begun_at;
    }

    /// Runs the request until its final response has been sent. Exceptions are logged and end it
    /// early, without a response; call `interrupt` then, and if it was cancelled.
    runtime::task<void> run() {
        try {
            for (execution::action& action : m_machine.begin(m_dependencies.scheduler.now())) {
                m_pending.push_back(std::move(action));
            }
            co_await run_actions();
        } catch (...) {
            runtime::log_exception(component, std::current_exception());
        }
    }

    /// Ends a request that `run` left unfinished and sends the final response unless the caller has
    /// gone.
    runtime::task<void> interrupt(execution::event event) {
        m_outbox.clear();
        if (m_unfinished) {
            // The request had ended, but `run` was cancelled before its response was sent.
            m_pending.push_front(*m_unfinished);
            m_unfinished.reset();
        }
        feed(event);
        try {
            co_await run_actions();
        } catch (...) {
            runtime::log_exception(component, std::current_exception());
        }
    }

    /// @return how the request ended; complete once `run` or `interrupt` has returned.
    const relay_outcome& outcome() const { return m_outcome; }

  private:
    static constexpr std::string_view component = "relay.request";
    static constexpr unsigned first_failure_status = 500;

    runtime::task<void> run_actions() {
        while (!m_machine.ended() || !m_pending.empty()) {
            if (m_pending.empty()) {
                co_await read_answer();
                continue;
            }
            const execution::action action = std::move(m_pending.front());
            m_pending.pop_front();
            if (ends_request(action)) {
                m_unfinished = action;
            }
            co_await perform(action);
            m_unfinished.reset();
        }
    }

    static bool ends_request(const execution::action& action) {
        return std::holds_alternative<execution::refuse>(action) ||
               std::holds_alternative<execution::finish>(action);
    }

    void feed(const execution::event& event) {
        auto actions = m_machine.handle(event, m_dependencies.scheduler.now(), m_budget);
        for (execution::action& action : actions) {
            m_pending.push_back(std::move(action));
        }
    }

    runtime::task<void> perform(const execution::action& action) {
        if (const auto* selection = std::get_if<execution::select_engine>(&action)) {
            co_await select(*selection);
        } else if (const auto* attempt = std::get_if<execution::dispatch_attempt>(&action)) {
            co_await open(*attempt);
        } else if (std::holds_alternative<execution::cancel_attempt>(action)) {
            end_exchange();
        } else if (const auto* refusal = std::get_if<execution::refuse>(&action)) {
            end_exchange();
            co_await refuse(to_relay_refusal(*refusal));
        } else if (std::holds_alternative<execution::finish>(action)) {
            co_await finish();
        }
    }

    // ---- Selection and dispatch ----

    /// Only a request's first dispatch may go to a version on trial; if no engine with that version
    /// is available, it goes to the current version.
    std::optional<selected_engine> choose_engine(selection_query query, base::monotonic_time now) {
        query.begin_at = versions_to_begin_at();
        const bool first = m_outcome.dispatches == 0 && !m_plan.call->last_event_id &&
                           !m_begun_at && !m_waited_for_room;
        query.canary =
            first && m_dependencies.releases != nullptr &&
            m_dependencies.releases->choose(m_plan.pool, m_plan.matched_route->name, now);
        if (query.canary) {
            if (auto chosen = m_dependencies.selection.select(query, now)) {
                return chosen;
            }
            m_dependencies.releases->give_back(m_plan.pool, m_plan.matched_route->name);
            query.canary = false;
        }
        return m_dependencies.selection.select(query, now);
    }

    /// @return the software versions at which the request may begin; nothing if at any.
    std::optional<std::set<coordination::release::software_version>> versions_to_begin_at() const {
        const bool streams = m_plan.matched_route->kind == core::traffic::request_kind::streaming;
        return m_dependencies.origins != nullptr && streams && !m_begun_at
                   ? m_dependencies.origins->versions_to_begin_at(m_plan.pool)
                   : std::nullopt;
    }

    runtime::task<void> select(const execution::select_engine& selection) {
        if (m_outcome.dispatches == 0 && m_admission.refuses()) {
            feed(execution::selection_failed{
                execution::selection_problem::deadline_too_near,
                std::max(m_tunables.retry_after, m_admission.retry_after())});
            co_return;
        }
        bool selected = false;
        if (may_be_sent() && !m_last_event_unnumbered) {
            selection_query query = query_of(m_plan, selection.excluded);
            query.software = m_begun_at;
            query.may_be_withdrawn = m_machine.may_repeat_next_attempt();
            query.was_sent_before = m_outcome.dispatches > 0;
            selected = co_await select_with_room(query);
            if (!selected && m_begun_at) {
                selected = co_await select_for_continuation(std::move(query));
            }
        }
        if (!selected) {
            feed(execution::selection_failed{execution::selection_problem::no_engine,
                                             m_tunables.retry_after});
            co_return;
        }
        feed(execution::engine_selected{{m_selected.target.name, {}}});
    }

    bool may_be_sent() const {
        return m_preconditions.key_is_valid() && !m_preconditions.is_held_back();
    }

    /// Selects an engine. If those of the pool limit their rejections and none has room, waits a
    /// little until one has.
    runtime::task<bool> select_with_room(selection_query query) {
        const base::monotonic_time began = m_dependencies.scheduler.now();
        const base::duration target = m_plan.matched_route->target_latency;
        limit_wait_for_room(
            began, base::from_seconds(base::to_seconds(target) * m_tunables.room_wait_share));
        m_slots_refused = 0;
        for (;;) {
            const bool selected = co_await select_permitted(query);
            if (selected || !limits_rejections() || !may_ask_for_slot()) {
                log_wait_for_room(selected, m_dependencies.scheduler.now() - began);
                co_return selected;
            }
            m_waited_for_room = true;
            const double spread = 0.5 + m_dependencies.scheduler.random().unit();
            co_await m_dependencies.scheduler.sleep_for(
                base::from_seconds(base::to_seconds(m_tunables.room_check_interval) * spread));
        }
    }

    void limit_wait_for_room(base::monotonic_time began, base::duration longest) {
        m_wait_for_room_until = began + longest;
        m_waits_for_slot_from = began + base::from_seconds(base::to_seconds(longest) *
                                                           m_tunables.longest_share_without_wait);
    }

    bool may_ask_for_slot() const {
        const bool in_time = m_dependencies.scheduler.now() < m_wait_for_room_until;
        return m_slots_refused < m_tunables.max_slot_attempts &&
               (in_time || (m_slots_refused == 0 && !m_waited_for_room));
    }

    void log_wait_for_room(bool selected, base::duration waited) const {
        if (m_slots_refused == 0 && !m_waited_for_room) {
            return;
        }
        runtime::log(runtime::log_level::info, component, "waited for a slot of an engine",
                     {{"request_id", m_plan.call->id.value},
                      {"pool", m_plan.pool.value},
                      {"refusals", std::to_string(m_slots_refused)},
                      {"waited_ms", std::to_string(base::to_milliseconds(waited))},
                      {"engine", selected ? m_selected.target.name.value : "none"}});
    }

    /// Selects an engine for a stream that was begun. Few engines may have its software version, so
    /// those that failed before are considered again, and engines that recover are waited for.
    runtime::task<bool> select_for_continuation(selection_query query) {
        query.excluded.clear();
        const base::monotonic_time until = std::min(
            m_plan.deadline, m_dependencies.scheduler.now() + m_tunables.continuation_wait);
        limit_wait_for_room(m_dependencies.scheduler.now(), until - m_dependencies.scheduler.now());
        const auto backoff_end = first_backoff_end();
        while (m_dependencies.scheduler.now() < until && may_be_sent() &&
               (!backoff_end || *backoff_end < until) &&
               m_dependencies.selection.has_engine_with(m_plan.pool, *m_begun_at)) {
            co_await m_dependencies.scheduler.sleep_for(m_tunables.continuation_check_interval);
            m_slots_refused = 0;
            if (co_await select_permitted(query)) {
                co_return true;
            }
        }
        co_return false;
    }

    /// @return when the first engine that may serve the request takes requests again; nothing if
    /// one does at present.
    std::optional<base::monotonic_time> first_backoff_end() const {
        return m_dependencies.selection.backoff_end(m_plan.pool, m_begun_at,
                                                    m_dependencies.scheduler.now());
    }

    bool limits_rejections() const {
        return m_dependencies.registry.rejection_limit(m_plan.pool).has_value();
    }

    /// Selects an engine, and asks for a permit if it has a request limit, and for a slot if it
    /// limits its rejections. After too many refused permits only engines without a limit are
    /// selected.
    /// @return whether `m_selected` may get the request.
    runtime::task<bool> select_permitted(selection_query query) {
        const std::uint32_t refused_before = m_slots_refused;
        std::uint32_t permits_refused = 0;
        while (may_ask_for_slot() &&
               m_slots_refused - refused_before < m_tunables.slot_attempts_per_selection) {
            query.without_limit = permits_refused >= m_tunables.max_permit_attempts;
            auto chosen = choose_engine(query, m_dependencies.scheduler.now());
            if (!chosen) {
                co_return false;
            }
            m_selected = std::move(*chosen);
            co_await acquire_permit();
            if (m_permit.granted) {
                co_await acquire_slot();
            }
            if (m_permit.granted && m_slot.granted) {
                co_return true;
            }
            permits_refused += m_permit.granted ? 0 : 1;
            undo_canary();
        }
        co_return false;
    }

    /// Asks for a permit to send the request to the selected engine.
    runtime::task<void> acquire_permit() {
        m_permit = {};
        if (m_dependencies.limits != nullptr) {
            base::engine_name name = m_selected.target.name;
            base::request_id id = m_plan.call->id;
            m_permit = co_await m_dependencies.limits->acquire(std::move(name), std::move(id));
        }
    }

    /// Asks for a slot of the selected engine. The first engines are not waited for, as another one
    /// may have room.
    runtime::task<void> acquire_slot() {
        m_slot = {};
        if (m_dependencies.slots == nullptr) {
            co_return;
        }
        const base::monotonic_time now = m_dependencies.scheduler.now();
        const base::duration left = m_wait_for_room_until - now;
        const bool waits = m_slots_refused >= m_tunables.slot_attempts_without_wait ||
                           now >= m_waits_for_slot_from;
        const base::duration wait = waits ? std::max(left, base::duration{}) : base::duration{};
        base::engine_name name = m_selected.target.name;
        m_slot = co_await m_dependencies.slots->acquire(std::move(name), wait);
        m_slots_refused += m_slot.granted || m_slot.by_own_share ? 0 : 1;
    }

    /// Checks the preconditions again, as opening the connection took time since the engine was
    /// selected.
    last_look check_before_sending() {
        const base::monotonic_time now = m_dependencies.scheduler.now();
        known_engine* engine = current_engine();
        auto lost = m_preconditions.lost_before_sending(m_selected, engine, now);
        if (!lost && m_dependencies.limits != nullptr) {
            if (m_dependencies.limits->lacks_permit(*engine, m_permit)) {
                lost = dispatch_precondition::within_limit;
            } else if (!m_may_be_sent) {
                m_dependencies.limits->record_sent(*engine, m_permit);
            }
        }
        m_may_be_sent = m_may_be_sent || !lost;
        return {lost, m_timing.time_for_engine(now)};
    }

    dispatch make_dispatch(const execution::dispatch_attempt& attempt) {
        dispatch sent;
        sent.check_before_send = [this] { return check_before_sending(); };
        sent.call = m_plan.call;
        sent.time_left = m_timing.time_for_engine(m_dependencies.scheduler.now());
        if (m_plan.tenant != nullptr) {
            sent.tenant = m_plan.tenant->name;
        }
        sent.expected_version = m_selected.expected_version;
        sent.cache_scope = m_selected.cache_scope;
        sent.fetch_state_from = m_selected.fetch_state_from;
        sent.save_state_to = m_selected.save_state_to;
        sent.priority = m_plan.priority;
        sent.resume_after = m_last_id;
        if (m_state_use) {
            sent.on_ended = [use = m_state_use] { use->ended = true; };
        }
        // If the last failure was a lost connection, all pooled connections may have broken with
        // it; a refusal by an engine does not suggest that. On a connection that carried this
        // request before, the id would not distinguish a surplus answer to that dispatch, also if
        // the process at that address is listed under another name by now.
        sent.fresh_connection = (attempt.attempt.value > 1 && m_lost_connection) ||
                                m_sent_to.contains(m_selected.target.address);
        return sent;
    }

    runtime::task<void> open(execution::dispatch_attempt attempt) {
        const base::monotonic_time now = m_dependencies.scheduler.now();
        m_exchange = attempt.exchange;
        m_exchange_began = now;
        m_may_be_sent = false;
        m_timing.sent(m_selected, now);
        m_exchange_events = 0;
        ++m_outcome.dispatches;
        if (m_outcome.events == 0) {
            m_admission.sent();
        }
        m_outcome.engine = m_selected.target.name.value;
        m_outcome.predicted_ms = m_selected.cost_ms;
        rely_on_newest_weights_only();
        m_load.emplace(m_dependencies.registry, m_selected.target.name, m_selected.prefill_tokens,
                       is_repeatable(*m_plan.matched_route),
                       m_selected.save_state_to && !m_selected.may_be_withdrawn);
        record_state_use(now);
        const known_engine* engine = m_dependencies.registry.find(m_selected.target.name);
        m_engine_start = engine == nullptr ? std::nullopt : engine->listed.process_start_ms;
        m_evidence.begin(m_plan, engine, expected_prefill(), now);
        const auto parts = m_dependencies.selection.record_dispatch(*m_plan.call, m_selected, now);
        if (m_dependencies.dispatched) {
            m_dependencies.dispatched(m_selected.target.name, parts, m_selected.prefill_tokens);
        }
        log_dispatch(m_plan, m_selected, attempt.attempt,
                     {now, m_dependencies.policies.age(now), m_dependencies.registry.age(now),
                      engine == nullptr ? engine_limit{} : engine->limit, m_permit.counted_by,
                      grantor_of(m_slot), m_last_id, m_begun_at});
        log_prompt(m_plan, m_selected, parts);
        engine_target target = m_selected.target;
        meter(traffic_kind::request, size_of(m_plan.call->message));
        if (m_dependencies.meter != nullptr && m_selected.moved_bytes > 0) {
            m_dependencies.meter->add(traffic_kind::state_moved, m_selected.moved_distance,
                                      static_cast<std::uint64_t>(m_selected.moved_bytes));
        }
        dispatch sent = make_dispatch(attempt);
        auto opened = co_await open_while_preconditions_hold(std::move(target), std::move(sent));
        if (m_may_be_sent) {
            m_sent_to.insert(m_selected.target.address);
        }
        if (!opened) {
            handle_failure(opened.error());
            co_return;
        }
        m_outcome.via = opened->via;
        m_outcome.answers_skipped += opened->answers_skipped;
        if (!m_plan.call->prompt && !opened->via) {
            const base::monotonic_time opened_at = m_dependencies.scheduler.now();
            m_dependencies.selection.record_path_latency(m_selected.zone, opened_at - now,
                                                         opened_at);
        }
        record_weights_version(opened->version);
        record_limit(opened->limit);
        record_rejection_limit(opened->rejection_limit);
        m_answer = std::move(*opened);
        if (!m_answer->is_event_stream) {
            m_timing.answered(m_dependencies.scheduler.now());
        }
        m_body.begin(m_answer->headers);
        m_splitter = core::stream::event_splitter();
        feed(execution::exchange_started{m_exchange});
        const bool is_too_large =
            http::content_length(m_answer->headers).value_or(0) > m_tunables.max_answer_bytes;
        const bool has_whole_body =
            !m_answer->is_event_stream && m_plan.call->message.method != "HEAD";
        if (has_whole_body && is_too_large) {
            fail_exchange(execution::failure_kind::broken, "answer exceeds the size limit");
        }
    }

    /// The engine may have been selected before newer weights were named. From the naming on no
    /// request that is sent relies on older weights at an engine, so that those that do can be
    /// counted.
    void rely_on_newest_weights_only() {
        const bool uses_state = m_selected.save_state_to || m_selected.fetch_state_from;
        if (!uses_state ||
            m_dependencies.policies.is_newest(m_plan.call->prompt->model,
                                              m_selected.expected_version.value_or(0))) {
            return;
        }
        m_selected.save_state_to.reset();
        if (!m_selected.may_be_withdrawn) {
            m_selected.fetch_state_from.reset();
        }
    }

    /// Records the request at the engines whose weights must not change under it: its own one if it
    /// stores state, and the one that it fetches from if it can't be moved. An engine reads the
    /// prompt of a preempted request again, and fetches and stores state as before.
    void record_state_use(base::monotonic_time now) {
        m_state_use.reset();
        const bool keeps_source = m_selected.fetch_state_from && !m_selected.may_be_withdrawn;
        if (!m_selected.save_state_to && !keeps_source) {
            return;
        }
        m_state_use = std::make_shared<state_use>();
        m_state_use->ends_by = now + m_timing.time_for_engine(now) + m_tunables.engine_stop_margin;
        if (m_selected.save_state_to) {
            m_dependencies.registry.add_state_use(m_selected.target.name, m_state_use, now);
        }
        if (keeps_source) {
            m_dependencies.registry.add_state_use(m_selected.fetched_state_holder, m_state_use,
                                                  now);
        }
    }

    using open_result = runtime::result<opened_answer, dispatch_failure>;

    runtime::task<open_result> open_while_preconditions_hold(engine_target target, dispatch sent) {
        using boost::asio::experimental::awaitable_operators::operator||;
        const base::duration limit = wait_limit();
        auto opening = m_dependencies.engines.open(std::move(target), std::move(sent), limit);
        if (!m_preconditions.can_be_lost(m_selected)) {
            co_return co_await std::move(opening);
        }
        auto first = co_await (std::move(opening) || m_preconditions.until_lost(m_selected));
        if (first.index() == 0) {
            co_return std::get<0>(std::move(first));
        }
        co_return failure_for(std::get<1>(first));
    }

    /// @return the failure of a dispatch that lost a precondition while it waited at the engine, or
    /// while its connection was being opened. In the latter case the engine has not received it.
    dispatch_failure failure_for(dispatch_precondition lost) const {
        if (!m_may_be_sent && lost != dispatch_precondition::engine_serves) {
            return withheld_for(lost);
        }
        dispatch_failure withdrawn;
        withdrawn.kind = execution::failure_kind::timed_out;
        withdrawn.message = "withdrawn";
        withdrawn.withdrawn = lost;
        return withdrawn;
    }

    base::duration wait_limit() const {
        return m_timing.wait_limit(silence_limit(), m_tunables.refusal_wait,
                                   m_dependencies.scheduler.now());
    }

    /// @return how long the engine may be silent before the exchange is abandoned.
    base::duration silence_limit() const {
        const base::duration left =
            std::max(m_plan.deadline - m_dependencies.scheduler.now(), base::duration{});
        const bool may_retry = is_repeatable(*m_plan.matched_route) &&
                               m_outcome.dispatches < m_plan.matched_route->attempts;
        if (!may_retry) {
            return left;
        }
        const bool streaming = m_outcome.events > 0;
        const double factor = streaming ? m_tunables.gap_factor : m_tunables.latency_factor;
        const base::duration target =
            streaming ? m_plan.matched_route->target_gap : m_plan.matched_route->target_latency;
        const base::duration allowed = base::from_seconds(base::to_seconds(target) * factor);
        const base::duration prefill = streaming ? base::duration{} : expected_prefill();
        return std::min(left, std::max(allowed, m_tunables.min_silence_limit) + prefill);
    }

    /// @return the expected prefill time. It extends the silence limit, as another engine would
    /// have to prefill the prompt, too.
    base::duration expected_prefill() const {
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
        if (m_dependencies.meter != nullptr) {
            m_dependencies.meter->add(kind, m_selected.away, bytes);
        }
    }

    void record_weights_version(const std::optional<std::uint64_t>& version) {
        if (version && m_plan.call->prompt) {
            m_outcome.weights = version;
            m_dependencies.registry.record_version(m_selected.target.name,
                                                   m_plan.call->prompt->model, *version);
        }
    }

    void record_limit(const std::optional<stated_limit>& stated) {
        known_engine* engine = current_engine();
        if (m_dependencies.limits != nullptr && engine != nullptr && stated) {
            m_dependencies.limits->record_answer(*engine, *stated);
        }
    }

    void record_rejection_limit(const std::optional<stated_rejection_limit>& stated) {
        if (stated &&
            m_dependencies.registry.record_rejection_limit(m_plan.pool, stated->per_second)) {
            const auto limit = stated->per_second;
            runtime::log(runtime::log_level::info, component, "rejection limit of a pool changed",
                         {{"pool", m_plan.pool.value},
                          {"per_second", limit ? std::to_string(*limit) : "none"},
                          {"engine", m_selected.target.name.value}});
            if (m_dependencies.slots != nullptr) {
                m_dependencies.slots->report_all();
            }
        }
    }

    /// Records which software version an event came from.
    void record_software() {
        if (m_exchange_events == 0 && m_begun_at) {
            ++m_outcome.continued;
        }
        if (!m_begun_at) {
            m_begun_at = m_selected.software;
            m_outcome.begun_at = m_begun_at;
            if (m_dependencies.origins != nullptr && is_repeatable(*m_plan.matched_route)) {
                m_open_stream =
                    m_dependencies.origins->record(m_plan.call->id, m_plan.pool, *m_begun_at);
            }
        }
        m_outcome.mixed_software = m_outcome.mixed_software || *m_begun_at != m_selected.software;
    }

    /// Records that the request has begun, under the weights version reported in the answer's head.
    void record_first_event(base::monotonic_time now) {
        const auto outdated = m_timing.begun(m_answer->version, now);
        if (m_plan.call->prompt) {
            m_outcome.begun_after = m_timing.since_sent(now);
            m_outcome.begin_bound = m_selected.begin_bound;
        }
        if (outdated) {
            const base::duration previous = m_outcome.begun_outdated.value_or(base::duration{});
            m_outcome.begun_outdated = std::max(previous, *outdated);
        }
    }

    bool has_outdated_weights(const known_engine& engine) const {
        if (!m_plan.call->prompt) {
            return false;
        }
        const std::string& model = m_plan.call->prompt->model;
        return engine.version_of(model) < m_dependencies.policies.versions_of(model).newest();
    }

    /// Ends an exchange whose request has not begun and must no longer begin, or whose stream must
    /// be continued at another engine. Unless the engine refused the request itself, the connection
    /// is closed so that the engine drops it. None of these is recorded as a failure of the engine.
    void withdraw(dispatch_precondition lost, execution::failure_proof proof) {
        const base::monotonic_time now = m_dependencies.scheduler.now();
        m_lost_connection = false;
        log_withdrawal(m_plan, m_selected, lost, {m_timing.since_sent(now), m_exchange_events},
                       now);
        ++m_outcome.withdrawals;
        if (lost == dispatch_precondition::no_quarantine) {
            m_outcome.quarantined_waiting = true;
            m_dependencies.quarantine->withdrawn(
                m_selected.target.name,
                {m_plan.identity, m_exchange_began, m_plan.deadline, m_plan.parts});
        } else {
            m_outcome.state_withdrawals += lost == dispatch_precondition::state_current ? 1 : 0;
        }
        if (m_exchange_events > 0) {
            m_evidence.discard();
        } else if (lost != dispatch_precondition::no_quarantine) {
            m_timing.withdrawn(now);
        }
        end_exchange();
        feed(execution::exchange_failed{m_exchange, execution::failure_kind::timed_out, proof,
                                        std::nullopt});
    }

    void handle_failure(const dispatch_failure& failure) {
        const base::monotonic_time now = m_dependencies.scheduler.now();
        if (m_state_use && failure.proof != execution::failure_proof::unknown) {
            m_state_use->ended = true;
        }
        if (failure.withdrawn) {
            withdraw(*failure.withdrawn, failure.proof);
            return;
        }
        // A dispatch that was not sent cannot be withdrawn, and costs no retry.
        if (!failure.lost && m_timing.may_no_longer_begin(now)) {
            withdraw(dispatch_precondition::engine_serves, failure.proof);
            return;
        }
        const bool own_path = failure.own_path || is_path_lost(failure);
        const bool streaming = m_answer && m_answer->is_event_stream;
        if (own_path) {
            m_evidence.discard();
        } else {
            m_evidence.failed(failure, streaming, now < m_plan.deadline, now);
        }
        m_outcome.answers_skipped += failure.attribution ? failure.attribution->skipped : 0;
        if (failure.lost) {
            undo_dispatch();
        } else {
            m_lost_connection = failure.proof != execution::failure_proof::not_run;
        }
        record_weights_version(failure.version);
        record_limit(failure.limit);
        record_rejection_limit(failure.rejection_limit);
        if (known_engine* engine = own_path ? nullptr : current_engine()) {
            record_dispatch_failure(*engine, failure, has_outdated_weights(*engine), m_tunables,
                                    now, !m_slot.counted_by.value.empty());
            if (failure.kind == execution::failure_kind::overloaded && m_dependencies.slots &&
                !has_outdated_weights(*engine)) {
                m_dependencies.slots->rejected(*engine);
            }
        }
        log_dispatch_failure(
            m_plan, m_selected, failure,
            {own_path, m_exchange_events, running_at_engine(), now - m_exchange_began});
        if (failure.kind == execution::failure_kind::overloaded) {
            log_lack_of_room();
        }
        if (failure.kind == execution::failure_kind::broken && !failure.answer_invalid) {
            report_break();
        }
        end_exchange();
        feed(execution::exchange_failed{m_exchange, failure.kind, failure.proof,
                                        failure.retry_after});
    }

    /// Logs a rejection with what was known of the engine's room when it was selected.
    void log_lack_of_room() const {
        const auto limit = m_dependencies.registry.rejection_limit(m_plan.pool);
        runtime::log(runtime::log_level::info, component, "engine rejected a request",
                     {{"request_id", m_plan.call->id.value},
                      {"engine", m_selected.target.name.value},
                      {"slots", std::to_string(m_selected.slots)},
                      {"running_known", std::to_string(m_selected.running)},
                      {"running_here", std::to_string(running_at_engine())},
                      {"rejection_limit", limit ? std::to_string(*limit) : "none"},
                      {"counted_by", grantor_of(m_slot)}});
    }

    /// @return whether the exchange used this router's own path to the engine, and that is lost.
    bool is_path_lost(const dispatch_failure& failure) const {
        return !failure.via && m_dependencies.paths != nullptr && m_dependencies.paths->all_lost();
    }

    /// Reverts the accounting of a dispatch that was not sent.
    void undo_dispatch() {
        --m_outcome.dispatches;
        undo_canary();
    }

    void undo_canary() {
        if (m_selected.canary) {
            m_dependencies.releases->give_back(m_plan.pool, m_plan.matched_route->name);
        }
    }

    /// Reports the broken exchange to the quarantine: unless the engine was shutting down, it may
    /// have crashed while running this request.
    void report_break() {
        const known_engine* listed = m_dependencies.registry.find(m_selected.target.name);
        if (m_dependencies.quarantine == nullptr || listed == nullptr || listed->is_leaving()) {
            return;
        }
        m_preconditions.exchange_broke();
        const base::duration taken = m_dependencies.scheduler.now() - m_exchange_began;
        broken_exchange how;
        how.silent = m_exchange_events == 0 && taken >= m_tunables.min_run_time;
        // A registration that expired and was renewed is not a new process.
        how.replaced = m_engine_start && listed->listed.process_start_ms &&
                       m_engine_start != listed->listed.process_start_ms;
        how.began = m_exchange_began;
        how.parts = m_plan.parts;
        m_dependencies.quarantine->exchange_broke(m_selected.target, m_plan.identity, how);
    }

    /// @return the engine of the current exchange, or null if its process is no longer registered:
    /// what the old process still sends must not be recorded for its successor.
    known_engine* current_engine() const { return m_load ? m_load->engine() : nullptr; }

    /// @return the number of this router's requests at the exchange's engine, including this one.
    std::uint32_t running_at_engine() const {
        const known_engine* engine = current_engine();
        return engine == nullptr ? 0 : engine->running;
    }

    void fail_exchange(execution::failure_kind kind, std::string message) {
        dispatch_failure failure;
        failure.kind = kind;
        failure.message = std::move(message);
        failure.via = m_answer ? m_answer->via : std::nullopt;
        handle_failure(failure);
    }

    void end_exchange() {
        m_admission.ended();
        m_answer.reset();
        if (m_splitter.in_event()) {
            m_next_event_begun = true;
            m_splitter = {};
            m_body.release();
        }
        const bool was_sent = m_load.has_value();
        m_load.reset();
        if (was_sent && m_dependencies.slots != nullptr) {
            m_dependencies.slots->released(m_selected.target.name);
        }
    }

    // ---- Answer ----

    runtime::task<void> read_answer() {
        auto read = co_await read_while_preconditions_hold();
        if (const auto* lost = std::get_if<dispatch_precondition>(&read)) {
            handle_failure(failure_for(*lost));
            co_return;
        }
        auto& bytes = std::get<read_bytes>(read);
        if (!bytes) {
            const bool timed_out = bytes.error().code == http::error_code::timed_out;
            fail_exchange(
                timed_out ? execution::failure_kind::timed_out : execution::failure_kind::broken,
                bytes.error().message);
            co_return;
        }
        if (*bytes) {
            meter(traffic_kind::answer, (*bytes)->size());
        }
        if (m_answer->is_event_stream) {
            co_await handle_stream_part(*bytes);
        } else {
            handle_body_part(*bytes);
        }
    }

    using read_bytes = http::result<std::optional<std::string>>;

    /// Reads the next part of the answer. The preconditions still matter, as a stream's head may be
    /// received long before its first event, and the request waits until then.
    runtime::task<std::variant<read_bytes, dispatch_precondition>> read_while_preconditions_hold() {
        using boost::asio::experimental::awaitable_operators::operator||;
        auto next = m_answer->body->next(wait_limit());
        if (m_preconditions.can_be_lost(m_selected)) {
            co_return co_await (std::move(next) || m_preconditions.until_lost(m_selected));
        }
        if (!is_running_stream() || !m_preconditions.watches_running_state(m_selected)) {
            co_return co_await std::move(next);
        }
        const std::function<bool()> may_continue = [this] { return may_continue_elsewhere(); };
        co_return co_await (std::move(next) || m_preconditions.until_running_state_lost(
                                                   m_selected, m_last_event_at, may_continue));
    }

    /// @return whether the current exchange's engine has begun to stream events.
    bool is_running_stream() const { return m_answer->is_event_stream && m_exchange_events > 0; }

    /// @return whether another engine may continue the stream if its exchange is ended now.
    bool may_continue_elsewhere() {
        const base::monotonic_time now = m_dependencies.scheduler.now();
        const bool may_continue =
            may_be_sent() && !m_last_event_unnumbered && now < m_plan.deadline;
        if (!may_continue || !has_other_engine(now) || !m_budget.try_retry(now)) {
            return false;
        }
        m_budget.give_back();  // It is taken when the exchange has ended.
        return true;
    }

    /// @return whether an engine other than the current one may get the request now.
    bool has_other_engine(base::monotonic_time now) {
        selection_query query = query_of(m_plan, {m_selected.target.name});
        query.software = m_begun_at;
        query.was_sent_before = true;
        return m_dependencies.selection.select(query, now).has_value();
    }

    void handle_body_part(const std::optional<std::string>& bytes) {
        if (bytes) {
            const append_result added = m_body.append(*bytes);
            if (added == append_result::too_large) {
                fail_exchange(execution::failure_kind::broken, "answer exceeds the size limit");
            } else if (added == append_result::no_memory) {
                give_up_answer();
            }
            return;
        }
        const unsigned status = m_answer->status;
        const bool repeatable = is_repeatable(*m_plan.matched_route);
        const bool unproven_promise = m_answer->status_promises_not_run && !repeatable;
        const bool continues_stream = m_outcome.events > 0;
        const bool unusable = unproven_promise || continues_stream;
        if (unusable) {
            log_unusable_answer(m_plan, m_selected, status,
                                continues_stream ? "stream_not_continued" : "unproven_promise");
        } else {
            m_last_answer = http::response{status, m_answer->headers, m_body.take()};
        }
        m_evidence.answered(status, m_dependencies.scheduler.now());
        report_success();
        end_exchange();
        if (unusable || (status >= first_failure_status && repeatable)) {
            feed(execution::exchange_failed{m_exchange, execution::failure_kind::engine_failure,
                                            execution::failure_proof::unknown, std::nullopt});
            return;
        }
        feed(execution::exchange_ended{m_exchange, m_machine.emitted_tokens()});
    }

    /// Gives up an answer for which no memory is left. Its engine is not at fault.
    void give_up_answer() {
        const runtime::memory_budget& budget = *m_body.budget();
        runtime::log(
            runtime::log_level::warning, component, "no memory left for an answer",
            {{"request_id", m_plan.call->id.value},
             {"engine", m_selected.target.name.value},
             {"received_bytes", std::to_string(m_body.size() + m_splitter.buffered_bytes())},
             {"used_bytes", std::to_string(budget.counters().used_bytes)},
             {"limit_bytes", std::to_string(budget.limits().total_bytes)}});
        m_body.clear();
        m_evidence.answered(m_answer->status, m_dependencies.scheduler.now());
        report_success();
        end_exchange();
        feed(execution::exchange_failed{m_exchange, execution::failure_kind::engine_failure,
                                        execution::failure_proof::unknown, std::nullopt});
    }

    runtime::task<void> handle_stream_part(const std::optional<std::string>& bytes) {
        if (!bytes) {
            if (m_splitter.in_event()) {
                fail_exchange(execution::failure_kind::broken, "stream ended within an event");
                co_return;
            }
            if (is_event_missing()) {
                fail_exchange(execution::failure_kind::broken,
                              "stream ended before its next event");
                co_return;
            }
            if (!m_head_sent) {
                // The stream has no events if the caller resumes after the last one.
                m_last_answer = http::response{m_answer->status, m_answer->headers, {}};
            }
            m_evidence.answered(m_answer->status, m_dependencies.scheduler.now());
            m_timing.ended(m_dependencies.scheduler.now());
            report_success();
            end_exchange();
            feed(execution::exchange_ended{m_exchange, m_machine.emitted_tokens()});
            co_return;
        }
        bool valid = true;
        for (core::stream::complete_event& event : m_splitter.feed(*bytes)) {
            valid = valid && is_in_order(event);
            if (!valid) {
                break;
            }
            handle_event(event);
        }
        co_await flush();
        if (!valid) {
            fail_exchange(execution::failure_kind::broken, "stream events out of order");
        } else if (m_splitter.buffered_bytes() > m_tunables.max_event_bytes) {
            fail_exchange(execution::failure_kind::broken, "stream event exceeds the size limit");
        } else if (m_splitter.buffered_bytes() > m_tunables.uncharged_event_bytes &&
                   !m_body.charge(m_splitter.allocated_bytes())) {
            give_up_answer();
        }
    }

    /// @return whether an engine must send another event before the stream can end.
    bool is_event_missing() const {
        const bool has_begun = m_last_id || m_outcome.events > 0;
        return !has_begun || m_next_event_begun;
    }

    bool is_in_order(const core::stream::complete_event& event) const {
        return !event.id || !m_last_id || *event.id == *m_last_id + 1;
    }

    void handle_event(const core::stream::complete_event& event) {
        if (event.id) {
            m_last_id = event.id;
        }
        m_last_event_unnumbered = !event.id && (event.has_data || m_last_event_unnumbered);
        const base::monotonic_time now = m_dependencies.scheduler.now();
        if (m_outcome.events == 0) {
            m_outcome.first_event = now - m_plan.call->arrived;
            m_admission.answered();
        } else {
            m_outcome.longest_gap = std::max(m_outcome.longest_gap, now - m_last_event_at);
        }
        m_last_event_at = now;
        m_next_event_begun = false;
        m_evidence.event(now);
        record_software();
        if (m_load) {
            m_load->prefilled();
        }
        if (m_exchange_events == 0) {
            record_first_event(now);
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
        if (!m_head_sent) {
            if (m_open_stream) {
                // Further events wait in the engine's connection meanwhile.
                co_await m_dependencies.origins->store(*m_open_stream);
            }
            m_head_sent = true;
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

    void report_success() {
        if (known_engine* engine = current_engine()) {
            engine->health.record_success();
        }
        if (m_dependencies.quarantine != nullptr) {
            m_dependencies.quarantine->exchange_completed(m_plan.identity, m_plan.parts);
        }
    }

    // ---- Completion ----

    runtime::task<void> finish() {
        if (m_head_sent) {
            m_dependencies.selection.record_gap(m_plan.pool, m_outcome.longest_gap,
                                                m_plan.matched_route->target_gap);
            co_await m_writer.end_stream();
            co_return;
        }
        if (!m_last_answer) {
            m_writer.abort();  // Interrupted while the answer was being sent.
            co_return;
        }
        co_await send_last_answer();
    }

    /// Moves the answer, which may be large, to the writer.
    runtime::task<void> send_last_answer() {
        http::response answer = std::move(*m_last_answer);
        m_last_answer.reset();
        co_await send(answer);
    }

    /// @param answer is moved from, and must outlive the returned coroutine.
    runtime::task<void> send(http::response& answer) {
        m_outcome.status = answer.status;
        m_body.release();  // The writer counts the answer from now on.
        http::response sent = std::exchange(answer, {});
        co_await m_writer.send(std::move(sent));
    }

    /// Makes a refusal that is due to a quarantine say so, and when the request may be retried.
    void apply_quarantine(relay_refusal& refusal) const {
        const bool unserved = refusal.cause == refusal_cause::no_engine ||
                              refusal.cause == refusal_cause::engine_failed;
        const auto until = unserved ? m_preconditions.quarantined_until() : std::nullopt;
        if (until) {
            refusal.cause = refusal_cause::quarantined;
            refusal.retry_after = std::max(*until - m_dependencies.scheduler.now(),
                                           m_tunables.least_quarantine_retry_after);
        }
    }

    /// Makes a refusal that is due to engines that asked for a backoff say so, and when it may be
    /// retried. Callers are given different times, so that they don't return together.
    void apply_backoffs(relay_refusal& refusal) const {
        const bool unserved =
            refusal.cause == refusal_cause::no_engine || refusal.cause == refusal_cause::overloaded;
        const auto end = unserved ? first_backoff_end() : std::nullopt;
        if (end) {
            const base::duration spread = m_tunables.backoff_retry_spread;
            const auto later = base::from_seconds(base::to_seconds(spread) *
                                                  m_dependencies.scheduler.random().unit());
            refusal.cause = refusal_cause::engines_backing_off;
            refusal.retry_after = *end - m_dependencies.scheduler.now() + later;
        }
    }

    /// Makes a refusal that is due to request limits of engines say so, and when it may be retried.
    void apply_limits(relay_refusal& refusal) {
        const bool no_engine = refusal.cause == refusal_cause::no_engine && may_be_sent();
        if (no_engine && limits_rejections()) {
            refusal.cause = refusal_cause::engines_limited;
        }
        if (!no_engine || m_dependencies.limits == nullptr) {
            return;
        }
        if (const auto retry_after = m_dependencies.limits->retry_after(m_plan.pool)) {
            refusal.cause = refusal_cause::engines_limited;
            refusal.retry_after = retry_after;
        }
    }

    runtime::task<void> refuse(relay_refusal refusal) {
        const bool out_of_time = m_dependencies.scheduler.now() >= m_plan.deadline;
        if (out_of_time && refusal.cause == refusal_cause::engine_failed) {
            refusal.cause = refusal_cause::deadline_exceeded;
        }
        if (m_dependencies.paths != nullptr && m_dependencies.paths->all_lost() &&
            refusal.cause == refusal_cause::no_engine) {
            refusal.retry_after = m_tunables.lost_paths_retry_after;
        }
        apply_backoffs(refusal);
        if (m_begun_at && refusal.cause == refusal_cause::no_engine) {
            refusal.cause = refusal_cause::version_gone;
        }
        apply_quarantine(refusal);
        apply_limits(refusal);
        m_outcome.refusal = refusal;
        if (refusal.cause == refusal_cause::caller_gone || m_head_sent) {
            m_writer.abort();  // A truncated stream must not look complete.
            co_return;
        }
        if (m_last_answer) {
            // The engine's own error response is more specific.
            co_await send_last_answer();
            co_return;
        }
        http::response answer = to_response(refusal);
        co_await send(answer);
    }

    relay_dependencies<Upstream> m_dependencies;
    relay_plan m_plan;
    core::admission::retry_allowance& m_budget;
    http::response_writer& m_writer;
    driver_tunables m_tunables;
    stream_admission m_admission;
    core::execution::request_execution m_machine;
    exchange_evidence m_evidence;
    exchange_timing m_timing;
    dispatch_preconditions m_preconditions;
    std::deque<execution::action> m_pending;
    std::optional<execution::action> m_unfinished;  ///< Ends the request, and is being performed.
    selected_engine m_selected;
    send_permit m_permit;  ///< For the selected engine.
    slot_permit m_slot;    ///< For the selected engine.
    /// Slots that the routers that count refused since the selection began.
    std::uint32_t m_slots_refused = 0;
    base::monotonic_time m_wait_for_room_until{};
    base::monotonic_time m_waits_for_slot_from{};  ///< Asks for slots wait from then on.
    std::optional<engine_load> m_load;
    std::shared_ptr<state_use> m_state_use;  ///< Set if the exchange relies on weights.
    execution::exchange_number m_exchange;
    base::monotonic_time m_exchange_began{};
    std::uint64_t m_exchange_events = 0;
    std::optional<std::uint64_t> m_engine_start;  ///< Start of the exchange's engine process.
    std::optional<opened_answer> m_answer;
    core::stream::event_splitter m_splitter;
    answer_body m_body;  ///< Of a non-streaming answer; charged for `m_last_answer`, too.
    std::optional<http::response> m_last_answer;  ///< The last complete answer of an engine.
    std::string m_outbox;                         ///< Events not forwarded yet.
    std::optional<std::uint64_t> m_last_id;
    /// The last event with data has no id: an engine that continues the stream would repeat it.
    bool m_last_event_unnumbered = false;
    /// An exchange ended within the event that follows the last complete one.
    bool m_next_event_begun = false;
    /// Software version of the engine that sent the stream's first event, if known.
    std::optional<coordination::release::software_version> m_begun_at;
    base::monotonic_time m_last_event_at{};
    /// Set if this request began a stream that may be resumed.
    std::unique_ptr<stream_origins::open_stream> m_open_stream;
    bool m_head_sent = false;        ///< The response head has been sent to the caller.
    bool m_waited_for_room = false;  ///< The request has been considered for a version on trial.
    bool m_may_be_sent = false;      ///< Part of the dispatch may have been sent.
    std::set<base::endpoint> m_sent_to;  ///< Addresses that the request may have been sent to.
    bool m_lost_connection = false;      ///< The last failure was not a refusal by the engine.
    relay_outcome m_outcome;
};

}  // namespace ferryroad::relay
