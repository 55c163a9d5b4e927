#include "ferryroad/relay/rollout_lease.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace ferryroad::relay {

namespace {

/// Routers that start together all read the store until they know each other, and would all ask
/// for the lease: twice the time after which the list of routers is read again.
constexpr base::duration contention_delay = std::chrono::milliseconds(800);

}  // namespace

bool contends_for_rollout(const lease_contender& router) {
    if (router.stopping) {
        return false;
    }
    return router.holds || (router.reads_owner && router.up_for >= contention_delay);
}

rollout_lease::rollout_lease(const runtime::scheduler& scheduler, leases::lease_service& leases,
                             const owner_clock& clock, leases::lease_name name, base::duration turn)
    : m_scheduler(scheduler),
      m_leases(leases),
      m_clock(clock),
      m_name(std::move(name)),
      m_turn(turn) {}

void rollout_lease::intend(bool acting) {
    note_new_hold();
    if (!m_last_token || m_finished) {
        return;
    }
    if (acting && m_scheduler.now() + say_ahead >= m_act_from) {
        m_leases.set_note(m_name, note_acting);
        return;
    }
    leave_word();
}

void rollout_lease::finish() {
    note_new_hold();
    m_finished = true;
    if (m_last_token) {
        leave_word();
    }
}

void rollout_lease::act_ended() {
    --m_acts_out;
    m_last_act = m_scheduler.now();
}

base::monotonic_time rollout_lease::last_arrival() const {
    if (m_acts_out > 0) {
        return m_scheduler.now() + longest_act;
    }
    // Whoever never acted says since when it is known that nobody does.
    return m_last_act.value_or(m_act_from - m_turn);
}

void rollout_lease::leave_word() {
    const base::monotonic_time since = last_arrival();
    const auto told = m_clock.known() ? m_clock.to_owner_latest(since) : 0;
    m_leases.set_note(m_name, std::max<std::int64_t>(told, note_acting + 1));
}

void rollout_lease::note_new_hold() {
    const auto token = m_leases.token(m_name);
    if (token == m_last_token) {
        return;
    }
    m_last_token = token;
    m_last_act.reset();
    if (token) {
        m_act_from = end_of_turn(m_leases.predecessor_note(m_name));
    }
}

base::monotonic_time rollout_lease::end_of_turn(std::uint64_t predecessor_note) const {
    const base::monotonic_time now = m_scheduler.now();
    const bool first_ever = m_last_token->value == 1;
    if (first_ever) {
        return now;
    }
    const bool told = predecessor_note > note_acting && m_clock.known();
    // It acted until its hold ended at the latest, whatever it has written.
    const base::monotonic_time latest = std::min(m_leases.predecessor_end(m_name), now);
    if (!told) {
        return std::max(now, latest + m_turn);
    }
    // An act that was out when the hold ended may have reached its engine after that.
    const base::monotonic_time latest_arrival = latest + longest_act;
    const auto last_act = m_clock.to_local_latest(static_cast<std::int64_t>(predecessor_note));
    return std::max(now, std::min(last_act, latest_arrival) + m_turn);
}

std::optional<base::fencing_token> rollout_lease::token() {
    note_new_hold();
    const base::monotonic_time now = m_scheduler.now();
    const bool said = m_leases.stored_note(m_name) == note_acting;
    if (!m_last_token || m_finished || !said || now < m_act_from) {
        return std::nullopt;
    }
    m_last_act = now;
    return m_last_token;
}

}  // namespace ferryroad::relay
