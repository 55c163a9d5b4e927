/// @file
/// Serves relayed requests: resolves each against the current traffic policy, runs it until its
/// deadline, and cancels it if the caller disconnects.
#pragma once

#include "ferryroad/core/admission/retry_window.hpp"
#include "ferryroad/relay/relay_driver.hpp"

#include <boost/asio/experimental/awaitable_operators.hpp>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <utility>

namespace ferryroad::relay {

/// Limits retries to one pool to a share of the requests to it.
using retry_settings = core::admission::retry_window_settings;

/// The window over which operators limit retries.
inline constexpr base::duration retry_limit_window = std::chrono::seconds(10);

/// @param share retries per request that all routers together may make within the window.
/// @param reserve retries that they may make in addition to the share.
/// @param routers number of routers that share both.
/// @return this router's part, reduced to leave room for retries that are counted late.
inline retry_settings retry_settings_for(double share, double reserve, std::size_t routers) {
    constexpr double used_share = 0.75;
    constexpr double used_reserve = 0.6;
    const double part =
        reserve * used_reserve / static_cast<double>(std::max<std::size_t>(1, routers));
    return {share * used_share, std::max(1.0, part), retry_limit_window};
}

/// Settings of `relay_service`.
struct relay_settings {
    driver_tunables driver;
    retry_settings retries;
    /// `Retry-After` while no policy is known. An outage of the policy's source lasts seconds, and
    /// a caller that retries sooner is refused again.
    base::duration unknown_policy_retry_after = std::chrono::milliseconds(2500);
    /// `Retry-After` while the policy is stale; shorter, as another router may have a fresh one.
    base::duration stale_policy_retry_after = std::chrono::milliseconds(1000);
    /// `Retry-After` if no router that could be reached knows the origin of a resumed stream.
    base::duration unknown_origin_retry_after = std::chrono::milliseconds(500);
};

/// Called with each finished request, for logs and metrics.
using outcome_listener = std::function<void(const relay_plan&, const relay_outcome&)>;

/// Used from the event loop's thread. Its dependencies must outlive it, and it must outlive its
/// requests.
template <upstream Upstream>
class relay_service {
  public:
    relay_service(relay_dependencies<Upstream> dependencies, relay_settings settings,
                  outcome_listener on_outcome)
        : m_dependencies(dependencies),
          m_settings(settings),
          m_on_outcome(std::move(on_outcome)),
          m_waiting(dependencies.scheduler),
          m_deadlines(dependencies.scheduler) {
        if (m_dependencies.quarantine != nullptr) {
            m_dependencies.quarantine->on_quarantined(
                [this](const auto& request) { m_waiting.wake(request); });
            m_dependencies.quarantine->on_part_quarantined([this] { m_waiting.wake_all(); });
        }
    }
    relay_service(const relay_service&) = delete;
    relay_service& operator=(const relay_service&) = delete;

    /// Serves a request until its final response has been sent. @param writer must outlive the
    /// returned coroutine.
    runtime::task<void> handle(relay_call call, http::response_writer& writer) {
        return answer(std::make_shared<const relay_call>(std::move(call)), writer);
    }

    /// This router is shutting down. From now on, refuses requests that must not be repeated and
    /// may take until after `end`; shortens the time of others.
    /// @param end when requests in progress will be ended.
    void begin_stop(base::monotonic_time end) { m_stop_end = end; }
    /// Refuses all new requests from now on, as this router is shutting down.
    void refuse_new() { m_leaving = true; }
    /// Ends the requests in progress as if their deadlines had passed: each gets a response, but
    /// for streams that have begun, which are cut.
    void end_requests() { m_deadlines.wake_all(); }
    /// Checks the requests that wait at engines again. To be called when newer weights were named
    /// or an engine was announced to load them.
    void check_waiting() { m_waiting.wake_all(); }
    /// Forgets the delays of engines that shedding is based on, as they were caused by the loss of
    /// this router's paths.
    void forget_delays() {
        for (auto& [pool, shedder] : m_shedders) {
            shedder.forget();
        }
    }
    /// Applies to requests that arrive from now on.
    void change_settings(relay_settings settings) { m_settings = settings; }
    /// @return the number of requests being served.
    std::size_t active() const { return m_active; }
    /// @return the share of streams shed now because engines are overloaded, 0 to 1, in the pool
    /// where it is highest.
    double shed_share() const {
        double highest = 0;
        for (const auto& [pool, shedder] : m_shedders) {
            highest = std::max(highest, shedder.refused_share());
        }
        return highest;
    }

