#include "ferryroad/coordination/release/version_gate.hpp"

#include <algorithm>

namespace ferryroad::coordination::release {

namespace {

/// Notices arrive in any order and repeatedly; the phase with the highest rank counts.
int rank(release_phase phase) {
    switch (phase) {
        case release_phase::trial:
            return 0;
        case release_phase::promoted:
            return 1;
        case release_phase::rolled_back:
            return 2;
        case release_phase::completed:
            return 3;
    }
    return 0;
}

bool is_forward(release_phase phase) {
    return phase == release_phase::promoted || phase == release_phase::completed;
}

/// @return whether the notice excludes `version`: it is refused, or it is replaced and the phase is
/// `promoted` or later.
bool excludes(const phase_notice& notice, const software_version& version) {
    return notice.refused.contains(version) ||
           (is_forward(notice.phase) && notice.replaced.contains(version));
}

}  // namespace

// ---- Events ----

void version_gate::order(const release_order& given) {
    const auto known = m_orders.find(given.pool);
    if (known != m_orders.end() && given.number <= known->second.number) {
        return;
    }
    pool_state& state = m_pools[given.pool];
    if (known != m_orders.end()) {
        const auto phase = phase_of(given.pool);
        if (!phase || !is_forward(*phase)) {
            state.superseded.insert(known->second.target);
        }
    }
    if (state.told && state.told->notice.order >= given.number) {
        state.superseded.clear();
    }
    state.superseded.erase(given.target);
    state.target_in_force = only_in_force(state, given.target);
    m_orders.insert_or_assign(given.pool, given);
}

void version_gate::told(const phase_notice& notice, base::monotonic_time now) {
    pool_state& state = m_pools[notice.pool];
    if (state.told) {
        const phase_notice& last = state.told->notice;
        const bool older = notice.order < last.order;
        const bool regresses = notice.order == last.order && rank(notice.phase) < rank(last.phase);
        if (older || regresses) {
            return;
        }
    }
    state.told = told_phase{notice, now};
    const release_order* known = order_of(notice.pool);
    if (known == nullptr || notice.order >= known->number) {
        state.superseded.clear();
    } else if (!is_forward(notice.phase) && notice.target != known->target) {
        state.superseded.insert(notice.target);
    }
    if (notice.phase == release_phase::rolled_back) {
        const auto target = state.seen.find(notice.target);
        if (target != state.seen.end()) {
            target->second.in_force = false;
        }
    }
    if (notice.phase == release_phase::completed) {
        for (auto& [version, seen] : state.seen) {
            seen.in_force = version == notice.target;
        }
    }
}

void version_gate::stop(const base::pool_name& pool) {
    if (const release_order* known = order_of(pool)) {
        m_pools[pool].stopped = known->number;
    }
}

void version_gate::confirmed(base::monotonic_time as_of) {
    m_confirmed_at = std::max(m_confirmed_at.value_or(as_of), as_of);
    for (auto& [pool, state] : m_pools) {
        bring_into_force(pool, state);
    }
}

void version_gate::listed(const base::pool_name& pool, const std::set<software_version>& versions,
                          base::monotonic_time now) {
    pool_state& state = m_pools[pool];
    const bool first_list = state.seen.empty();
    for (auto& [version, seen] : state.seen) {
        seen.listed = versions.contains(version);
    }
    for (const software_version& version : versions) {
        state.seen.try_emplace(version, seen_version{now, true, false});
    }
    if (first_list && versions.size() == 1) {
        const software_version& only = *versions.begin();
        state.seen[only].in_force = may_come_into_force(pool, state, only);
    }
    bring_into_force(pool, state);
}

void version_gate::bring_into_force(const base::pool_name& pool, pool_state& state) const {
    for (auto& [version, seen] : state.seen) {
        if (m_confirmed_at && seen.first_at <= *m_confirmed_at &&
            may_come_into_force(pool, state, version)) {
            seen.in_force = true;
        }
    }
}

// ---- Questions ----

bool version_gate::may_come_into_force(const base::pool_name& pool, const pool_state& state,
                                       const software_version& version) const {
    const release_order* known = order_of(pool);
    const bool told_as_target = state.told && state.told->notice.target == version &&
                                state.told->notice.phase != release_phase::completed;
    if (state.superseded.contains(version) || told_as_target ||
        (state.told && excludes(state.told->notice, version))) {
        return false;
    }
    return known == nullptr || known->target != version ||
           phase_of(pool) == release_phase::completed;
}

bool version_gate::only_in_force(const pool_state& state, const software_version& version) const {
    const auto asked = state.seen.find(version);
    if (asked == state.seen.end() || !asked->second.listed || !asked->second.in_force) {
        return false;
    }
    return std::none_of(state.seen.begin(), state.seen.end(), [&](const auto& each) {
        return each.first != version && each.second.listed && each.second.in_force;
    });
}

permission version_gate::permits(const base::pool_name& pool, const software_version& version,
                                 base::monotonic_time listed_at, base::monotonic_time now) const {
    const release_order* known = order_of(pool);
    const pool_state* state = state_of(pool);
    const bool confirmed = m_confirmed_at && *m_confirmed_at >= listed_at;
    if (state == nullptr) {
        return confirmed ? permission::all : permission::none;
    }
    const phase_notice* told = state->told ? &state->told->notice : nullptr;
    // A later order that this router knows only from a notice: no trial until it has read the
    // order.
    if (told && told->target == version && (known == nullptr || told->order > known->number)) {
        const bool before = told->phase == release_phase::trial && only_in_force(*state, version);
        return before || is_forward(told->phase) ? permission::all : permission::none;
    }
    const bool later_order_announced = told && known && told->order > known->number;
    if (known && known->target == version && !later_order_announced) {
        return permits_target(pool, *state, now);
    }
    if (state->superseded.contains(version) || (told && excludes(*told, version))) {
        return permission::none;
    }
    const auto seen = state->seen.find(version);
    const bool in_force = seen != state->seen.end() && seen->second.in_force;
    return in_force || confirmed ? permission::all : permission::none;
}

permission version_gate::permits_target(const base::pool_name& pool, const pool_state& state,
                                        base::monotonic_time now) const {
    const phase_notice* told = notice_of_order(pool);
    if (told == nullptr) {
        const bool nothing_else = !state.told && state.seen.size() == 1 &&
                                  state.seen.begin()->first == m_orders.at(pool).target;
        return nothing_else || state.target_in_force ? permission::all : permission::none;
    }
    switch (told->phase) {
        case release_phase::promoted:
        case release_phase::completed:
            return permission::all;
        case release_phase::rolled_back:
            return permission::none;
        case release_phase::trial:
            break;
    }
    if (state.target_in_force) {
        return permission::all;
    }
    const bool granted = now - state.told->at < m_tunables.grant && state.stopped != told->order;
    return granted ? permission::canary : permission::none;
}

const version_gate::pool_state* version_gate::state_of(const base::pool_name& pool) const {
    const auto found = m_pools.find(pool);
    return found == m_pools.end() ? nullptr : &found->second;
}

const phase_notice* version_gate::notice_of_order(const base::pool_name& pool) const {
    const release_order* known = order_of(pool);
    const pool_state* state = state_of(pool);
    const bool same = known && state && state->told && state->told->notice.order == known->number;
    return same ? &state->told->notice : nullptr;
}

const release_order* version_gate::order_of(const base::pool_name& pool) const {
    const auto found = m_orders.find(pool);
    return found == m_orders.end() ? nullptr : &found->second;
}

std::optional<release_phase> version_gate::phase_of(const base::pool_name& pool) const {
    const phase_notice* told = notice_of_order(pool);
    return told ? std::optional(told->phase) : std::nullopt;
}

bool version_gate::under_way(const base::pool_name& pool) const {
    const release_order* known = order_of(pool);
    if (known == nullptr) {
        return false;
    }
    const pool_state* state = state_of(pool);
    const bool superseded = state && state->told && state->told->notice.order > known->number;
    const auto phase = phase_of(pool);
    return !superseded && !(phase && is_final(*phase));
}

}  // namespace ferryroad::coordination::release
