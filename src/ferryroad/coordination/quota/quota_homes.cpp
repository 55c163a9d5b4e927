#include "ferryroad/coordination/quota/quota_homes.hpp"

#include "ferryroad/base/hash.hpp"

#include <algorithm>
#include <utility>

namespace ferryroad::coordination::quota {

void quota_homes::declare(std::vector<base::router_name> present) {
    m_present = std::move(present);
    std::erase_if(m_silences, [this](const auto& entry) {
        return std::find(m_present.begin(), m_present.end(), entry.first) == m_present.end();
    });
}

std::optional<base::router_name> quota_homes::home_of(const base::tenant_name& tenant,
                                                      base::monotonic_time now) const {
    return home_for(tenant.value, now);
}

std::optional<base::router_name> quota_homes::home_for(std::string_view subject,
                                                       base::monotonic_time now) const {
    const std::uint64_t key = base::hash_bytes(subject);
    const base::router_name* best = nullptr;
    std::uint64_t best_score = 0;
    for (const base::router_name& name : m_present) {
        if (is_passed_over(name, now)) {
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

void quota_homes::silent(const base::router_name& home, base::monotonic_time now) {
    silence& one = m_silences[home];
    ++one.asks;
    if (one.asks >= m_tunables.silent_asks) {
        one.passed_over =
            std::clamp(2 * one.passed_over, m_tunables.passed_over, m_tunables.longest_passed_over);
        one.until = now + one.passed_over;
    }
}

bool quota_homes::is_passed_over(const base::router_name& home, base::monotonic_time now) const {
    const auto found = m_silences.find(home);
    return found != m_silences.end() && now < found->second.until;
}

}  // namespace ferryroad::coordination::quota