  private:
    using resolution = std::variant<relay_plan, relay_refusal>;
    static constexpr std::string_view component = "relay.service";

    runtime::task<void> answer(std::shared_ptr<const relay_call> call,
                               http::response_writer& writer) {
        const auto resolved = resolve(call);
        if (const auto* refusal = std::get_if<relay_refusal>(&resolved)) {
            log_refusal(*call, *refusal);
            http::response refused = to_response(*refusal);
            co_await writer.send(std::move(refused));
            co_return;
        }
        relay_plan plan = std::get<relay_plan>(resolved);
        const auto over_quota = co_await count_quota(plan);
        if (over_quota) {
            relay_outcome outcome;
            outcome.refusal = over_quota;
            http::response refused = to_response(*over_quota);
            outcome.status = refused.status;
            co_await writer.send(std::move(refused));
            m_on_outcome(plan, outcome);
            co_return;
        }
        const auto not_resumable = co_await find_origin(plan);
        if (not_resumable) {
            relay_outcome outcome;
            outcome.refusal = not_resumable;
            http::response refused = to_response(*not_resumable);
            outcome.status = refused.status;
            co_await writer.send(std::move(refused));
            m_on_outcome(plan, outcome);
            co_return;
        }
        co_await serve(std::move(plan), writer);
    }

    /// Finds the software version that began the stream which the caller resumes, and sets it in
    /// the plan, with the stream's pool if the route still leads there. The route may no longer
    /// allow to resume streams that it allowed to resume when they began.
    /// @return the refusal if it is not known.
    runtime::task<std::optional<relay_refusal>> find_origin(relay_plan& plan) {
        const bool resumes = plan.call->resumed_attempt || plan.call->last_event_id;
        const bool streams = plan.matched_route->kind == core::traffic::request_kind::streaming;
        if (!resumes || !streams || m_dependencies.origins == nullptr) {
            co_return std::nullopt;
        }
        base::pool_name pool = plan.pool;
        const origin_search search =
            co_await m_dependencies.origins->find(*plan.call, std::move(pool), plan.deadline);
        log_resumed(plan, search);
        if (!search.found) {
            co_return relay_refusal{refusal_cause::origin_unknown,
                                    core::execution::execution_report::not_run,
                                    m_settings.unknown_origin_retry_after};
        }
        const auto& origin = search.found->origin;
        const auto& pools = plan.matched_route->pools;
        const bool leads_there = std::any_of(
            pools.begin(), pools.end(), [&](const auto& one) { return one.pool == origin.pool; });
        if (leads_there) {
            plan.pool = origin.pool;
            plan.begun_at = origin.software;
        }
        co_return std::nullopt;
    }

    /// Counts the request against its tenant's quota. @return its refusal if the quota is exceeded.
    runtime::task<std::optional<relay_refusal>> count_quota(const relay_plan& plan) {
        if (plan.tenant == nullptr || !plan.tenant->quota || !m_dependencies.count_quota) {
            co_return std::nullopt;
        }
        const core::traffic::tenant_quota& quota = *plan.tenant->quota;
        const quotas::rate_limit limit{base::revision(plan.policy->version()), quota.per_second,
                                       quota.burst};
        const double amount = core::traffic::quota_amount(quota, plan.call->declared_tokens);
        const quotas::quota_decision decision =
            co_await m_dependencies.count_quota(plan.tenant->name, limit, amount);
        if (decision.verdict.granted) {
            co_return std::nullopt;
        }
        log_over_quota(plan, limit, amount, decision);
        co_return relay_refusal{refusal_cause::over_quota,
                                core::execution::execution_report::not_run,
                                decision.verdict.retry_after};
    }

