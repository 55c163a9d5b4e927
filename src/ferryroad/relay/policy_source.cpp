#include "ferryroad/relay/policy_source.hpp"

#include <algorithm>
#include <utility>

namespace ferryroad::relay {

namespace {

/// A confirmation older than this share of the time in which a key must stop to hold is none:
/// what is sent now takes a while to arrive and to run.
constexpr double confirmation_share = 0.58;
/// A request may wait at an engine this long before it begins.
constexpr base::duration outdated_margin = std::chrono::milliseconds(800);

}  // namespace

policy_bounds policy_bounds_for(bool keys_need_confirmation, base::duration revocation) {
    policy_bounds bounds;
    if (keys_need_confirmation) {
        bounds.key_confirmation =
            base::from_seconds(base::to_seconds(revocation) * confirmation_share);
    }
    return bounds;
}

base::duration outdated_limit_for(base::duration allowed) {
    return std::max(allowed - outdated_margin, allowed / 2);
}

bool policy_source::offer(core::traffic::declaration declared) {
    if (m_current && declared.version <= m_current->version()) {
        return false;
    }
    m_current = std::make_shared<const core::traffic::traffic_policy>(std::move(declared));
    return true;
}

bool policy_source::name_version(const std::string& model, std::uint64_t version) {
    named_version& newest = m_versions[model];
    if (version <= newest.version) {
        return false;
    }
    newest.version = version;
    newest.accepted_after = m_confirmed_at.value_or(base::monotonic_time{});
    return true;
}

void policy_source::confirm(base::monotonic_time asked_at) {
    m_confirmed_at = std::max(asked_at, m_confirmed_at.value_or(asked_at));
}

named_version policy_source::newest(const std::string& model) const {
    const auto found = m_versions.find(model);
    return found == m_versions.end() ? named_version{} : found->second;
}

base::duration policy_source::age(base::monotonic_time now) const {
    return m_confirmed_at ? now - *m_confirmed_at : base::duration::max();
}

bool policy_source::keys_hold(base::monotonic_time now) const {
    return !m_bounds.key_confirmation || age(now) < *m_bounds.key_confirmation;
}

bool policy_source::refusals_hold(base::monotonic_time now) const {
    return age(now) < m_bounds.refusal_confirmation;
}

}  // namespace ferryroad::relay
