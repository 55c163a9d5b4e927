#include "ferryroad/core/placement/engine_load_view.hpp"

#include <utility>

namespace ferryroad::core::placement {

void engine_load_view::state(const base::router_name& sender, std::vector<router_load> loads,
                             base::monotonic_time now) {
    m_reports[sender] = {std::move(loads), now};
}

std::map<base::engine_name, peer_load> engine_load_view::totals(base::monotonic_time now) const {
    std::map<base::engine_name, peer_load> all;
    for (const auto& [sender, report_of_sender] : m_reports) {
        const base::duration age = now - report_of_sender.received_at;
        if (age >= m_lifetime) {
            continue;
        }
        for (const router_load& one : report_of_sender.loads) {
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
