#include "ferryroad/relay/stored_origins.hpp"

#include "ferryroad/coordination/stream/origin_replicas.hpp"
#include "ferryroad/coordination/stream/origin_rows.hpp"
#include "ferryroad/runtime/boot_clock.hpp"
#include "ferryroad/runtime/log.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <string>
#include <utility>

namespace ferryroad::relay {

namespace {

namespace stream = coordination::stream;

constexpr std::string_view component = "relay.origins";

/// Keys that the routers are ranked for; all routers use the same ones.
stream::stream_key recorder_key() {
    return {base::hash_fields({"stream origin recorder"})};
}
stream::stream_key version_writer_key() {
    return {base::hash_fields({"pool version writer"})};
}

void add_if_absent(std::vector<base::router_name>& names, const base::router_name& name) {
    if (std::find(names.begin(), names.end(), name) == names.end()) {
        names.push_back(name);
    }
}

}  // namespace

/// Waits for the confirmation of one origin. It is registered as long as it lives.
class stored_origins::pending_store {
  public:
    pending_store(stored_origins& owner, std::uint64_t number)
        : m_owner(owner), m_number(number), m_timer(owner.m_scheduler.executor()) {
        m_owner.m_pending.emplace(m_number, this);
    }
    ~pending_store() { m_owner.m_pending.erase(m_number); }
    pending_store(const pending_store&) = delete;
    pending_store& operator=(const pending_store&) = delete;

    /// @return whether the confirmation came within `timeout`.
    runtime::task<bool> wait(base::duration timeout) {
        m_timer.expires_after(timeout);
        if (!m_confirmed) {
            co_await m_timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
        }
        co_return m_confirmed;
    }
    void confirm() {
        m_confirmed = true;
        m_timer.cancel();
    }

  private:
    stored_origins& m_owner;
    std::uint64_t m_number;
    bool m_confirmed = false;
    runtime::boot_timer m_timer;
};

stored_origins::stored_origins(runtime::scheduler& scheduler, origin_store store,
                               const engine_registry& registry, base::router_name self,
                               message_sender send, stored_origin_settings settings)
    : m_scheduler(scheduler),
      m_clock(store.clock),
      m_self(std::move(self)),
      m_send(std::move(send)),
      m_settings(settings),
      m_reader(
          scheduler, store.table, store.clock, [this](const auto& rows) { learn_rows(rows); },
          settings.reader),
      m_versions(scheduler, store.table, store.clock, registry, m_reader, settings.versions),
      m_recorder(scheduler, store.table, store.clock, m_self, settings.recorder),
      m_table(settings.table),
      m_recorders{m_self},
      // A random first number tells this process's requests from those of an earlier process of the
      // same name, whose answers may still arrive.
      m_next_number(scheduler.random().next()) {}

void stored_origins::start() {
    m_reader.request();
    m_versions.start();
    m_recorder.start();
}

void stored_origins::stop() {
    m_versions.stop();
    m_recorder.stop();
}

void stored_origins::set_routers(std::vector<base::router_name> region,
                                 std::vector<base::router_name> all) {
    add_if_absent(region, m_self);
    add_if_absent(all, m_self);
    auto recorders = stream::ranked_routers(recorder_key(), region, m_settings.recorders);
    if (m_recorders.front() != recorders.front()) {
        runtime::log(
            runtime::log_level::info, component, "recorder of stream origins changed",
            {{"recorder", recorders.front().value}, {"previous", m_recorders.front().value}});
    }
    m_recorders = std::move(recorders);
    m_recorder.set_removes(m_recorders.front() == m_self);
    const auto writers =
        stream::ranked_routers(version_writer_key(), all, m_settings.version_writers);
    const auto place = std::find(writers.begin(), writers.end(), m_self);
    const auto rank = static_cast<std::size_t>(place - writers.begin());
    m_versions.set_rank(rank < writers.size() ? std::optional(rank) : std::nullopt, all.size());
}

base::router_name stored_origins::recorder(base::monotonic_time now) const {
    for (const base::router_name& one : m_recorders) {
        const auto silent = m_silent_until.find(one);
        if (silent == m_silent_until.end() || silent->second <= now) {
            return one;
        }
    }
    return m_recorders.front();
}

void stored_origins::ask(const base::router_name& recorder, std::uint64_t number,
                         stream::aged_origin recorded) {
    if (recorder == m_self) {
        m_recorder.store(recorded, [this, number] { handle_confirmation(number); });
    } else {
        m_send(recorder, peer::origin_store_request{number, std::move(recorded)});
    }
}

void stored_origins::request(stream::aged_origin recorded) {
    ask(recorder(m_scheduler.now()), m_next_number++, std::move(recorded));
}

runtime::task<void> stored_origins::store(stream::aged_origin recorded) {
    const base::monotonic_time now = m_scheduler.now();
    const base::router_name asked = recorder(now);
    const std::uint64_t number = m_next_number++;
    pending_store pending(*this, number);
    ask(asked, number, std::move(recorded));
    if (now < m_no_wait_until) {
        co_return;
    }
    ++m_counters.waits;
    const bool stored = co_await pending.wait(m_settings.store_timeout);
    if (!stored) {
        record_timeout(asked);
    }
}

void stored_origins::record_timeout(const base::router_name& recorder) {
    const base::monotonic_time now = m_scheduler.now();
    ++m_counters.timeouts;
    const bool first = now >= m_no_wait_until;
    m_no_wait_until = now + m_settings.pause_after_timeout;
    m_silent_until[recorder] = now + m_settings.recorder_silence;
    std::erase_if(m_silent_until, [now](const auto& one) { return one.second <= now; });
    if (first) {
        runtime::log(
            runtime::log_level::warning, component, "stream origin not confirmed in time",
            {{"recorder", recorder.value}, {"timeouts", std::to_string(m_counters.timeouts)}});
    }
}

void stored_origins::store_for(const peer::origin_store_request& request,
                               std::function<void()> confirm) {
    ++m_counters.requests_served;
    m_recorder.store(request.recorded, std::move(confirm));
}

void stored_origins::handle_confirmation(std::uint64_t number) {
    const auto pending = m_pending.find(number);
    if (pending != m_pending.end()) {
        pending->second->confirm();
    }
}

runtime::task<bool> stored_origins::refresh() {
    co_return co_await m_reader.refresh(m_settings.read_timeout);
}

std::optional<stream::aged_origin> stored_origins::find(const stream::stream_key& stream) const {
    return m_table.find(stream, m_scheduler.now());
}

void stored_origins::learn_rows(const std::vector<platform::row>& rows) {
    for (const platform::row& one : rows) {
        if (one.key.value.starts_with(version_record_prefix)) {
            m_versions.learn(one);
        } else if (one.key.value.starts_with(stream::origin_row_prefix)) {
            learn_origins(one);
        }
    }
}

void stored_origins::learn_origins(const platform::row& row) {
    const auto origins = stream::decode_origin_row(row.value);
    if (!origins) {
        if (++m_counters.rows_malformed == 1) {
            runtime::log(runtime::log_level::warning, component, "stored stream origins malformed",
                         {{"key", row.key.value}});
        }
        return;
    }
    const base::monotonic_time now = m_scheduler.now();
    for (const stream::dated_origin& one : *origins) {
        const base::monotonic_time began = m_clock.to_local_earliest(one.began_at);
        m_table.record({one.origin, std::max(now - began, base::duration{})}, now);
    }
}

}  // namespace ferryroad::relay
