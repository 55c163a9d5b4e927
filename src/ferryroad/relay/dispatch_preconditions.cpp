#include "ferryroad/relay/dispatch_preconditions.hpp"

#include <algorithm>
#include <utility>

namespace ferryroad::relay {

namespace {

/// A stream without events for this time counts as preempted by its engine. Engines pause streams
/// for shorter times while they read the prompts of other requests, or have many streams.
constexpr base::duration preemption_pause = std::chrono::seconds(1);

}  // namespace

selection_query query_of(const relay_plan& plan, std::vector<base::engine_name> excluded) {
    return {*plan.call,  *plan.policy,        plan.pool,
            plan.tenant, std::move(excluded), plan.matched_route->target_gap};
}

bool dispatch_preconditions::key_is_valid() const {
    const auto current = m_sources.policies.current();
    if (m_plan.tenant == nullptr) {
        // A key that meant nothing when the request arrived may have become a tenant's.
        return !m_plan.call->api_key || current->declared().tenants.empty();
    }
    const auto* tenant = current->find_tenant(*m_plan.call->api_key);
    return m_sources.policies.keys_valid(m_sources.scheduler.now()) && tenant != nullptr &&
           tenant->name == m_plan.tenant->name;
}

std::optional<base::monotonic_time> dispatch_preconditions::quarantined_until() const {
    if (m_sources.quarantine == nullptr) {
        return std::nullopt;
    }
    if (const auto* request = m_sources.quarantine->find(m_plan.identity)) {
        return request->until;
    }
    const auto* part = m_plan.tries_part ? nullptr : m_sources.quarantine->find_part(m_plan.parts);
    return part == nullptr ? std::nullopt : std::optional(part->until);
}

// A request whose exchange just broke is not retried if an engine has already crashed while running
// it, or several have while running others with a part of its prompt: it would most likely crash
// another one. 3 crashes suffice for quarantine; without this check, each repeatable request
// crashed 4 engines.
bool dispatch_preconditions::is_held_back() const {
    return quarantined_until() || (m_broke && m_sources.quarantine != nullptr &&
                                   (m_sources.quarantine->is_suspect(m_plan.identity) ||
                                    m_sources.quarantine->is_suspect(m_plan.parts)));
}

std::optional<dispatch_precondition> dispatch_preconditions::lost_before_sending(
    const selected_engine& chosen, const known_engine* engine, base::monotonic_time now) const {
    if (!key_is_valid()) {
        return dispatch_precondition::key;
    }
    if (is_held_back()) {
        return dispatch_precondition::no_quarantine;
    }
    if (engine == nullptr) {
        return dispatch_precondition::engine_process;
    }
    if (engine->is_leaving()) {
        return dispatch_precondition::engine_stays;
    }
    if (engine->is_backing_off(now)) {
        return dispatch_precondition::no_backoff;
    }
    if (!m_sources.selection.is_still_valid(chosen, query_of(m_plan), now)) {
        return dispatch_precondition::engine_serves;
    }
    if (m_sources.selection.would_fetch_outdated_state(chosen, *m_plan.call, now)) {
        return dispatch_precondition::state_current;
    }
    return now < m_plan.deadline ? std::nullopt : std::optional(dispatch_precondition::time_left);
}

bool dispatch_preconditions::watches_state(const selected_engine& chosen) {
    return chosen.fetch_state_from && chosen.may_be_withdrawn;
}

bool dispatch_preconditions::can_be_lost(const selected_engine& chosen) const {
    return m_timing.is_waiting() && (m_sources.quarantine != nullptr ||
                                     m_timing.can_become_outdated() || watches_state(chosen));
}

// A quarantine must be noticed here, too: a request that was quarantined while it waited at an
// engine would crash that engine as well when its turn came.
//
// Mere suspects are left waiting: when an engine crashes, every request in progress there becomes a
// suspect, and most of them did not cause the crash.
runtime::task<dispatch_precondition> dispatch_preconditions::until_lost(
    const selected_engine& chosen) const {
    const bool can_become_outdated = m_timing.can_become_outdated();
    for (;;) {
        const base::monotonic_time now = m_sources.scheduler.now();
        if (quarantined_until()) {
            co_return dispatch_precondition::no_quarantine;
        }
        if (can_become_outdated && m_timing.may_no_longer_begin(now)) {
            co_return dispatch_precondition::engine_serves;
        }
        if (watches_state(chosen) &&
            m_sources.selection.would_fetch_outdated_state(chosen, *m_plan.call, now)) {
            co_return dispatch_precondition::state_current;
        }
        std::optional<base::monotonic_time> check_at;
        if (watches_state(chosen)) {
            check_at = m_sources.selection.next_state_check(chosen, *m_plan.call, now);
        }
        if (can_become_outdated) {
            const base::monotonic_time next = m_timing.next_check(now);
            check_at = std::min(check_at.value_or(next), next);
        }
        co_await m_sources.waiting.sleep(m_plan.identity, check_at);
    }
}

bool dispatch_preconditions::watches_running_state(const selected_engine& chosen) const {
    return chosen.may_be_withdrawn && m_plan.call->prompt &&
           (chosen.fetch_state_from || chosen.save_state_to);
}

bool dispatch_preconditions::has_outdated_running_state(const selected_engine& chosen,
                                                        base::monotonic_time last_event_at,
                                                        base::monotonic_time now) const {
    const engine_selection& selection = m_sources.selection;
    if (selection.would_save_outdated_state(chosen, *m_plan.call, now)) {
        return true;
    }
    return now - last_event_at >= preemption_pause &&
           selection.would_fetch_outdated_state_again(chosen, *m_plan.call, now);
}

runtime::task<dispatch_precondition> dispatch_preconditions::until_running_state_lost(
    const selected_engine& chosen, base::monotonic_time last_event_at,
    const std::function<bool()>& may_continue) const {
    for (;;) {
        const base::monotonic_time now = m_sources.scheduler.now();
        if (has_outdated_running_state(chosen, last_event_at, now) && may_continue()) {
            co_return dispatch_precondition::state_current;
        }
        const auto check_at = m_sources.selection.next_state_check(chosen, *m_plan.call, now);
        co_await m_sources.waiting.sleep(m_plan.identity, check_at);
    }
}

}  // namespace ferryroad::relay