    relay_refusal refusal_of(refusal_cause cause) const {
        const bool unknown = cause == refusal_cause::no_policy;
        return {
            cause, core::execution::execution_report::not_run,
            unknown ? m_settings.unknown_policy_retry_after : m_settings.stale_policy_retry_after};
    }

    resolution resolve(const std::shared_ptr<const relay_call>& call) {
        const base::monotonic_time now = m_dependencies.scheduler.now();
        if (m_leaving) {
            return relay_refusal{refusal_cause::leaving, core::execution::execution_report::not_run,
                                 base::duration{}};
        }
        relay_plan plan;
        plan.call = call;
        plan.policy = m_dependencies.policies.current();
        if (!plan.policy) {
            return refusal_of(refusal_cause::no_policy);
        }
        // A policy without a recent confirmation may be outdated: a missing route or key may have
        // been added since.
        const bool can_refuse = m_dependencies.policies.refusals_valid(now);
        plan.matched_route = plan.policy->find_route(call->host, call->message.path());
        if (plan.matched_route == nullptr) {
            return refusal_of(can_refuse ? refusal_cause::no_route
                                         : refusal_cause::policy_not_fresh);
        }
        // A key counts on public routes, too, where none is needed: its tenant may be isolated.
        plan.tenant = call->api_key ? plan.policy->find_tenant(*call->api_key) : nullptr;
        const bool may_be_tenants_by_now = !can_refuse && call->api_key;
        if (plan.tenant == nullptr &&
            (may_be_tenants_by_now ||
             needs_known_tenant(*call, *plan.policy, *plan.matched_route))) {
            return refusal_of(can_refuse ? refusal_cause::unknown_key
                                         : refusal_cause::policy_not_fresh);
        }
        if (plan.tenant != nullptr && !m_dependencies.policies.keys_valid(now)) {
            return refusal_of(refusal_cause::policy_not_fresh);
        }
        plan.pool = m_rotations[plan.matched_route->name].next(plan.matched_route->pools);
        const base::duration allowed = std::min(
            call->time_left.value_or(plan.matched_route->timeout), plan.matched_route->timeout);
        plan.deadline = call->arrived + allowed;
        if (m_stop_end && plan.deadline > *m_stop_end) {
            if (!is_repeatable(*plan.matched_route)) {
                return relay_refusal{refusal_cause::leaving,
                                     core::execution::execution_report::not_run, base::duration{}};
            }
            plan.deadline = *m_stop_end;
        }
        const bool own_priority = plan.tenant != nullptr && plan.tenant->priority;
        plan.priority = own_priority ? *plan.tenant->priority : plan.matched_route->priority;
        plan.identity = identity_of(plan);
        if (call->prompt) {
            plan.parts = core::quarantine::parts_of(*call->prompt);
        }
        // Repeats of a request have new ids and arrive at any router. Without a check by identity,
        // one repeated request crashed 26 engines behind a fleet of 7 routers.
        if (m_dependencies.quarantine != nullptr) {
            if (const auto* quarantined = m_dependencies.quarantine->find(plan.identity)) {
                log_quarantined(*call, *quarantined);
                return relay_refusal{refusal_cause::quarantined,
                                     core::execution::execution_report::not_run,
                                     quarantined->until - now};
            }
            if (const auto* part = m_dependencies.quarantine->find_part(plan.parts)) {
                plan.tries_part = m_dependencies.quarantine->begin_part_trial(*part);
                if (!plan.tries_part) {
                    log_quarantined(*call, *part);
                    return relay_refusal{refusal_cause::quarantined,
                                         core::execution::execution_report::not_run,
                                         std::max(part->until - now,
                                                  m_settings.driver.least_quarantine_retry_after)};
                }
            }
        }
        return plan;
    }

    /// Counts a request towards the pool's retry budget. @return the budget.
    core::admission::retry_window& budget_of(const base::pool_name& pool) {
        const auto place = m_budgets.try_emplace(pool, m_settings.retries).first;
        place->second.change_settings(m_settings.retries);
        place->second.record_request(m_dependencies.scheduler.now());
        return place->second;
    }

