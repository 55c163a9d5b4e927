#include "ferryroad/coordination/quota/quota_homes.hpp"

#include "ferryroad/base/hash.hpp"

#include <algorithm>
#include <utility>

namespace ferryroad::coordination::quota {

void quota_homes::declare(std::vector<base::router_name> present, router_regions regions) {
    m_present = std::move(present);
    m_regions = std::move(regions);
    std::erase_if(m_exclusions, [this](const auto& entry) {
        return std::find(m_present.begin(), m_present.end(), entry.first) == m_present.end();
    });
}

std::optional<base::router_name> quota_homes::home_of(const quota_subject& subject,
                                                      base::monotonic_time now,
                                                      const base::region_name& region) const {
    return best_near(subject.name, region,
                     [&](const auto& name) { return !is_excluded(name, now); });
}

std::optional<base::router_name> quota_homes::home_for(std::string_view subject,
                                                       base::monotonic_time now) const {
    return best_of(subject, [&](const auto& name) { return !is_excluded(name, now); });
}

std::optional<base::router_name> quota_homes::first_home_of(const quota_subject& subject,
                                                            const base::region_name& region) const {
    return best_near(subject.name, region, [](const auto&) { return true; });
}

template <typename Predicate>
std::optional<base::router_name> quota_homes::best_near(std::string_view subject,
                                                        const base::region_name& region,
                                                        const Predicate& may_be_home) const {
    const auto is_near = [&](const base::router_name& name) {
        const auto found = m_regions.find(name);
        return found != m_regions.end() && found->second == region;
    };
    const auto near =
        best_of(subject, [&](const auto& name) { return is_near(name) && may_be_home(name); });
    return near ? near : best_of(subject, may_be_home);
}

template <typename Predicate>
std::optional<base::router_name> quota_homes::best_of(std::string_view subject,
                                                      const Predicate& may_be_home) const {
    const std::uint64_t key = base::hash_bytes(subject);
    const base::router_name* best = nullptr;
    std::uint64_t best_score = 0;
    for (const base::router_name& name : m_present) {
        if (!may_be_home(name)) {
            continue;
        }
        const std::uint64_t score = base::rendezvous_score(key, name.value);
        if (best == nullptr || score > best_score) {
            best = &name;
            best_score = score;
        }
    }
    return best == nullptr ? std::nullopt : std::optional(*best);
}

bool quota_homes::answered(const base::router_name& home) {
    const auto found = m_exclusions.extract(home);
    return !found.empty() && found.mapped().last_exclusion > base::duration{};
}

std::optional<base::duration> quota_homes::silent(const base::router_name& home,
                                                  base::monotonic_time now) {
    exclusion_state& one = m_exclusions[home];
    ++one.unanswered_asks;
    if (one.unanswered_asks < m_tunables.exclude_after_unanswered || now < one.excluded_until) {
        return std::nullopt;
    }
    one.last_exclusion = std::clamp(2 * one.last_exclusion, m_tunables.first_exclusion,
                                    m_tunables.longest_exclusion);
    one.excluded_until = now + one.last_exclusion;
    return one.last_exclusion;
}

bool quota_homes::is_excluded(const base::router_name& home, base::monotonic_time now) const {
    const auto found = m_exclusions.find(home);
    return found != m_exclusions.end() && now < found->second.excluded_until;
}

}  // namespace ferryroad::coordination::quota
