#include "ferryroad/relay/peer_exchange.hpp"

#include "ferryroad/runtime/log.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace ferryroad::relay {

namespace {

peer_group_tunables group_tunables_of(const peer_exchange_settings& settings) {
    peer_group_tunables tunables;
    tunables.zones = settings.zones;
    return tunables;
}

/// @return the time in whole seconds, so that loads whose time passes are not sent again and again.
base::duration round_up(base::duration time) {
    return std::chrono::ceil<std::chrono::seconds>(time);
}

/// @return whether the transport will send the notice.
bool fits_into_datagram(const peer::traffic_notice& notice) {
    return peer::encode(notice).size() <= peer::max_datagram_bytes;
}

}  // namespace

peer_exchange::peer_exchange(peer_exchange_ports ports, const peer_address& self,
                             std::function<void(const peer::holder_changes&)> on_changes,
                             peer_exchange_settings settings)
    : m_ports(ports),
      m_self(self),
      m_group(self, group_tunables_of(settings)),
      m_on_changes(std::move(on_changes)),
      m_settings(std::move(settings)) {}

void peer_exchange::start() {
    m_running = true;
    m_ports.scheduler.spawn(component, run());
}

void peer_exchange::stop() {
    if (m_running) {
        send_load(m_ports.scheduler.now());
    }
    m_running = false;
}

runtime::task<void> peer_exchange::run() {
    while (m_running) {
        const auto routers = static_cast<base::duration::rep>(block_size());
        const base::duration least = routers * m_settings.notice_interval_per_router;
        co_await m_ports.scheduler.sleep_for(std::max(m_settings.notice_interval, least));
        send_pending();
    }
}

void peer_exchange::dispatched(const base::engine_name& engine,
                               const std::vector<core::prefix::scoped_part>& parts,
                               std::uint64_t prefill_tokens) {
    if (!m_running) {
        return;
    }
    if (!parts.empty()) {
        m_pending_expected.push_back({engine, parts});
        notify_prompt_sent(engine);
    }
    if (prefill_tokens >= m_settings.urgent_prefill_tokens) {
        send_load(m_ports.scheduler.now());
    }
}

void peer_exchange::notify_prompt_sent(const base::engine_name& engine) const {
    if (m_on_prompt_sent) {
        m_on_prompt_sent(engine);
    }
}

void peer_exchange::queue_seen_weights(peer::observed_weights seen) {
    if (m_running && !m_applying_notice) {
        m_pending_weights.push_back(std::move(seen));
    }
}

void peer_exchange::announce(const rollout_announcement& announcement) {
    if (!m_running) {
        return;
    }
    const auto targets = m_group.all_peers(m_ports.scheduler.now());
    peer::traffic_notice notice = new_notice();
    const auto send_if_full = [&](std::size_t least) {
        if (notice.loading.size() + notice.weights.size() >= least) {
            send_to(targets, notice);
            notice.loading.clear();
            notice.weights.clear();
        }
    };
    for (const peer::loading_weights& one : announcement.loading) {
        notice.loading.push_back(one);
        send_if_full(m_settings.max_weights);
    }
    for (const peer::observed_weights& one : announcement.loaded) {
        notice.weights.push_back(one);
        send_if_full(m_settings.max_weights);
    }
    send_if_full(1);
}

void peer_exchange::announce_limit(const peer::stated_engine_limit& limit) {
    if (!m_running) {
        return;
    }
    const base::monotonic_time now = m_ports.scheduler.now();
    std::erase_if(m_pending_limits,
                  [&](const pending_limit& one) { return one.limit.engine == limit.engine; });
    m_pending_limits.push_back({limit, now - limit.age});
    if (now - m_limits_sent_at >= m_settings.notice_interval) {
        send_limits(now);
    }
}

