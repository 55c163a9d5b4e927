#include "ferryroad/relay/traffic_meter.hpp"

namespace ferryroad::relay {

std::string_view to_string(traffic_kind kind) {
    switch (kind) {
        case traffic_kind::request:
            return "request";
        case traffic_kind::answer:
            return "answer";
        case traffic_kind::state_moved:
            return "state_moved";
        case traffic_kind::state_event:
            return "state_event";
        case traffic_kind::notice:
            return "notice";
        case traffic_kind::quota:
            return "quota";
        case traffic_kind::stream_origin:
            return "stream_origin";
        case traffic_kind::table:
            break;
    }
    return "table";
}

void traffic_meter::set_routers(const std::vector<peer_address>& present) {
    m_zone_of.clear();
    for (const peer_address& one : present) {
        m_zone_of[one.address] = one.zone;
    }
}

void traffic_meter::add(traffic_kind kind, core::topology::distance away, std::uint64_t bytes) {
    metered_bytes& counted = m_counted[{kind, away}];
    counted.kind = kind;
    counted.away = away;
    ++counted.messages;
    counted.bytes += bytes;
}

void traffic_meter::add(traffic_kind kind, const base::endpoint& router, std::uint64_t bytes) {
    const auto found = m_zone_of.find(router);
    add(kind, found == m_zone_of.end() ? m_self : found->second, bytes);
}

std::vector<metered_bytes> traffic_meter::totals() const {
    std::vector<metered_bytes> all;
    all.reserve(m_counted.size());
    for (const auto& [key, counted] : m_counted) {
        all.push_back(counted);
    }
    return all;
}

void metered_transport::send(const base::endpoint& to, peer::message_bytes bytes) {
    m_meter.add(m_kind, to, bytes.size());
    m_inner.send(to, std::move(bytes));
}

runtime::task<peer::result<peer::message_bytes>> metered_transport::call(
    const base::endpoint& to, peer::message_bytes request, base::duration limit) {
    const std::size_t sent = request.size();
    auto answer = co_await m_inner.call(to, std::move(request), limit);
    m_meter.add(m_kind, to, sent + (answer ? answer->size() : 0));
    co_return answer;
}

}  // namespace ferryroad::relay
