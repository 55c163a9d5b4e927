#include "ferryroad/relay/peer_group.hpp"

#include "ferryroad/base/hash.hpp"

#include <algorithm>
#include <cstdint>
#include <sstream>
#include <tuple>
#include <utility>

namespace ferryroad::relay {

std::string encode_peer_note(const peer_address& peer) {
    std::string note = peer.address.to_string() + " " + peer.zone.value;
    if (peer.link.value != 0 || peer.forward.port != 0) {
        note += " " + std::to_string(peer.link.value);
    }
    return peer.forward.port == 0 ? note : note + " " + std::to_string(peer.forward.port);
}

std::optional<peer_address> decode_peer_note(const base::router_name& name, std::string_view note) {
    std::istringstream words{std::string(note)};
    std::string address_text;
    peer_address peer{name, {}, {}, {}, {}};
    words >> address_text >> peer.zone.value;
    const auto address = base::endpoint::parse(address_text);
    if (!words || !address || address->port == 0) {
        return std::nullopt;
    }
    peer.address = *address;
    words >> peer.link.value;  // Zero where the note has no link.
    std::uint16_t forward_port = 0;
    if (words >> forward_port) {
        peer.forward = {peer.address.address, forward_port};
    }
    return peer;
}

peer_group::peer_group(peer_address self, peer_group_tunables tunables)
    : m_self(std::move(self)), m_tunables(std::move(tunables)) {}

void peer_group::declare(const std::vector<peer_address>& present, base::monotonic_time now) {
    m_block.reset();
    std::set<base::router_name> before;
    for (auto& [name, one] : m_peers) {
        if (std::exchange(one.declared, false)) {
            before.insert(name);
        }
    }
    for (const peer_address& peer : present) {
        if (peer.name != m_self.name) {
            known_peer& one = m_peers[peer.name];
            one.peer = peer;
            one.declared = true;
            one.declared_at = before.contains(peer.name) ? one.declared_at : now;
        }
    }
    std::erase_if(m_peers, [](const auto& entry) {
        return !entry.second.declared && !entry.second.heard_at;
    });
}

void peer_group::record_notice(const peer_address& peer, base::monotonic_time now,
                               bool paths_lost) {
    if (peer.name == m_self.name) {
        return;
    }
    const auto [place, added] = m_peers.try_emplace(peer.name);
    known_peer& one = place->second;
    const bool moved = one.peer.zone != peer.zone || one.peer.address != peer.address;
    if (added || moved || !is_known(one, now)) {
        m_block.reset();
    }
    one.peer = peer;
    one.heard_at = now;
    one.paths_lost = paths_lost;
}

bool peer_group::is_live(const known_peer& one, base::monotonic_time now) const {
    return one.heard_at && now - *one.heard_at < m_tunables.live_timeout;
}

bool peer_group::is_known(const known_peer& one, base::monotonic_time now) const {
    return one.declared || (one.heard_at && now - *one.heard_at < m_tunables.forget_after);
}

base::monotonic_time peer_group::next_expiry(base::monotonic_time now) const {
    base::monotonic_time first = base::monotonic_time::max();
    for (const auto& [name, one] : m_peers) {
        if (!one.declared && is_known(one, now)) {
            first = std::min(first, *one.heard_at + m_tunables.forget_after);
        }
    }
    return first;
}

const std::vector<const peer_group::known_peer*>& peer_group::block(
    base::monotonic_time now) const {
    if (!m_block || now >= m_block_expiry) {
        m_block = compute_block(now);
        m_nearer_peers.clear();
        m_block_expiry = next_expiry(now);
    }
    return *m_block;
}

/// All routers sort the names of a zone in the same way, so they agree on the blocks as long as
/// they agree on the routers that are present.
std::vector<const peer_group::known_peer*> peer_group::compute_block(
    base::monotonic_time now) const {
    std::vector<const known_peer*> others;
    std::size_t all = 1;
    for (const auto& [name, one] : m_peers) {
        if (is_known(one, now)) {
            ++all;
            others.push_back(&one);
        }
    }
    if (all <= m_tunables.max_undivided) {
        return others;
    }
    std::erase_if(others, [&](const known_peer* one) { return one->peer.zone != m_self.zone; });
    std::sort(others.begin(), others.end(), [&](const known_peer* a, const known_peer* b) {
        return a->peer.name < b->peer.name;
    });
    const std::size_t zone_size = others.size() + 1;
    const std::size_t blocks =
        (zone_size + m_tunables.max_block_size - 1) / m_tunables.max_block_size;
    const std::size_t size = (zone_size + blocks - 1) / blocks;
    const auto before = static_cast<std::size_t>(
        std::count_if(others.begin(), others.end(),
                      [&](const known_peer* one) { return one->peer.name < m_self.name; }));
    std::vector<const known_peer*> chosen;
    for (std::size_t index = 0; index < others.size(); ++index) {
        // `others` lacks this router, so the routers sorted after it are one place further.
        const std::size_t place = index < before ? index : index + 1;
        if (place / size == before / size) {
            chosen.push_back(others[index]);
        }
    }
    return chosen;
}

std::vector<base::endpoint> peer_group::targets(base::monotonic_time now) const {
    std::vector<base::endpoint> addresses;
    for (const known_peer* one : block(now)) {
        addresses.push_back(one->peer.address);
    }
    return addresses;
}

std::vector<base::endpoint> peer_group::all_peers(base::monotonic_time now) const {
    std::vector<base::endpoint> addresses;
    for (const auto& [name, one] : m_peers) {
        if (is_known(one, now)) {
            addresses.push_back(one.peer.address);
        }
    }
    return addresses;
}

bool peer_group::follows(const base::engine_name& holder, const base::zone_name& zone,
                         base::monotonic_time now) const {
    if (m_paths_lost) {
        return false;
    }
    const auto& others = block(now);
    const auto known = m_nearer_peers.find(holder);
    if (known != m_nearer_peers.end() && may_follow(*known->second, now)) {
        return false;
    }
    const std::uint64_t key = base::hash_bytes(holder.value);
    const auto rank_of = [&](const peer_address& peer) {
        const auto away = m_tunables.zones.between(peer.zone, zone);
        return std::pair(-static_cast<int>(away), base::rendezvous_score(key, peer.name.value));
    };
    const auto own = rank_of(m_self);
    const auto nearer = std::find_if(others.begin(), others.end(), [&](const known_peer* one) {
        return may_follow(*one, now) && rank_of(one->peer) > own;
    });
    if (nearer == others.end()) {
        return true;
    }
    m_nearer_peers[holder] = *nearer;
    return false;
}

bool peer_group::ranks_first_for(const base::router_name& name, base::monotonic_time now) const {
    const std::uint64_t key = base::hash_bytes(name.value);
    const std::uint64_t own = base::rendezvous_score(key, m_self.name.value);
    const auto& others = block(now);
    return std::none_of(others.begin(), others.end(), [&](const known_peer* one) {
        return is_live(*one, now) && base::rendezvous_score(key, one->peer.name.value) > own;
    });
}

bool peer_group::is_isolated(base::monotonic_time now) const {
    const auto& peers = block(now);
    return !peers.empty() && std::none_of(peers.begin(), peers.end(), [&](const known_peer* one) {
        return is_live(*one, now);
    });
}

std::vector<base::router_name> peer_group::gone(base::monotonic_time now) const {
    std::vector<base::router_name> names;
    for (const known_peer* one : block(now)) {
        const base::monotonic_time last =
            std::max(one->declared_at, one->heard_at.value_or(one->declared_at));
        const bool is_gone =
            one->declared && one->peer.zone == m_self.zone && now - last > m_tunables.gone_after;
        if (is_gone && ranks_first_for(one->peer.name, now)) {
            names.push_back(one->peer.name);
        }
    }
    return names;
}

std::set<base::router_name> peer_group::live(base::monotonic_time now) const {
    std::set<base::router_name> names;
    for (const known_peer* one : block(now)) {
        if (is_live(*one, now)) {
            names.insert(one->peer.name);
        }
    }
    return names;
}

}  // namespace ferryroad::relay