void peer_exchange::send_limits(base::monotonic_time now) {
    if (m_pending_limits.empty()) {
        return;
    }
    m_limits_sent_at = now;
    const auto targets = m_group.all_peers(now);
    peer::traffic_notice notice = new_notice();
    for (pending_limit& one : std::exchange(m_pending_limits, {})) {
        one.limit.age = now - one.as_of;
        notice.limits.push_back(std::move(one.limit));
        if (notice.limits.size() == m_settings.max_limits) {
            send_to(targets, notice);
            notice.limits.clear();
        }
    }
    if (!notice.limits.empty()) {
        send_to(targets, notice);
    }
}

void peer_exchange::announce_paths(bool lost) {
    m_paths_lost = lost;
    m_group.set_paths_lost(lost);
    if (m_running) {
        send_paths(m_ports.scheduler.now());
    }
}

void peer_exchange::send_paths(base::monotonic_time now) {
    m_paths_sent_at = now;
    const peer::traffic_notice notice = new_notice();
    send_to(m_group.all_peers(now), notice);
}

void peer_exchange::queue_holder_changes(peer::holder_changes changes) {
    if (m_running) {
        m_pending_changes.push_back(std::move(changes));
    }
}

void peer_exchange::send_pending() {
    const base::monotonic_time now = m_ports.scheduler.now();
    const bool load_changed = own_loads(now) != m_sent_loads;
    const bool weights_changed = update_known_weights(now);
    const bool heartbeat_due = now - m_loads_sent_at >= m_settings.heartbeat_interval;
    if (load_changed || weights_changed || heartbeat_due || !m_pending_expected.empty() ||
        !m_pending_weights.empty()) {
        send_load(now);
    }
    if (heartbeat_due) {
        log_liveness_changes(now);
        report_gone_peers(now);
    }
    send_changes(now);
    send_limits(now);
    if (m_paths_lost && now - m_paths_sent_at >= m_settings.paths_lost_interval) {
        send_paths(now);
    }
}

void peer_exchange::report_gone_peers(base::monotonic_time now) {
    if (!m_on_peer_gone || now - m_gone_reported_at < m_settings.gone_report_interval) {
        return;
    }
    m_gone_reported_at = now;
    for (const base::router_name& name : m_group.gone(now)) {
        m_on_peer_gone(name);
    }
}

void peer_exchange::log_liveness_changes(base::monotonic_time now) {
    std::set<base::router_name> live = m_group.live(now);
    for (const base::router_name& name : live) {
        if (!m_logged_live.contains(name)) {
            runtime::log(runtime::log_level::info, component, "peer is alive",
                         {{"peer", name.value}});
        }
    }
    for (const base::router_name& name : m_logged_live) {
        if (!live.contains(name)) {
            runtime::log(runtime::log_level::warning, component,
                         "no recent notice from peer; treating it as not alive",
                         {{"peer", name.value}});
        }
    }
    m_logged_live = std::move(live);
}

peer::traffic_notice peer_exchange::new_notice() const {
    peer::traffic_notice notice;
    notice.sender = m_self.name;
    notice.zone = m_self.zone;
    notice.paths_lost = m_paths_lost;
    return notice;
}

std::vector<core::placement::router_load> peer_exchange::own_loads(base::monotonic_time now) const {
    std::vector<core::placement::router_load> loads;
    for (const known_engine* engine : m_ports.registry.active(now)) {
        const base::duration refuses = std::max(engine->refuses_until - now, base::duration{});
        loads.push_back({engine->listed.name, engine->running, engine->pending_prefill_tokens,
                         refuses, engine->pinned_writers, round_up(engine->state_used_for(now))});
    }
    std::stable_sort(loads.begin(), loads.end(), [](const auto& a, const auto& b) {
        return std::tuple(a.state_used_for, a.prefill_tokens, a.running) >
               std::tuple(b.state_used_for, b.prefill_tokens, b.running);
    });
    if (loads.size() > m_settings.max_loads) {
        loads.resize(m_settings.max_loads);
    }
    return loads;
}