    runtime::task<void> serve(relay_plan plan, http::response_writer& writer) {
        using boost::asio::experimental::awaitable_operators::operator||;
        ++m_active;
        const base::monotonic_time deadline = plan.deadline;
        relay_driver<Upstream> driver(m_dependencies, plan, budget_of(plan.pool),
                                      m_shedders[plan.pool], m_waiting, writer, m_settings.driver);
        auto ended_by_deadline = m_deadlines.sleep(plan.identity, std::optional(deadline));
        const auto first =
            co_await (driver.run() || std::move(ended_by_deadline) || writer.wait_closed());
        core::execution::event ended = core::execution::caller_gone{};
        if (first.index() == 1) {
            ended = core::execution::deadline_passed{};
        }
        if (first.index() != 0) {
            co_await driver.interrupt(std::move(ended));
        }
        --m_active;
        log_end(plan, driver.outcome());
        m_on_outcome(plan, driver.outcome());
    }

    void log_refusal(const relay_call& call, const relay_refusal& refusal) const {
        const base::monotonic_time now = m_dependencies.scheduler.now();
        const auto policy = m_dependencies.policies.current();
        runtime::log(runtime::log_level::warning, component, "refused",
                     {{"request_id", call.id.value},
                      {"cause", std::string(to_string(refusal.cause))},
                      {"policy", policy ? std::to_string(policy->version()) : "none"},
                      {"policy_age_ms",
                       std::to_string(base::to_milliseconds(m_dependencies.policies.age(now)))}});
    }

    void log_quarantined(const relay_call& call,
                         const core::quarantine::quarantined_request& quarantined) const {
        const base::monotonic_time now = m_dependencies.scheduler.now();
        runtime::log(
            runtime::log_level::warning, component, "quarantined request refused",
            {{"request_id", call.id.value},
             {"digest", core::quarantine::to_string(quarantined.request)},
             {"crashes", std::to_string(quarantined.crashes)},
             {"since_ms", std::to_string(base::to_milliseconds(now - quarantined.since))},
             {"retry_after_ms", std::to_string(base::to_milliseconds(quarantined.until - now))}});
    }

    void log_quarantined(const relay_call& call,
                         const core::quarantine::quarantined_part& quarantined) const {
        const base::monotonic_time now = m_dependencies.scheduler.now();
        runtime::log(runtime::log_level::warning, component,
                     "request with a quarantined prompt part refused",
                     {{"request_id", call.id.value},
                      {"part", core::quarantine::to_string({quarantined.part})},
                      {"crashes", std::to_string(quarantined.crashes)},
                      {"since_ms", std::to_string(base::to_milliseconds(now - quarantined.since))},
                      {"left_ms", std::to_string(base::to_milliseconds(quarantined.until - now))}});
    }

    void log_resumed(const relay_plan& plan, const origin_search& search) const {
        const relay_call& call = *plan.call;
        const auto& found = search.found;
        const base::duration taken = m_dependencies.scheduler.now() - call.arrived;
        runtime::log(
            found ? runtime::log_level::info : runtime::log_level::warning, component,
            "stream resumed by its caller",
            {{"request_id", call.id.value},
             {"resumes", call.resumed_attempt ? call.resumed_attempt->value : "none"},
             {"after_event", call.last_event_id ? std::to_string(*call.last_event_id) : "none"},
             {"pool", plan.pool.value},
             {"begun_at", found ? found->origin.software.value : "unknown"},
             {"begun_pool", found ? found->origin.pool.value : "unknown"},
             {"source", std::string(to_string(search.source))},
             {"answered_by", search.answered_by.value.empty() ? "none" : search.answered_by.value},
             {"age_ms", found ? std::to_string(base::to_milliseconds(found->age)) : "none"},
             {"doubt", std::string(to_string(search.doubt))},
             {"list_age_ms", std::to_string(base::to_milliseconds(
                                 m_dependencies.registry.age(m_dependencies.scheduler.now())))},
             {"cause", found ? "none" : std::string(to_string(refusal_cause::origin_unknown))},
             {"taken_ms", std::to_string(base::to_milliseconds(taken))}});
    }

