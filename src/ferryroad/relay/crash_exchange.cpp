#include "ferryroad/relay/crash_exchange.hpp"

#include "ferryroad/runtime/log.hpp"

#include <algorithm>
#include <utility>

namespace ferryroad::relay {

using core::quarantine::cleared_suspects;
using core::quarantine::engine_crash;
using core::quarantine::part_identity;
using core::quarantine::request_identity;

namespace {

/// Appends as many identities as fit into a datagram.
template <typename Identity>
void append(std::vector<Identity>& all, const std::vector<Identity>& further) {
    all.insert(all.end(), further.begin(), further.end());
    all.resize(std::min(all.size(), peer::max_requests_per_crash_datagram));
}

}  // namespace

crash_exchange::crash_exchange(crash_exchange_ports ports, base::router_name self,
                               crash_exchange_settings settings)
    : m_ports(ports), m_self(std::move(self)), m_settings(settings) {}

void crash_exchange::start() {
    m_ports.quarantine.set_callbacks(
        {[this](const engine_crash& crash) { publish_crash(crash); },
         [this](const cleared_suspects& cleared) { publish_cleared(cleared); }});
}

// ---- Publishing ----

void crash_exchange::publish_crash(const engine_crash& crash) {
    if (m_stopped) {
        return;
    }
    add_own(crash);
    schedule_row_write();
    m_ports.scheduler.spawn(component, send_crash(crash));
}

void crash_exchange::publish_cleared(const cleared_suspects& cleared) {
    if (m_stopped) {
        return;
    }
    if (!remove_own(cleared).empty()) {
        schedule_row_write();
    }
    m_ports.scheduler.spawn(component, send_cleared(cleared));
}

peer::observed_crash crash_exchange::to_message(const engine_crash& crash) const {
    const base::monotonic_time now = m_ports.scheduler.now();
    return {crash.engine, now - crash.at, now - crash.began, crash.candidates, crash.unnamed};
}

runtime::task<void> crash_exchange::send_crash(engine_crash crash) {
    for (std::uint32_t sent = 0; sent < m_settings.send_count; ++sent) {
        peer::crash_notice report;
        report.sender = m_self;
        report.crashes = {to_message(crash)};
        send_to_all(report);
        co_await m_ports.scheduler.sleep_for((sent + 1) * m_settings.resend_delay);
    }
}

runtime::task<void> crash_exchange::send_cleared(cleared_suspects cleared) {
    for (std::uint32_t sent = 0; sent < m_settings.send_count; ++sent) {
        peer::crash_notice report;
        report.sender = m_self;
        report.cleared = cleared;
        send_to_all(report);
        co_await m_ports.scheduler.sleep_for((sent + 1) * m_settings.resend_delay);
    }
}

void crash_exchange::send_to_all(const peer::crash_notice& report) {
    const peer::message_bytes bytes = peer::encode(report);
    for (const peer_address& router : m_routers) {
        if (router.name != m_self) {
            m_ports.transport.send(router.address, bytes);
        }
    }
}

// ---- Receiving ----

void crash_exchange::handle_datagram(const base::endpoint& from, std::string_view bytes) {
    const auto report = peer::decode_crash_notice(bytes);
    if (!report) {
        ++m_malformed;
        return;
    }
    const base::monotonic_time now = m_ports.scheduler.now();
    peer::crash_notice answer;
    answer.sender = m_self;
    for (const peer::observed_crash& one : report->crashes) {
        const engine_crash crash{one.engine, now - one.age, now - one.began_age, one.candidates,
                                 one.unnamed};
        const cleared_suspects known = m_ports.quarantine.learn(crash, report->sender.value);
        append(answer.cleared.requests, known.requests);
        append(answer.cleared.parts, known.parts);
    }
    if (!report->cleared.empty()) {
        learn_cleared(report->cleared, report->sender.value);
    }
    if (!answer.cleared.empty()) {
        m_ports.transport.send(from, peer::encode(answer));
    }
}

/// Other routers know the crashes that this router published, so it also has to publish what of
/// them is cleared.
void crash_exchange::learn_cleared(const cleared_suspects& cleared, std::string_view from) {
    m_ports.quarantine.learn_cleared(cleared, from);
    cleared_suspects published = remove_own(cleared);
    if (!published.empty()) {
        schedule_row_write();
        m_ports.scheduler.spawn(component, send_cleared(std::move(published)));
    }
}

void crash_exchange::queue_row(std::string value) {
    m_pending_rows.push_back(std::move(value));
}

void crash_exchange::apply_queued_rows() {
    if (!m_ports.clock.known()) {
        return;
    }
    for (const std::string& value : std::exchange(m_pending_rows, {})) {
        learn_row(value);
    }
}

void crash_exchange::learn_row(const std::string& value) {
    const auto report = peer::decode_crash_notice(value);
    if (!report) {
        ++m_malformed;
        runtime::log(runtime::log_level::warning, component, "crash row ignored: cannot be decoded",
                     {{"error", report.error().message}});
        return;
    }
    const base::monotonic_time written =
        m_ports.clock.to_local_latest(static_cast<std::int64_t>(report->owner_time));
    for (const peer::observed_crash& one : report->crashes) {
        const engine_crash crash{one.engine, written - one.age, written - one.began_age,
                                 one.candidates, one.unnamed};
        m_ports.quarantine.learn(crash, report->sender.value);
        if (report->sender == m_self) {
            add_own(crash);  // From the previous process of this router.
        }
    }
}

// ---- This router's row ----

void crash_exchange::add_own(const engine_crash& crash) {
    const bool known = std::any_of(m_own_crashes.begin(), m_own_crashes.end(),
                                   [&](const auto& one) { return is_same_crash(one, crash); });
    if (known) {
        return;
    }
    m_own_crashes.push_back(crash);
    if (m_own_crashes.size() > m_settings.max_row_crashes) {
        m_own_crashes.pop_front();
    }
}

cleared_suspects crash_exchange::remove_own(const cleared_suspects& cleared) {
    cleared_suspects removed;
    for (const request_identity& request : cleared.requests) {
        std::size_t named = 0;
        for (engine_crash& crash : m_own_crashes) {
            named += std::erase_if(crash.candidates,
                                   [&](const auto& one) { return one.request == request; });
        }
        if (named > 0) {
            removed.requests.push_back(request);
        }
    }
    for (const part_identity& part : cleared.parts) {
        std::size_t named = 0;
        for (engine_crash& crash : m_own_crashes) {
            for (core::quarantine::crash_candidate& one : crash.candidates) {
                named += std::erase(one.parts, part);
            }
        }
        if (named > 0) {
            removed.parts.push_back(part);
        }
    }
    return removed;
}

void crash_exchange::schedule_row_write() {
    m_row_changed = true;
    if (!m_writing_row) {
        m_writing_row = true;
        m_ports.scheduler.spawn(component, write_row());
    }
}

runtime::task<void> crash_exchange::write_row() {
    base::duration pause = m_settings.row_write_delay;
    while (m_row_changed && !m_stopped) {
        co_await m_ports.scheduler.sleep_for(pause);
        pause = m_settings.row_retry_delay;
        if (!m_ports.clock.known()) {
            continue;
        }
        m_row_changed = false;
        peer::crash_notice report;
        report.sender = m_self;
        report.owner_time =
            static_cast<std::uint64_t>(m_ports.clock.to_owner_earliest(m_ports.scheduler.now()));
        for (const engine_crash& crash : m_own_crashes) {
            report.crashes.push_back(to_message(crash));
        }
        platform::transaction change;
        change.writes.push_back({platform::row_key(std::string(crash_key_prefix) + m_self.value),
                                 peer::encode(report)});
        std::vector<platform::transaction> changes;
        changes.push_back(std::move(change));
        const auto written = co_await m_ports.table.transact(std::move(changes));
        if (written) {
            ++m_rows_written;
        } else {
            m_row_changed = true;
            runtime::log(runtime::log_level::warning, component,
                         "crash row not written; will retry",
                         {{"crashes", std::to_string(report.crashes.size())}});
        }
    }
    m_writing_row = false;
}

}  // namespace ferryroad::relay