bool peer_exchange::update_known_weights(base::monotonic_time now) {
    bool changed = false;
    if (m_newest_weights) {
        for (const core::placement::known_weights& one : m_newest_weights()) {
            newest_version& known = m_known_weights[one.model];
            if (one.version > known.version) {
                known = {one.version, now};
                changed = true;
            }
        }
    }
    return changed;
}

std::vector<core::placement::known_weights> peer_exchange::next_known_weights(
    base::monotonic_time now) {
    std::vector<core::placement::known_weights> recent;
    for (const auto& [model, known] : m_known_weights) {
        if (now - known.known_since < m_settings.known_weights_repeated_for) {
            recent.push_back({model, known.version});
        }
    }
    if (recent.size() > m_settings.max_known_weights) {
        const std::size_t first = m_known_weights_sent % recent.size();
        std::rotate(recent.begin(), recent.begin() + static_cast<std::ptrdiff_t>(first),
                    recent.end());
        recent.resize(m_settings.max_known_weights);
    }
    m_known_weights_sent += recent.size();
    return recent;
}

void peer_exchange::send_load(base::monotonic_time now) {
    peer::traffic_notice notice = new_notice();
    notice.loads_complete = true;
    notice.known = next_known_weights(now);
    notice.loads = own_loads(now);
    m_sent_loads = notice.loads;
    m_loads_sent_at = now;
    notice.weights = std::exchange(m_pending_weights, {});
    std::size_t parts = 0;
    for (peer::expected_state& one : std::exchange(m_pending_expected, {})) {
        parts += one.parts.size();
        if (parts > m_settings.max_parts) {
            break;  // The events of the holders report the rest, a little later.
        }
        notice.expected.push_back(std::move(one));
    }
    if (!fits_into_datagram(notice)) {
        peer::traffic_notice rest = new_notice();
        std::swap(rest.weights, notice.weights);
        std::swap(rest.expected, notice.expected);
        send(rest, now);
    }
    while (!notice.loads.empty() && !fits_into_datagram(notice)) {
        notice.loads.pop_back();
    }
    send(notice, now);
}

void peer_exchange::send_changes(base::monotonic_time now) {
    peer::traffic_notice notice = new_notice();
    std::size_t parts = 0;
    for (peer::holder_changes& one : std::exchange(m_pending_changes, {})) {
        // The holder's name and numbers take up as much space as 6 parts.
        const std::size_t size = one.parts.size() + 6;
        if (parts > 0 && parts + size > m_settings.max_parts) {
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

void peer_exchange::handle_datagram(const base::endpoint& from, std::string_view bytes) {
    const auto notice = peer::decode_traffic_notice(bytes);
    if (!notice) {
        ++m_notices_malformed;
        return;
    }
    const base::monotonic_time now = m_ports.scheduler.now();
    m_group.record_notice({notice->sender, notice->zone, from}, now, notice->paths_lost);
    if (m_on_paths_announced) {
        m_on_paths_announced(notice->sender, notice->paths_lost);
    }
    if (notice->loads_complete) {
        m_ports.loads.state(notice->sender, notice->loads, now, notice->known);
    }
    m_applying_notice = true;
    for (const peer::observed_weights& seen : notice->weights) {
        m_ports.registry.record_version(seen.engine, seen.model, seen.version);
    }
    m_applying_notice = false;
    for (const peer::loading_weights& one : notice->loading) {
        m_ports.registry.expect_weights(one.engine, one.model, one.version, now + one.ready_in);
    }
    for (const peer::expected_state& one : notice->expected) {
        m_ports.warm.expect(one.parts, one.engine, now);
        notify_prompt_sent(one.engine);
    }
    for (const peer::holder_changes& one : notice->changes) {
        m_on_changes(one);
    }
    for (const peer::stated_engine_limit& one : notice->limits) {
        if (m_on_limit_announced) {
            m_on_limit_announced(one, notice->sender);
        }
    }
}

}  // namespace ferryroad::relay
