/// @file
/// Serves relayed calls: resolves each by the policy in force, runs it within its time, and
/// sees its caller leave.
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

/// Retries towards one pool, as a share of the requests to it.
using retry_settings = core::admission::retry_window_settings;

/// Over which operators bound retries.
inline constexpr base::duration retry_limit_window = std::chrono::seconds(10);

/// @param share, reserve what all routers together may make within the limit's window.
/// @param routers that share it. @return this router's part, with room for counting late.
inline retry_settings retry_settings_for(double share, double reserve, std::size_t routers) {
    constexpr double used_share = 0.75;
    constexpr double used_reserve = 0.6;
    const double part =
        reserve * used_reserve / static_cast<double>(std::max<std::size_t>(1, routers));
    return {share * used_share, std::max(1.0, part), retry_limit_window};
}

struct relay_settings {
    driver_tunables driver;
    retry_settings retries;
    /// When to come back where no policy is known: an outage of the owner lasts seconds, and a
    /// caller that comes back too soon is refused again.
    base::duration unknown_policy_retry_after = std::chrono::milliseconds(2500);
    /// The same where the policy is not fresh: another router may still have it fresh.
    base::duration stale_policy_retry_after = std::chrono::milliseconds(1000);
};

/// Where finished requests are told, for logs and metrics.
using outcome_sink = std::function<void(const relay_plan&, const relay_outcome&)>;

/// Used from the event loop's thread; collaborators outlive it, and it outlives its requests.
template <upstream Upstream>
class relay_service {
  public:
    relay_service(relay_collaborators<Upstream> with, relay_settings settings, outcome_sink told)
        : m_with(with), m_settings(settings), m_told(std::move(told)), m_waiting(with.scheduler) {
        if (m_with.quarantine != nullptr) {
            m_with.quarantine->on_quarantined(
                [this](const auto& request) { m_waiting.wake(request); });
        }
    }
    relay_service(const relay_service&) = delete;
    relay_service& operator=(const relay_service&) = delete;

    /// Gives the call its final answer. @param writer outlives the returned coroutine.
    runtime::task<void> handle(relay_call call, http::response_writer& writer) {
        return answer(std::make_shared<const relay_call>(std::move(call)), writer);
    }

    /// From now on every new call is refused: this router is about to end.
    void refuse_new() { m_leaving = true; }
    void change_settings(relay_settings settings) { m_settings = settings; }
    /// @return requests now being served.
    std::size_t active() const { return m_active; }
    /// @return share of streams refused now because engines are short, of the worst pool.
    double shed_share() const {
        double most = 0;
        for (const auto& [pool, shedder] : m_shedders) {
            most = std::max(most, shedder.refused_share());
        }
        return most;
    }

  private:
    using resolution = std::variant<relay_plan, relay_refusal>;
    static constexpr std::string_view component = "relay.service";

    runtime::task<void> answer(std::shared_ptr<const relay_call> call,
                               http::response_writer& writer) {
        const auto resolved = resolve(call);
        if (const auto* refusal = std::get_if<relay_refusal>(&resolved)) {
            log_refusal(*call, *refusal);
            http::response refused = answer_of(*refusal);
            co_await writer.send(std::move(refused));
            co_return;
        }
        relay_plan plan = std::get<relay_plan>(resolved);
        const auto over = co_await count_quota(plan);
        if (over) {
            relay_outcome outcome;
            outcome.refusal = over;
            http::response refused = answer_of(*over);
            outcome.status = refused.status;
            co_await writer.send(std::move(refused));
            m_told(plan, outcome);
            co_return;
        }
        co_await serve(std::move(plan), writer);
    }

    /// @return the refusal of a request beyond its tenant's limit.
    runtime::task<std::optional<relay_refusal>> count_quota(const relay_plan& plan) {
        if (plan.tenant == nullptr || !plan.tenant->quota || !m_with.count_quota) {
            co_return std::nullopt;
        }
        const core::traffic::tenant_quota& quota = *plan.tenant->quota;
        const quotas::rate_limit limit{base::revision(plan.policy->version()), quota.per_second,
                                       quota.burst};
        const double amount = core::traffic::counted_amount(quota, plan.call->told_tokens);
        const quotas::quota_decision decided =
            co_await m_with.count_quota(plan.tenant->name, limit, amount);
        if (decided.verdict.granted) {
            co_return std::nullopt;
        }
        log_over_quota(plan, limit, amount, decided);
        co_return relay_refusal{refusal_cause::over_quota,
                                core::execution::execution_report::not_run,
                                decided.verdict.retry_after};
    }

