#include "ferryroad/relay/stream_origins.hpp"

#include "ferryroad/coordination/stream/origin_replicas.hpp"
#include "ferryroad/runtime/boot_clock.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <set>
#include <utility>

namespace ferryroad::relay {

namespace stream = coordination::stream;

std::string_view to_string(origin_source source) {
    switch (source) {
        case origin_source::recorded:
            return "recorded";
        case origin_source::replica:
            return "replica";
        case origin_source::stored:
            return "stored";
        case origin_source::sole_version:
            return "sole_version";
        case origin_source::recorded_version:
            return "recorded_version";
        case origin_source::unknown:
            break;
    }
    return "unknown";
}

std::string_view to_string(origin_doubt doubt) {
    switch (doubt) {
        case origin_doubt::list_not_confirmed:
            return "list_not_confirmed";
        case origin_doubt::several_versions:
            return "several_versions";
        case origin_doubt::not_proven:
            return "not_proven";
        case origin_doubt::none:
            break;
    }
    return "none";
}

/// Waits for the answers to the queries of one search. It is registered as long as it lives.
class stream_origins::pending_search {
  public:
    pending_search(stream_origins& owner, const std::vector<base::router_name>& asked)
        : m_owner(owner),
          m_number(owner.m_next_number++),
          m_unanswered(asked.begin(), asked.end()),
          m_timer(owner.m_scheduler.executor()) {
        m_owner.m_pending.emplace(m_number, this);
    }
    ~pending_search() { m_owner.m_pending.erase(m_number); }
    pending_search(const pending_search&) = delete;
    pending_search& operator=(const pending_search&) = delete;

    std::uint64_t number() const { return m_number; }

    /// Returns once a router has answered that it knows the origin, all have answered, or `timeout`
    /// has passed.
    runtime::task<origin_search> wait(base::duration timeout) {
        m_timer.expires_after(timeout);
        if (!is_over()) {
            co_await m_timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
        }
        co_return m_result;
    }

    void record_answer(const base::router_name& from, const peer::origin_answer& answer) {
        if (m_unanswered.erase(from) == 0) {
            return;  // A repeated answer says nothing about the other routers.
        }
        if (answer.found && !m_result.found) {
            m_result = {origin_source::replica, answer.found, from, origin_doubt::none};
        }
        if (is_over()) {
            m_timer.cancel();
        }
    }

  private:
    bool is_over() const { return m_result.found || m_unanswered.empty(); }