    void log_over_quota(const relay_plan& plan, const quotas::rate_limit& limit, double amount,
                        const quotas::quota_decision& decision) const {
        const base::duration taken = m_dependencies.scheduler.now() - plan.call->arrived;
        const std::string& counted_by = decision.counted_by.value;
        runtime::log(runtime::log_level::warning, component, "refused",
                     {{"request_id", plan.call->id.value},
                      {"cause", std::string(to_string(refusal_cause::over_quota))},
                      {"tenant", plan.tenant->name.value},
                      {"amount", std::to_string(static_cast<std::int64_t>(amount))},
                      {"per_second", std::to_string(static_cast<std::int64_t>(limit.per_second))},
                      {"counted_by", counted_by.empty() ? std::string("own part") : counted_by},
                      {"askers", std::to_string(decision.verdict.askers)},
                      {"retry_after_ms",
                       std::to_string(base::to_milliseconds(decision.verdict.retry_after))},
                      {"policy", std::to_string(plan.policy->version())},
                      {"taken_ms", std::to_string(base::to_milliseconds(taken))}});
    }

    static std::string milliseconds_text(const std::optional<base::duration>& time) {
        return time ? std::to_string(base::to_milliseconds(*time)) : "none";
    }

    void log_end(const relay_plan& plan, const relay_outcome& outcome) const {
        const base::duration taken = m_dependencies.scheduler.now() - plan.call->arrived;
        const auto first = outcome.first_event.value_or(base::duration{});
        const auto level = outcome.refusal ? runtime::log_level::warning : runtime::log_level::info;
        runtime::log(
            level, component, "ended",
            {{"request_id", plan.call->id.value},
             {"route", plan.matched_route->name.value},
             {"status", std::to_string(outcome.status)},
             {"cause", outcome.refusal ? std::string(to_string(outcome.refusal->cause))
                                       : std::string("answered")},
             {"run", outcome.refusal
                         ? std::string(core::execution::to_string(outcome.refusal->report))
                         : std::string("complete")},
             {"engine", outcome.engine},
             {"answers_skipped", std::to_string(outcome.answers_skipped)},
             {"via", outcome.via ? outcome.via->value : "none"},
             {"dispatches", std::to_string(outcome.dispatches)},
             {"events", std::to_string(outcome.events)},
             {"begun_at", outcome.begun_at ? outcome.begun_at->value : "none"},
             {"continued", std::to_string(outcome.continued)},
             {"mixed_software", outcome.mixed_software ? "true" : "false"},
             {"resumes", plan.call->resumed_attempt ? plan.call->resumed_attempt->value : "none"},
             {"first_event_ms", std::to_string(base::to_milliseconds(first))},
             {"longest_gap_ms", std::to_string(base::to_milliseconds(outcome.longest_gap))},
             {"weights", outcome.weights ? std::to_string(*outcome.weights) : "none"},
             {"begun_after_ms", milliseconds_text(outcome.begun_after)},
             {"begin_bound_ms", std::to_string(base::to_milliseconds(outcome.begin_bound))},
             {"begun_outdated_ms", milliseconds_text(outcome.begun_outdated)},
             {"taken_ms", std::to_string(base::to_milliseconds(taken))}});
    }

    relay_dependencies<Upstream> m_dependencies;
    relay_settings m_settings;
    outcome_listener m_on_outcome;
    waiting_requests m_waiting;    ///< Requests that wait at engines.
    waiting_requests m_deadlines;  ///< Requests in progress, until their deadlines.
    std::map<base::route_name, core::traffic::weighted_rotation> m_rotations;
    std::map<base::pool_name, core::admission::retry_window> m_budgets;
    std::map<base::pool_name, core::admission::load_shedder> m_shedders;
    std::size_t m_active = 0;
    bool m_leaving = false;
    /// When requests in progress will be ended, as this router is shutting down.
    std::optional<base::monotonic_time> m_stop_end;
};

}  // namespace ferryroad::relay
