#include "ferryroad/relay/crash_exchange.hpp"

#include "ferryroad/runtime/log.hpp"

#include <algorithm>
#include <utility>

namespace ferryroad::relay {

using core::quarantine::engine_crash;
using core::quarantine::request_identity;

crash_exchange::crash_exchange(crash_exchange_ports ports, base::router_name self,
                               crash_exchange_settings settings)
    : m_ports(ports), m_self(std::move(self)), m_settings(settings) {}

void crash_exchange::start() {
    m_ports.quarantine.on_news({[this](const engine_crash& crash) { tell(crash); },
                                [this](const request_identity& one) { tell_cleared(one); }});
}

// ---- Telling ----

void crash_exchange::tell(const engine_crash& crash) {
    if (m_stopped) {
        return;
    }
    keep_own(crash);
    change_row();
    m_ports.scheduler.spawn(component, send_crash(crash));
}

void crash_exchange::tell_cleared(const request_identity& request) {
    if (m_stopped) {
        return;
    }
    if (forget_own(request)) {
        change_row();
    }
    m_ports.scheduler.spawn(component, send_cleared(request));
}

peer::told_crash crash_exchange::told(const engine_crash& crash) const {
    const base::monotonic_time now = m_ports.scheduler.now();
    return {crash.engine, now - crash.at, now - crash.began, crash.candidates, crash.unnamed};
}

runtime::task<void> crash_exchange::send_crash(engine_crash crash) {
    for (std::uint32_t sent = 0; sent < m_settings.sends; ++sent) {
        peer::crash_news news;
        news.sender = m_self;
        news.crashes = {told(crash)};
        send_to_all(news);
        co_await m_ports.scheduler.sleep_for((sent + 1) * m_settings.resend_after);
    }
}

runtime::task<void> crash_exchange::send_cleared(request_identity request) {
    for (std::uint32_t sent = 0; sent < m_settings.sends; ++sent) {
        peer::crash_news news;
        news.sender = m_self;
        news.cleared = {request};
        send_to_all(news);
        co_await m_ports.scheduler.sleep_for((sent + 1) * m_settings.resend_after);
    }
}

void crash_exchange::send_to_all(const peer::crash_news& news) {
    const peer::message_bytes bytes = peer::encode(news);
    for (const peer_address& router : m_routers) {
        if (router.name != m_self) {
            m_ports.transport.send(router.address, bytes);
        }
    }
}

// ---- Learning ----

void crash_exchange::take(const base::endpoint& from, std::string_view bytes) {
    const auto news = peer::decode_crash_news(bytes);
    if (!news) {
        ++m_malformed;
        return;
    }
    const base::monotonic_time now = m_ports.scheduler.now();
    peer::crash_news answer;
    answer.sender = m_self;
    for (const peer::told_crash& one : news->crashes) {
        const engine_crash crash{one.engine, now - one.age, now - one.began_age, one.candidates,
                                 one.unnamed};
        for (const request_identity& known_well :
             m_ports.quarantine.learn(crash, news->sender.value)) {
            answer.cleared.push_back(known_well);
        }
    }
    for (const request_identity& one : news->cleared) {
        learn_cleared(one, news->sender.value);
    }
    if (!answer.cleared.empty()) {
        answer.cleared.resize(std::min(answer.cleared.size(), peer::requests_of_crash_datagram));
        m_ports.transport.send(from, peer::encode(answer));
    }
}

/// What this router told of is known to all: they must learn that it is cleared, too.
void crash_exchange::learn_cleared(const request_identity& request, std::string_view from) {
    m_ports.quarantine.learn_cleared(request, from);
    if (forget_own(request)) {
        change_row();
        m_ports.scheduler.spawn(component, send_cleared(request));
    }
}

void crash_exchange::take_row(std::string value) {
    m_unread_rows.push_back(std::move(value));
}

void crash_exchange::rows_confirmed() {
    if (!m_ports.clock.known()) {
        return;
    }
    for (const std::string& value : std::exchange(m_unread_rows, {})) {
        learn_row(value);
    }
}

void crash_exchange::learn_row(const std::string& value) {
    const auto news = peer::decode_crash_news(value);
    if (!news) {
        ++m_malformed;
        runtime::log(runtime::log_level::warning, component, "row of crashes can't be read",
                     {{"error", news.error().message}});
        return;
    }
    const base::monotonic_time written =
        m_ports.clock.to_local_latest(static_cast<std::int64_t>(news->owner_time));
    for (const peer::told_crash& one : news->crashes) {
        const engine_crash crash{one.engine, written - one.age, written - one.began_age,
                                 one.candidates, one.unnamed};
        m_ports.quarantine.learn(crash, news->sender.value);
        if (news->sender == m_self) {
            keep_own(crash);  // Of the process before this one.
        }
    }
}

// ---- The own row ----

void crash_exchange::keep_own(const engine_crash& crash) {
    const bool known = std::any_of(m_own.begin(), m_own.end(),
                                   [&](const auto& one) { return is_same_crash(one, crash); });
    if (known) {
        return;
    }
    m_own.push_back(crash);
    if (m_own.size() > m_settings.row_crashes) {
        m_own.pop_front();
    }
}

bool crash_exchange::forget_own(const request_identity& request) {
    std::size_t named = 0;
    for (engine_crash& crash : m_own) {
        named += std::erase_if(crash.candidates,
                               [&](const auto& one) { return one.request == request; });
    }
    return named > 0;
}

void crash_exchange::change_row() {
    m_row_changed = true;
    if (!m_writing_row) {
        m_writing_row = true;
        m_ports.scheduler.spawn(component, write_row());
    }
}

runtime::task<void> crash_exchange::write_row() {
    base::duration pause = m_settings.row_pace;
    while (m_row_changed && !m_stopped) {
        co_await m_ports.scheduler.sleep_for(pause);
        pause = m_settings.row_retry;
        if (!m_ports.clock.known()) {
            continue;
        }
        m_row_changed = false;
        peer::crash_news news;
        news.sender = m_self;
        news.owner_time =
            static_cast<std::uint64_t>(m_ports.clock.to_owner(m_ports.scheduler.now()));
        for (const engine_crash& crash : m_own) {
            news.crashes.push_back(told(crash));
        }
        platform::transaction change;
        change.writes.push_back(
            {platform::row_key(std::string(crash_key_prefix) + m_self.value), peer::encode(news)});
        std::vector<platform::transaction> changes;
        changes.push_back(std::move(change));
        const auto written = co_await m_ports.table.transact(std::move(changes));
        if (written) {
            ++m_rows_written;
        } else {
            m_row_changed = true;
            runtime::log(runtime::log_level::warning, component, "row of crashes not written",
                         {{"crashes", std::to_string(news.crashes.size())}});
        }
    }
    m_writing_row = false;
}

}  // namespace ferryroad::relay
