#include "ferryroad/relay/dispatch_grounds.hpp"

#include <utility>

namespace ferryroad::relay {

selection_query query_of(const relay_plan& plan, std::vector<base::engine_name> excluded) {
    return {*plan.call,  *plan.policy,        plan.pool,
            plan.tenant, std::move(excluded), plan.on->target_gap};
}

bool dispatch_grounds::key_holds() const {
    if (m_plan.tenant == nullptr) {
        return true;
    }
    const auto current = m_with.policies.current();
    const auto* holder = current->find_tenant(*m_plan.call->api_key);
    return m_with.policies.keys_hold(m_with.scheduler.now()) && holder != nullptr &&
           holder->name == m_plan.tenant->name;
}

const core::quarantine::quarantined_request* dispatch_grounds::quarantine() const {
    return m_with.quarantine == nullptr ? nullptr : m_with.quarantine->find(m_plan.identity);
}

/// One whose exchange just broke isn't sent on where an engine had ended under it before: it would
/// most likely be the third (4 engines under each repeatable request where 3 are enough).
bool dispatch_grounds::is_held_back() const {
    return quarantine() != nullptr || (m_broke && m_with.quarantine != nullptr &&
                                       m_with.quarantine->is_suspect(m_plan.identity));
}

std::optional<dispatch_ground> dispatch_grounds::lost_before_sending(
    const selected_engine& chosen, const known_engine* engine, base::monotonic_time now) const {
    if (!key_holds()) {
        return dispatch_ground::key;
    }
    if (is_held_back()) {
        return dispatch_ground::no_quarantine;
    }
    if (engine == nullptr) {
        return dispatch_ground::engine_process;
    }
    if (engine->listed.leaving) {
        return dispatch_ground::engine_stays;
    }
    if (!m_with.selection.still_serves(chosen, query_of(m_plan), now)) {
        return dispatch_ground::engine_serves;
    }
    return now < m_plan.deadline ? std::nullopt : std::optional(dispatch_ground::time_left);
}

bool dispatch_grounds::can_be_lost() const {
    return m_watch.waits() && (m_with.quarantine != nullptr || m_watch.depends_on_namings());
}

/// A request that waited was looked at only until it was sent, so that it ended a further engine
/// when its turn came, after it had been quarantined for the engines before.
///
/// A suspect stays where it is: an engine that ends makes a suspect of each request in progress
/// there, and most of them did nothing.
runtime::task<dispatch_ground> dispatch_grounds::until_lost() const {
    const bool follows_namings = m_watch.depends_on_namings();
    for (;;) {
        const base::monotonic_time now = m_with.scheduler.now();
        if (quarantine() != nullptr) {
            co_return dispatch_ground::no_quarantine;
        }
        if (follows_namings && m_watch.may_no_longer_begin(now)) {
            co_return dispatch_ground::engine_serves;
        }
        const auto look_at = follows_namings ? std::optional(m_watch.next_look(now)) : std::nullopt;
        co_await m_with.waiting.sleep(m_plan.identity, look_at);
    }
}

}  // namespace ferryroad::relay