    relay_refusal refusal_of(refusal_cause cause) const {
        const bool unknown = cause == refusal_cause::no_policy;
        return {
            cause, core::execution::execution_report::not_run,
            unknown ? m_settings.unknown_policy_retry_after : m_settings.stale_policy_retry_after};
    }

    resolution resolve(const std::shared_ptr<const relay_call>& call) {
        const base::monotonic_time now = m_with.scheduler.now();
        if (m_leaving) {
            return relay_refusal{refusal_cause::leaving, core::execution::execution_report::not_run,
                                 base::duration{}};
        }
        relay_plan plan;
        plan.call = call;
        plan.policy = m_with.policies.current();
        if (!plan.policy) {
            return refusal_of(refusal_cause::no_policy);
        }
        // Without a fresh confirmation, what seems wrong may have been put right.
        const bool certain = m_with.policies.refusals_hold(now);
        plan.on = plan.policy->find_route(call->host, call->message.path());
        if (plan.on == nullptr) {
            return refusal_of(certain ? refusal_cause::no_route : refusal_cause::policy_not_fresh);
        }
        if (plan.policy->needs_key(*plan.on)) {
            plan.tenant = call->api_key ? plan.policy->find_tenant(*call->api_key) : nullptr;
            if (plan.tenant == nullptr) {
                return refusal_of(certain ? refusal_cause::unknown_key
                                          : refusal_cause::policy_not_fresh);
            }
            if (!m_with.policies.keys_hold(now)) {
                return refusal_of(refusal_cause::policy_not_fresh);
            }
        }
        plan.pool = m_rotations[plan.on->name].next(plan.on->pools);
        const base::duration allowed =
            std::min(call->time_left.value_or(plan.on->timeout), plan.on->timeout);
        plan.deadline = call->arrived + allowed;
        const bool own_priority = plan.tenant != nullptr && plan.tenant->priority;
        plan.priority = own_priority ? *plan.tenant->priority : plan.on->priority;
        plan.identity = identity_of(plan);
        // A repeat has a new id and comes to any router: 26 engines ended under one request while
        // each router forgot it with its answer (logs of a fleet of 7).
        if (m_with.quarantine != nullptr) {
            if (const auto* found = m_with.quarantine->find(plan.identity)) {
                log_quarantined(*call, *found);
                return relay_refusal{refusal_cause::quarantined,
                                     core::execution::execution_report::not_run,
                                     found->until - now};
            }
        }
        return plan;
    }

    /// @return the pool's budget, in which the request counts from now on.
    core::admission::retry_window& budget_of(const base::pool_name& pool) {
        const auto place = m_budgets.try_emplace(pool, m_settings.retries).first;
        place->second.change_settings(m_settings.retries);
        place->second.record_request(m_with.scheduler.now());
        return place->second;
    }

    runtime::task<void> serve(relay_plan plan, http::response_writer& writer) {
        using boost::asio::experimental::awaitable_operators::operator||;
        ++m_active;
        const base::monotonic_time deadline = plan.deadline;
        relay_driver<Upstream> driver(m_with, plan, budget_of(plan.pool), m_shedders[plan.pool],
                                      m_waiting, writer, m_settings.driver);
        const auto first = co_await (driver.run() || m_with.scheduler.sleep_until(deadline) ||
                                     writer.wait_closed());
        core::execution::event ended = core::execution::caller_gone{};
        if (first.index() == 1) {
            ended = core::execution::deadline_passed{};
        }
        if (first.index() != 0) {
            co_await driver.interrupt(std::move(ended));
        }
        --m_active;
        log_end(plan, driver.outcome());
        m_told(plan, driver.outcome());
    }

