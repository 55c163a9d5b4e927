#include "ferryroad/core/placement/engine_load_view.hpp"

#include <algorithm>
#include <utility>

namespace ferryroad::core::placement {

void engine_load_view::state(const base::router_name& sender, std::vector<router_load> loads,
                             base::monotonic_time now, const std::vector<known_weights>& weights) {
    report& latest = m_reports[sender];
    latest.loads = std::move(loads);
    latest.received_at = now;
    for (const known_weights& one : weights) {
        std::uint64_t& newest = latest.weights[one.model];
        newest = std::max(newest, one.version);
    }
}

bool engine_load_view::is_current(const std::set<base::router_name>& routers,
                                  const std::string& model, std::uint64_t version) const {
    return std::all_of(routers.begin(), routers.end(), [&](const base::router_name& router) {
        const auto sent = m_reports.find(router);
        if (sent == m_reports.end()) {
            return false;
        }
        const auto known = sent->second.weights.find(model);
        return known != sent->second.weights.end() && known->second >= version;
    });
}

std::map<base::engine_name, peer_load> engine_load_view::totals(base::monotonic_time now) const {
    std::map<base::engine_name, peer_load> all;
    for (const auto& [sender, report_of_sender] : m_reports) {
        const base::duration age = now - report_of_sender.received_at;
        for (const router_load& one : report_of_sender.loads) {
            const base::duration state_used_for = one.state_used_for - age;
            if (state_used_for > base::duration{}) {
                peer_load& total = all[one.engine];
                total.state_used_for = std::max(total.state_used_for, state_used_for);
            }
            if (age >= m_lifetime) {
                continue;
            }
            peer_load& total = all[one.engine];
            total.running += one.running;
            total.prefill_tokens += one.prefill_tokens;
            total.refuses = total.refuses || age < one.refuses_for;
            total.pinned_writers += one.pinned_writers;
        }
    }
    return all;
}

}  // namespace ferryroad::core::placement
