#include "ferryroad/relay/rollout_lease.hpp"

#include "ferryroad/runtime/log.hpp"

#include <algorithm>
#include <chrono>
#include <string>
#include <string_view>
#include <utility>

namespace ferryroad::relay {

namespace {

/// Routers that start together all read the store until they know each other, and would all
/// contend for the lease. The delay is twice the interval at which starting routers read the list
/// of routers.
constexpr base::duration contention_delay = std::chrono::milliseconds(800);

constexpr std::string_view component = "relay.rollout_lease";

}  // namespace

bool contends_for_rollout(const lease_contender& router) {
    if (router.stopping || !router.reaches_engines) {
        return false;
    }
    return router.holds || (router.reads_owner && router.uptime >= contention_delay);
}

rollout_lease::rollout_lease(const runtime::scheduler& scheduler, leases::lease_service& leases,
                             const owner_clock& clock, leases::lease_name name,
                             base::duration handover_gap)
    : m_scheduler(scheduler),
      m_leases(leases),
      m_clock(clock),
      m_name(std::move(name)),
      m_handover_gap(handover_gap) {}

void rollout_lease::contend(std::function<bool()> wanted) {
    m_leases.contend(m_name, std::move(wanted), [this] { return current_note(); });
}

void rollout_lease::set_intent(bool acting) {
    track_holder_change();
    m_wants_to_act = acting;
}

void rollout_lease::finish() {
    m_finished = true;
}

void rollout_lease::end_action() {
    --m_actions_in_flight;
    m_last_action = m_scheduler.now();
}

base::monotonic_time rollout_lease::latest_arrival_time() const {
    if (m_actions_in_flight > 0) {
        return m_scheduler.now() + max_action_time;
    }
    // A holder that never acted passes on the time since when no predecessor has acted.
    return m_last_action.value_or(m_may_act_from - m_handover_gap);
}

std::uint64_t rollout_lease::current_note() {
    track_holder_change();
    const bool may_act = m_leases.token(m_name) && !m_finished;
    const bool is_due = m_scheduler.now() + announce_lead >= m_may_act_from;
    return may_act && m_wants_to_act && is_due ? note_acting : last_action_note();
}

std::uint64_t rollout_lease::last_action_note() const {
    if (!m_clock.known()) {
        // It has not acted without the clock.
        return m_leases.predecessor_note(m_name);
    }
    const auto owner_time = m_clock.to_owner_latest(latest_arrival_time());
    return static_cast<std::uint64_t>(std::max<std::int64_t>(owner_time, note_acting + 1));
}

void rollout_lease::track_holder_change() {
    // The hold counts, not the right to act: after a planned stop has begun, the time of the last
    // action is still to be written.
    const auto hold = m_leases.hold_token(m_name);
    if (hold == m_hold) {
        return;
    }
    m_hold = hold;
    m_last_action.reset();
    m_wants_to_act = false;
    if (hold) {
        m_may_act_from = first_action_time(m_leases.predecessor_note(m_name));
        log_takeover();
    }
}

void rollout_lease::log_takeover() const {
    const base::duration wait = m_may_act_from - m_scheduler.now();
    runtime::log(runtime::log_level::info, component, "rollout lease taken over",
                 {{"token", std::to_string(m_hold->value)},
                  {"predecessor_note", std::to_string(m_leases.predecessor_note(m_name))},
                  {"clock_known", m_clock.known() ? "true" : "false"},
                  {"may_act_in_ms", std::to_string(base::to_milliseconds(wait))}});
}

base::monotonic_time rollout_lease::first_action_time(std::uint64_t predecessor_note) const {
    const base::monotonic_time now = m_scheduler.now();
    const bool first_ever = m_hold->value == 1;
    if (first_ever) {
        return now;
    }
    const bool knows_last_action = predecessor_note > note_acting && m_clock.known();
    // The predecessor acted at most until its hold ended, whatever its note says.
    const base::monotonic_time hold_end = std::min(m_leases.predecessor_end(m_name), now);
    if (!knows_last_action) {
        return std::max(now, hold_end + m_handover_gap);
    }
    // An action that was in flight when the hold ended may have reached its engine after that.
    const base::monotonic_time latest_arrival = hold_end + max_action_time;
    const auto last_action = m_clock.to_local_latest(static_cast<std::int64_t>(predecessor_note));
    return std::max(now, std::min(last_action, latest_arrival) + m_handover_gap);
}

std::optional<base::fencing_token> rollout_lease::token() {
    track_holder_change();
    const base::monotonic_time now = m_scheduler.now();
    const auto token = m_leases.token(m_name);
    const bool announced = m_leases.stored_note(m_name) == note_acting;
    // Without the clock, this router could not leave the time of its last action.
    if (!token || m_finished || !announced || !m_clock.known() || now < m_may_act_from) {
        return std::nullopt;
    }
    m_last_action = now;
    return token;
}

}  // namespace ferryroad::relay
