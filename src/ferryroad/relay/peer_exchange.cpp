#include "ferryroad/relay/peer_exchange.hpp"

#include "ferryroad/runtime/log.hpp"

#include <algorithm>
#include <utility>

namespace ferryroad::relay {

namespace {

peer_group_tunables group_of(const exchange_settings& settings) {
    peer_group_tunables tunables;
    tunables.zones = settings.zones;
    return tunables;
}

}  // namespace

peer_exchange::peer_exchange(exchange_ports ports, const peer_address& self,
                             std::function<void(const peer::holder_changes&)> learned,
                             exchange_settings settings)
    : m_ports(ports),
      m_self(self),
      m_group(self, group_of(settings)),
      m_learned(std::move(learned)),
      m_settings(std::move(settings)) {}

void peer_exchange::start() {
    m_running = true;
    m_ports.scheduler.spawn(component, run());
}

runtime::task<void> peer_exchange::run() {
    while (m_running) {
        const auto routers = static_cast<base::duration::rep>(block_size());
        const base::duration least = routers * m_settings.pace_per_router;
        co_await m_ports.scheduler.sleep_for(std::max(m_settings.pace, least));
        send_news();
    }
}

void peer_exchange::dispatched(const base::engine_name& engine,
                               const std::vector<core::prefix::scoped_part>& parts,
                               std::uint64_t prefill_tokens) {
    if (!m_running) {
        return;
    }
    if (!parts.empty()) {
        m_expected.push_back({engine, parts});
        note_expected(engine);
    }
    if (prefill_tokens >= m_settings.urgent_tokens) {
        send_load(m_ports.scheduler.now());
    }
}

void peer_exchange::note_expected(const base::engine_name& engine) const {
    if (m_expected_told) {
        m_expected_told(engine);
    }
}

void peer_exchange::saw_weights(peer::seen_weights seen) {
    if (m_running && !m_taking) {
        m_weights.push_back(std::move(seen));
    }
}

void peer_exchange::announce(const rollout_news& news) {
    if (!m_running) {
        return;
    }
    const auto targets = m_group.everyone(m_ports.scheduler.now());
    peer::traffic_notice notice = blank();
    const auto send_full = [&](std::size_t least) {
        if (notice.loading.size() + notice.weights.size() >= least) {
            send_to(targets, notice);
            notice.loading.clear();
            notice.weights.clear();
        }
    };
    for (const peer::loading_weights& one : news.loading) {
        notice.loading.push_back(one);
        send_full(m_settings.weights);
    }
    for (const peer::seen_weights& one : news.loaded) {
        notice.weights.push_back(one);
        send_full(m_settings.weights);
    }
    send_full(1);
}

void peer_exchange::tell(peer::holder_changes changes) {
    if (m_running) {
        m_changes.push_back(std::move(changes));
    }
}

void peer_exchange::send_news() {
    const base::monotonic_time now = m_ports.scheduler.now();
    const bool load_changed = own_loads(now) != m_stated;
    const bool silent = now - m_stated_at >= m_settings.heartbeat;
    if (load_changed || silent || !m_expected.empty() || !m_weights.empty()) {
        send_load(now);
    }
    if (silent) {
        note_live_peers(now);
        tell_gone(now);
    }
    send_changes(now);
}

void peer_exchange::tell_gone(base::monotonic_time now) {
    if (!m_gone_told || now - m_gone_told_at < m_settings.gone_pace) {
        return;
    }
    m_gone_told_at = now;
    for (const base::router_name& name : m_group.gone(now)) {
        m_gone_told(name);
    }
}

void peer_exchange::note_live_peers(base::monotonic_time now) {
    std::set<base::router_name> live = m_group.live(now);
    for (const base::router_name& name : live) {
        if (!m_live.contains(name)) {
            runtime::log(runtime::log_level::info, component, "peer heard", {{"peer", name.value}});
        }
    }
    for (const base::router_name& name : m_live) {
        if (!live.contains(name)) {
            runtime::log(runtime::log_level::warning, component, "peer silent",
                         {{"peer", name.value}});
        }
    }
    m_live = std::move(live);
}

peer::traffic_notice peer_exchange::blank() const {
    peer::traffic_notice notice;
    notice.sender = m_self.name;
    notice.zone = m_self.zone;
    return notice;
}

std::vector<core::placement::stated_load> peer_exchange::own_loads(base::monotonic_time now) const {
    std::vector<core::placement::stated_load> loads;
    for (const known_engine* engine : m_ports.registry.active(now)) {
        const base::duration refuses = std::max(engine->refuses_until - now, base::duration{});
        loads.push_back(
            {engine->listed.name, engine->running, engine->pending_prefill_tokens, refuses});
    }
    if (loads.size() > m_settings.loads) {
        std::partial_sort(loads.begin(),
                          loads.begin() + static_cast<std::ptrdiff_t>(m_settings.loads),
                          loads.end(), [](const auto& a, const auto& b) {
                              return std::pair(a.prefill_tokens, a.running) >
                                     std::pair(b.prefill_tokens, b.running);
                          });
        loads.resize(m_settings.loads);
    }
    return loads;
}

void peer_exchange::send_load(base::monotonic_time now) {
    peer::traffic_notice notice = blank();
    notice.loads_complete = true;
    notice.loads = own_loads(now);
    m_stated = notice.loads;
    m_stated_at = now;
    notice.weights = std::exchange(m_weights, {});
    std::size_t parts = 0;
    for (peer::expected_state& one : std::exchange(m_expected, {})) {
        parts += one.parts.size();
        if (parts > m_settings.parts) {
            break;  // The holders' own events tell of these, a little later.
        }
        notice.expected.push_back(std::move(one));
    }
    send(notice, now);
}

void peer_exchange::send_changes(base::monotonic_time now) {
    peer::traffic_notice notice = blank();
    std::size_t parts = 0;
    for (peer::holder_changes& one : std::exchange(m_changes, {})) {
        // A holder's name and numbers take the place of some parts.
        const std::size_t size = one.parts.size() + 6;
        if (parts > 0 && parts + size > m_settings.parts) {
            send(notice, now);
            notice.changes.clear();
            parts = 0;
        }
        parts += size;
        notice.changes.push_back(std::move(one));
    }
    if (!notice.changes.empty()) {
        send(notice, now);
    }
}

void peer_exchange::send(const peer::traffic_notice& notice, base::monotonic_time now) {
    send_to(m_group.targets(now), notice);
}

void peer_exchange::send_to(const std::vector<base::endpoint>& targets,
                            const peer::traffic_notice& notice) {
    const peer::message_bytes bytes = peer::encode(notice);
    for (const base::endpoint& to : targets) {
        m_ports.transport.send(to, bytes);
        ++m_notices_sent;
    }
}

void peer_exchange::take(const base::endpoint& from, std::string_view bytes) {
    const auto notice = peer::decode_traffic_notice(bytes);
    if (!notice) {
        ++m_notices_malformed;
        return;
    }
    const base::monotonic_time now = m_ports.scheduler.now();
    m_group.heard({notice->sender, notice->zone, from}, now);
    if (notice->loads_complete) {
        m_ports.loads.state(notice->sender, notice->loads, now);
    }
    m_taking = true;
    for (const peer::seen_weights& seen : notice->weights) {
        m_ports.registry.saw_version(seen.engine, seen.model, seen.version);
    }
    m_taking = false;
    for (const peer::loading_weights& one : notice->loading) {
        m_ports.registry.expect_weights(one.engine, one.model, one.version, now + one.ready_in);
    }
    for (const peer::expected_state& one : notice->expected) {
        m_ports.warm.expect(one.parts, one.engine, now);
        note_expected(one.engine);
    }
    for (const peer::holder_changes& one : notice->changes) {
        m_learned(one);
    }
}

}  // namespace ferryroad::relay