    void log_refusal(const relay_call& call, const relay_refusal& refusal) const {
        const base::monotonic_time now = m_with.scheduler.now();
        const auto policy = m_with.policies.current();
        runtime::log(
            runtime::log_level::warning, component, "refused",
            {{"request_id", call.id.value},
             {"cause", std::string(to_string(refusal.cause))},
             {"policy", policy ? std::to_string(policy->version()) : "none"},
             {"policy_age_ms", std::to_string(base::to_milliseconds(m_with.policies.age(now)))}});
    }

    void log_quarantined(const relay_call& call,
                         const core::quarantine::quarantined_request& found) const {
        const base::monotonic_time now = m_with.scheduler.now();
        runtime::log(
            runtime::log_level::warning, component, "held back",
            {{"request_id", call.id.value},
             {"digest", core::quarantine::to_string(found.request)},
             {"crashes", std::to_string(found.crashes)},
             {"since_ms", std::to_string(base::to_milliseconds(now - found.since))},
             {"retry_after_ms", std::to_string(base::to_milliseconds(found.until - now))}});
    }

    void log_over_quota(const relay_plan& plan, const quotas::rate_limit& limit, double amount,
                        const quotas::quota_decision& decided) const {
        const base::duration taken = m_with.scheduler.now() - plan.call->arrived;
        const std::string& counted_by = decided.counted_by.value;
        runtime::log(
            runtime::log_level::warning, component, "refused",
            {{"request_id", plan.call->id.value},
             {"cause", std::string(to_string(refusal_cause::over_quota))},
             {"tenant", plan.tenant->name.value},
             {"amount", std::to_string(static_cast<std::int64_t>(amount))},
             {"per_second", std::to_string(static_cast<std::int64_t>(limit.per_second))},
             {"counted_by", counted_by.empty() ? std::string("own part") : counted_by},
             {"askers", std::to_string(decided.verdict.askers)},
             {"retry_after_ms", std::to_string(base::to_milliseconds(decided.verdict.retry_after))},
             {"policy", std::to_string(plan.policy->version())},
             {"taken_ms", std::to_string(base::to_milliseconds(taken))}});
    }

    static std::string milliseconds_text(const std::optional<base::duration>& time) {
        return time ? std::to_string(base::to_milliseconds(*time)) : "none";
    }

    void log_end(const relay_plan& plan, const relay_outcome& outcome) const {
        const base::duration taken = m_with.scheduler.now() - plan.call->arrived;
        const auto first = outcome.first_event.value_or(base::duration{});
        const auto level = outcome.refusal ? runtime::log_level::warning : runtime::log_level::info;
        runtime::log(
            level, component, "ended",
            {{"request_id", plan.call->id.value},
             {"route", plan.on->name.value},
             {"status", std::to_string(outcome.status)},
             {"cause", outcome.refusal ? std::string(to_string(outcome.refusal->cause))
                                       : std::string("answered")},
             {"engine", outcome.engine},
             {"dispatches", std::to_string(outcome.dispatches)},
             {"events", std::to_string(outcome.events)},
             {"first_event_ms", std::to_string(base::to_milliseconds(first))},
             {"longest_gap_ms", std::to_string(base::to_milliseconds(outcome.longest_gap))},
             {"weights", outcome.weights ? std::to_string(*outcome.weights) : "none"},
             {"begun_after_ms", milliseconds_text(outcome.begun_after)},
             {"begin_bound_ms", std::to_string(base::to_milliseconds(outcome.begin_bound))},
             {"begun_outdated_ms", milliseconds_text(outcome.begun_outdated)},
             {"taken_ms", std::to_string(base::to_milliseconds(taken))}});
    }

    relay_collaborators<Upstream> m_with;
    relay_settings m_settings;
    outcome_sink m_told;
    waiting_requests m_waiting;
    std::map<base::route_name, core::traffic::weighted_rotation> m_rotations;
    std::map<base::pool_name, core::admission::retry_window> m_budgets;
    std::map<base::pool_name, core::admission::load_shedder> m_shedders;
    std::size_t m_active = 0;
    bool m_leaving = false;
};

}  // namespace ferryroad::relay