    stream_origins& m_owner;
    std::uint64_t m_number;
    std::set<base::router_name> m_unanswered;  ///< Routers that were asked.
    runtime::boot_timer m_timer;
    origin_search m_result;
};

stream_origins::stream_origins(runtime::scheduler& scheduler, peer::transport& transport,
                               const engine_registry& registry, const peer_address& self,
                               core::topology::zone_map zones, stream_origin_settings settings,
                               std::optional<origin_store> store)
    : m_scheduler(scheduler),
      m_transport(transport),
      m_registry(registry),
      m_self(self),
      m_zones(std::move(zones)),
      m_settings(settings),
      m_table(settings.table),
      // A random first number tells this process's queries from those of an earlier process of the
      // same name, whose answers may still arrive.
      m_next_number(scheduler.random().next()) {
    if (store) {
        m_stored.emplace(
            scheduler, *store, registry, m_self.name,
            [this](const base::router_name& to, peer::origin_body body) {
                send(to, std::move(body));
            },
            settings.stored);
    }
}

void stream_origins::start() {
    if (m_stored) {
        m_stored->start();
    }
}

void stream_origins::stop() {
    if (m_stored) {
        m_stored->stop();
    }
}

void stream_origins::set_routers(const std::vector<peer_address>& present) {
    m_addresses.clear();
    m_region.clear();
    std::map<base::region_name, region_routers> far;
    for (const peer_address& one : present) {
        if (one.name == m_self.name) {
            continue;
        }
        m_addresses.emplace(one.name, one.address);
        if (m_zones.same_region(m_self.zone, one.zone)) {
            m_region.push_back(one.name);
        } else {
            far[m_zones.region_of(one.zone).value_or(base::region_name())].push_back(one.name);
        }
    }
    m_far_regions.clear();
    for (auto& [region, routers] : far) {
        m_far_regions.push_back(std::move(routers));
    }
    if (m_stored) {
        std::vector<base::router_name> all;
        all.reserve(m_addresses.size());
        for (const auto& [name, address] : m_addresses) {
            all.push_back(name);
        }
        m_stored->set_routers(m_region, std::move(all));
    }
}

void stream_origins::engines_changed() {
    const base::monotonic_time now = m_scheduler.now();
    for (const auto& [pool, counts] : m_registry.software()) {
        std::set<stream::software_version> versions;
        for (const auto& [version, engines] : counts) {
            versions.insert(version);
        }
        m_versions.observe(pool, std::move(versions), now);
    }
    if (m_stored) {
        store_open_streams();
    }
}

void stream_origins::engines_confirmed(base::monotonic_time as_of) {
    m_versions.confirm(as_of, m_settings.max_list_gap);
}

std::unique_ptr<stream_origins::open_stream> stream_origins::record(
    const base::request_id& attempt, const base::pool_name& pool,
    const stream::software_version& software) {
    const base::monotonic_time now = m_scheduler.now();
    const stream::aged_origin recorded{{stream::key_of(attempt), pool, software}, {}};
    m_table.record(recorded, now);
    ++m_counters.recorded;
    for (const base::router_name& replica :
         stream::ranked_routers(recorded.origin.stream, m_region, m_settings.replicas)) {
        send(replica, peer::origin_record{recorded});
    }
    m_open.try_emplace(recorded.origin.stream, open_origin{recorded.origin, now});
    return std::make_unique<open_stream>(*this, recorded.origin.stream);
}

bool stream_origins::has_one_version(const base::pool_name& pool) const {
    const base::monotonic_time now = m_scheduler.now();
    const base::duration retention = m_settings.table.retention;
    const auto sole = m_versions.sole_version(pool, retention, now);
    return sole && m_stored->versions().sole_version(pool, retention, now) == sole;
}

runtime::task<void> stream_origins::store(const open_stream& stream) {
    const auto found = m_open.find(stream.m_stream);
    if (!m_stored || found == m_open.end() || has_one_version(found->second.origin.pool)) {
        co_return;
    }
    open_origin& open = found->second;
    open.store_requested = true;
    stream::aged_origin recorded{open.origin, m_scheduler.now() - open.began_at};
    co_await m_stored->store(std::move(recorded));
}

void stream_origins::store_open_streams() {
    const base::monotonic_time now = m_scheduler.now();
    for (auto& [key, open] : m_open) {
        if (!open.store_requested && !has_one_version(open.origin.pool)) {
            open.store_requested = true;
            m_stored->request({open.origin, now - open.began_at});
        }
    }
}

runtime::task<origin_search> stream_origins::find(const relay_call& call, base::pool_name pool,
                                                  base::monotonic_time deadline) {
    const base::monotonic_time began = m_scheduler.now();
    std::optional<stream::stream_key> key;
    if (call.resumed_attempt) {
        key = stream::key_of(*call.resumed_attempt);
        if (auto own = m_table.find(*key, m_scheduler.now())) {
            co_return origin_search{origin_source::recorded, std::move(own), {}, {}};
        }
        if (auto read = find_stored(*key)) {
            co_return origin_search{origin_source::stored, std::move(read), {}, {}};
        }
        origin_search asked = co_await ask_routers(*key);
        if (asked.found) {
            co_return asked;
        }
    }
    bool refreshed = false;
    if (m_stored) {
        refreshed = co_await m_stored->refresh();
    }
    if (auto read = key ? find_stored(*key) : std::nullopt) {
        co_return origin_search{origin_source::stored, std::move(read), {}, {}};
    }
    origin_search search = find_by_engines(pool, refreshed);
    if (!search.found) {
        co_return search;
    }
    // The list may be behind: it may lack engines of another version, at which the stream began.
    const bool confirmed = co_await list_confirmed_since(began, deadline);
    search = confirmed ? find_by_engines(pool, refreshed) : origin_search{};
    search.doubt = confirmed ? search.doubt : origin_doubt::list_not_confirmed;
    co_return search;
}

runtime::task<bool> stream_origins::list_confirmed_since(base::monotonic_time when,
                                                         base::monotonic_time deadline) const {
    const base::monotonic_time until =
        std::min(m_scheduler.now() + m_settings.list_timeout, deadline);
    for (;;) {
        const base::monotonic_time now = m_scheduler.now();
        if (m_registry.age(now) <= now - when) {
            co_return true;
        }
        if (now >= until) {
            co_return false;
        }
        co_await m_scheduler.sleep_for(m_settings.list_check_interval);
    }
}

std::optional<stream::aged_origin> stream_origins::find_stored(
    const stream::stream_key& stream) const {
    return m_stored ? m_stored->find(stream) : std::nullopt;
}

origin_search stream_origins::find_by_engines(const base::pool_name& pool, bool refreshed) const {
    const base::monotonic_time now = m_scheduler.now();
    const base::duration retention = m_settings.table.retention;
    const auto sole = m_versions.sole_version(pool, retention, now);
    const auto recorded =
        refreshed ? m_stored->versions().sole_version(pool, retention, now) : std::nullopt;
    origin_search search;
    if (sole && had_no_other_version(pool, *sole, refreshed)) {
        search.source = origin_source::sole_version;
        search.found = stream::aged_origin{{{}, pool, *sole}, {}};
    } else if (recorded && m_stored->versions().is_followed(pool)) {
        search.source = origin_source::recorded_version;
        search.found = stream::aged_origin{{{}, pool, *recorded}, {}};
    } else {
        search.doubt = sole ? origin_doubt::not_proven : origin_doubt::several_versions;
    }
    return search;
}

std::optional<std::set<stream::software_version>> stream_origins::versions_to_begin_at(
    const base::pool_name& pool) const {
    return m_stored ? m_stored->versions().versions_to_begin_at(pool) : std::nullopt;
}

bool stream_origins::had_no_other_version(const base::pool_name& pool,
                                          const stream::software_version& sole,
                                          bool refreshed) const {
    const base::monotonic_time now = m_scheduler.now();
    const base::duration retention = m_settings.table.retention;
    const auto observed = m_versions.observed_since(pool);
    const bool observed_long = observed && now - *observed >= retention;
    if (!refreshed || !m_stored->versions().has_record(pool)) {
        return observed_long;
    }
    return m_stored->versions().sole_version(pool, retention, now) == sole;
}

runtime::task<origin_search> stream_origins::ask_routers(stream::stream_key stream) {
    auto first = stream::ranked_routers(stream, m_region, m_settings.first_asked);
    origin_search search = co_await ask(stream, std::move(first), m_settings.answer_timeout);
    if (search.found) {
        co_return search;
    }
    auto more = stream::ranked_routers(stream, m_region, m_settings.later_asked);
    for (const region_routers& region : m_far_regions) {
        const auto far = stream::ranked_routers(stream, region, m_settings.later_asked);
        more.insert(more.end(), far.begin(), far.end());
    }
    const base::duration timeout =
        m_far_regions.empty() ? m_settings.answer_timeout : m_settings.far_answer_timeout;
    co_return co_await ask(stream, std::move(more), timeout);
}

runtime::task<origin_search> stream_origins::ask(stream::stream_key stream,
                                                 std::vector<base::router_name> routers,
                                                 base::duration timeout) {
    pending_search pending(*this, routers);
    for (const base::router_name& router : routers) {
        ++m_counters.queries;
        send(router, peer::origin_query{pending.number(), stream});
    }
    co_return co_await pending.wait(timeout);
}

void stream_origins::send(const base::router_name& to, peer::origin_body body) {
    const auto address = m_addresses.find(to);
    if (address != m_addresses.end()) {
        m_transport.send(address->second, peer::encode({m_self.name, std::move(body)}));
    }
}

void stream_origins::handle_datagram(const base::endpoint& from, std::string_view bytes) {
    const auto message = peer::decode_stream_origin_message(bytes);
    if (!message) {
        ++m_counters.malformed;
        return;
    }
    const base::monotonic_time now = m_scheduler.now();
    if (const auto* record = std::get_if<peer::origin_record>(&message->body)) {
        ++m_counters.replicas;
        m_table.record(record->recorded, now);
    } else if (const auto* query = std::get_if<peer::origin_query>(&message->body)) {
        ++m_counters.answered;
        const peer::origin_answer answer{query->number, m_table.find(query->stream, now)};
        m_transport.send(from, peer::encode({m_self.name, answer}));
    } else if (const auto* answer = std::get_if<peer::origin_answer>(&message->body)) {
        const auto pending = m_pending.find(answer->number);
        if (pending != m_pending.end()) {
            pending->second->record_answer(message->sender, *answer);
        }
    } else if (const auto* request = std::get_if<peer::origin_store_request>(&message->body)) {
        handle_store_request(from, *request);
    } else if (const auto* stored = std::get_if<peer::origin_stored>(&message->body)) {
        if (m_stored) {
            m_stored->handle_confirmation(stored->number);
        }
    }
}

void stream_origins::handle_store_request(const base::endpoint& from,
                                          const peer::origin_store_request& request) {
    if (!m_stored) {
        return;
    }
    m_stored->store_for(request, [this, from, number = request.number] {
        m_transport.send(from, peer::encode({m_self.name, peer::origin_stored{number}}));
    });
}

}  // namespace ferryroad::relay
