#include "ferryroad/relay/policy_source.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace ferryroad::relay {

namespace {

/// Share of the revocation time for which a confirmation is valid. The rest is left for a request
/// that was accepted by a revoked key to reach its engine and run.
constexpr double confirmation_share = 0.58;
/// Time for a message or a closed connection to take effect at an engine: some milliseconds of
/// network latency and the pauses of a busy process.
constexpr base::duration outdated_margin = std::chrono::milliseconds(250);

}  // namespace

policy_staleness_limits policy_staleness_limits_for(bool keys_need_confirmation,
                                                    base::duration revocation) {
    policy_staleness_limits bounds;
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

bool policy_source::add_named_version(const std::string& model, std::uint64_t version) {
    return m_versions[model].add({version, m_confirmed_at.value_or(base::monotonic_time{})});
}

bool version_history::add(named_version named) {
    if (named.version <= newest()) {
        return false;
    }
    m_named.push_back(named);
    if (m_named.size() > max_versions) {
        m_named[1].accepted_after = m_named[0].accepted_after;
        m_named.erase(m_named.begin());
    }
    return true;
}

void version_history::raise_accepted_after(std::uint64_t older_than, std::uint64_t up_to,
                                           base::monotonic_time moment) {
    for (named_version& one : m_named) {
        if (one.version > older_than && one.version <= up_to) {
            one.accepted_after = std::max(one.accepted_after, moment);
        }
    }
}

void version_history::insert(named_version named) {
    const auto place = std::find_if(m_named.begin(), m_named.end(), [&](const named_version& one) {
        return one.version >= named.version;
    });
    if (place == m_named.end()) {
        add(named);
    } else if (place->version != named.version && m_named.size() < max_versions) {
        m_named.insert(place, named);
    }
}

void policy_source::add_recorded_naming(const std::string& model, std::uint64_t version,
                                        base::monotonic_time moment) {
    m_versions[model].insert({version, moment});
    m_versions[model].raise_accepted_after(version - 1, version, moment);
}

void policy_source::raise_unrecorded_namings(const std::map<std::string, std::uint64_t>& recorded,
                                             base::monotonic_time moment) {
    for (auto& [model, history] : m_versions) {
        const auto found = recorded.find(model);
        const std::uint64_t newest = found == recorded.end() ? 0 : found->second;
        history.raise_accepted_after(newest, std::numeric_limits<std::uint64_t>::max(), moment);
    }
}

std::optional<base::monotonic_time> version_history::outdated_since(std::uint64_t version) const {
    const auto newer = std::find_if(m_named.begin(), m_named.end(), [&](const named_version& one) {
        return one.version > version;
    });
    return newer == m_named.end() ? std::nullopt : std::optional(newer->accepted_after);
}

void policy_source::confirm(base::monotonic_time asked_at) {
    m_confirmed_at = std::max(asked_at, m_confirmed_at.value_or(asked_at));
}

const version_history& policy_source::versions_of(const std::string& model) const {
    static const version_history none;
    const auto found = m_versions.find(model);
    return found == m_versions.end() ? none : found->second;
}

std::optional<base::monotonic_time> policy_source::outdated_since(const std::string& model,
                                                                  std::uint64_t version) const {
    const auto since = versions_of(model).outdated_since(version);
    if (since && m_awaiting_record_since) {
        return std::max(*since, *m_awaiting_record_since);
    }
    return since;
}

bool policy_source::record_observed_version(const std::string& model, std::uint64_t version,
                                            base::monotonic_time now) {
    observed_version& newest = m_observed[model];
    if (version <= newest.version || version <= versions_of(model).newest()) {
        return false;
    }
    newest = {version, now};
    return true;
}

bool policy_source::is_newest(const std::string& model, std::uint64_t version) const {
    if (version < versions_of(model).newest()) {
        return false;
    }
    const auto observed = m_observed.find(model);
    return observed == m_observed.end() || version >= observed->second.version ||
           (m_confirmed_at && *m_confirmed_at > observed->second.at);
}

std::vector<core::placement::known_weights> policy_source::newest_weights() const {
    std::map<std::string, std::uint64_t> newest;
    for (const auto& [model, history] : m_versions) {
        newest[model] = history.newest();
    }
    for (const auto& [model, seen] : m_observed) {
        if (!m_confirmed_at || *m_confirmed_at <= seen.at) {
            newest[model] = std::max(newest[model], seen.version);
        }
    }
    std::vector<core::placement::known_weights> all;
    all.reserve(newest.size());
    for (const auto& [model, version] : newest) {
        all.push_back({model, version});
    }
    return all;
}

base::duration policy_source::age(base::monotonic_time now) const {
    return m_confirmed_at ? now - *m_confirmed_at : base::duration::max();
}

bool policy_source::keys_valid(base::monotonic_time now) const {
    return !m_bounds.key_confirmation || age(now) < *m_bounds.key_confirmation;
}

bool policy_source::refusals_valid(base::monotonic_time now) const {
    return age(now) < m_bounds.refusal_confirmation;
}

}  // namespace ferryroad::relay
