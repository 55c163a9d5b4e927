#include "ferryroad/coordination/stream/origin_table.hpp"

namespace ferryroad::coordination::stream {

void origin_table::record(const aged_origin& recorded, base::monotonic_time now) {
    remove_old(now);
    if (recorded.age >= m_limits.retention) {
        return;
    }
    const stream_origin& origin = recorded.origin;
    const auto [place, added] = m_origins.try_emplace(
        origin.stream, entry{origin.pool, origin.software, now - recorded.age});
    if (added) {
        m_queue.push_back({origin.stream, now});
    }
}

std::optional<aged_origin> origin_table::find(const stream_key& stream,
                                              base::monotonic_time now) const {
    const auto found = m_origins.find(stream);
    if (found == m_origins.end()) {
        return std::nullopt;
    }
    const entry& one = found->second;
    return aged_origin{{stream, one.pool, one.software}, now - one.began_at};
}

void origin_table::remove_old(base::monotonic_time now) {
    while (!m_queue.empty() && (m_queue.size() >= m_limits.max_origins ||
                                now - m_queue.front().recorded_at >= m_limits.retention)) {
        m_origins.erase(m_queue.front().stream);
        m_queue.pop_front();
    }
}

}  // namespace ferryroad::coordination::stream
