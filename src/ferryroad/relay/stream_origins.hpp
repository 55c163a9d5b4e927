/// @file
/// Finds out at which software version a stream began that a caller resumes, possibly at another
/// router than before. Each router sends the origin of a stream to a few other routers, its
/// replicas, before the first event is passed on; the stream's key determines which. A router at
/// which a stream is resumed asks them. While a pool has engines of several versions, origins are
/// also stored outside of the routers.
#pragma once

#include "ferryroad/coordination/stream/origin_table.hpp"
#include "ferryroad/coordination/stream/version_history.hpp"
#include "ferryroad/core/topology/zone_map.hpp"
#include "ferryroad/peer/stream_origin_message.hpp"
#include "ferryroad/peer/transport.hpp"
#include "ferryroad/relay/engine_registry.hpp"
#include "ferryroad/relay/peer_group.hpp"
#include "ferryroad/relay/stored_origins.hpp"
#include "ferryroad/relay/types.hpp"
#include "ferryroad/runtime/scheduler.hpp"
#include "ferryroad/runtime/task.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace ferryroad::relay {

struct stream_origin_settings {
    /// Routers that get a replica of each origin. All of them and the stream's own router must be
    /// lost for the origin to be lost.
    std::size_t replicas = 3;
    /// Routers asked first: the replicas, one of which may be the stream's own router.
    std::size_t first_asked = 4;
    /// Routers of each region asked if those don't know it, as the list of routers may have changed
    /// since the stream began.
    std::size_t later_asked = 8;
    /// How long answers are waited for: several round trips between zones.
    base::duration answer_timeout = std::chrono::milliseconds(40);
    /// The same if routers of other regions are asked.
    base::duration far_answer_timeout = std::chrono::milliseconds(400);
    /// How long a search waits for a confirmation of the engine list as of its own start or later.
    /// While engines write to the table, a router in touch gets one within 0.7 s.
    base::duration list_timeout = std::chrono::seconds(1);
    /// Interval at which a waiting search checks the engine list.
    base::duration list_check_interval = std::chrono::milliseconds(20);
    /// Longest time between two confirmations of the engine list of a router that has followed it
    /// without a gap: engines of another version serve for longer than this.
    base::duration max_list_gap = std::chrono::seconds(3);
    coordination::stream::origin_table_limits table = {};
    stored_origin_settings stored = {};
};

/// How the origin of a resumed stream is known.
enum class origin_source {
    recorded,      ///< This router keeps it.
    replica,       ///< Another router answered.
    stored,        ///< It was stored outside of the routers.
    sole_version,  ///< It isn't known, and no other version has been listed recently.
    /// It isn't known, and no stream can have begun at another version, as the pool's record names
    /// this one alone.
    recorded_version,
    unknown
};

/// @return the source's name for logs and metrics. Thread-safe.
std::string_view to_string(origin_source source);

/// Why a stream that no router knows was not taken to have begun at the only version listed or
/// recorded.
enum class origin_doubt {
    none,
    list_not_confirmed,  ///< The engine list was not confirmed after the search had begun.
    several_versions,    ///< Engines of several versions are listed, or were recently.
    not_proven           ///< Engines of another version may have left unnoticed.
};

/// @return the doubt's name for logs. Thread-safe.
std::string_view to_string(origin_doubt doubt);

/// Result of a search for a stream's origin.
struct origin_search {
    origin_source source = origin_source::unknown;
    /// Nothing if it is unknown. The age is 0 unless it is from a record.
    std::optional<coordination::stream::aged_origin> found;
    base::router_name answered_by;  ///< Empty unless another router answered.
    origin_doubt doubt = origin_doubt::none;
};

struct stream_origin_counters {
    std::uint64_t recorded = 0;   ///< Streams that began at this router.
    std::uint64_t replicas = 0;   ///< Records received from other routers.
    std::uint64_t queries = 0;    ///< Queries sent, one for each router asked.
    std::uint64_t answered = 0;   ///< Queries received.
    std::uint64_t malformed = 0;  ///< Datagrams that could not be decoded.
};

/// Not thread-safe: used from the event loop's thread only. Scheduler, transport and registry must
/// outlive it, and it must outlive its pending searches.
class stream_origins {
  public:
    /// @param store where origins are stored outside of the routers; without it, a process that
    /// has just started takes no pool to be of one version.
    stream_origins(runtime::scheduler& scheduler, peer::transport& transport,
                   const engine_registry& registry, const peer_address& self,
                   core::topology::zone_map zones, stream_origin_settings settings = {},
                   std::optional<origin_store> store = {});

    /// Begins to read and write what is stored. Must be called at most once.
    void start();
    /// Ends the periodic work.
    void stop();
    /// Sets the routers that are present.
    void set_routers(const std::vector<peer_address>& present);
    /// To be called after each change of the engine list.
    void engines_changed();
    /// To be called after the registry has been confirmed as of a time.
    void engines_confirmed(base::monotonic_time as_of);
    /// Handles a datagram whose header identifies it as a message about a stream's origin.
    void handle_datagram(const base::endpoint& from, std::string_view bytes);

    /// A stream that began at this router and is still being served. As long as it lives, its
    /// origin is stored when the pool gets engines of another version. Must not outlive the
    /// `stream_origins`.
    class open_stream {
      public:
        open_stream(stream_origins& owner, coordination::stream::stream_key stream)
            : m_owner(owner), m_stream(stream) {}
        ~open_stream() { m_owner.m_open.erase(m_stream); }
        open_stream(const open_stream&) = delete;
        open_stream& operator=(const open_stream&) = delete;

      private:
        friend class stream_origins;

        stream_origins& m_owner;
        coordination::stream::stream_key m_stream;
    };

    /// Records where a stream began and sends the record to its replicas. To be called before the
    /// first event is passed on to the caller.
    /// @param attempt the caller's attempt that receives the first event.
    std::unique_ptr<open_stream> record(const base::request_id& attempt,
                                        const base::pool_name& pool,
                                        const coordination::stream::software_version& software);
    /// Has the origin stored outside of the routers, unless all engines of the pool are known to
    /// have had one version. Returns once that is confirmed, or after a limited time. To be called
    /// before the first event is passed on to the caller.
    /// @param stream must outlive the returned coroutine.
    runtime::task<void> store(const open_stream& stream);
    /// @return the versions at which streams of the pool may begin; nothing if at all listed ones.
    std::optional<std::set<coordination::stream::software_version>> versions_to_begin_at(
        const base::pool_name& pool) const;
    /// Finds where the stream began that `call` resumes.
    /// @param pool pool of the call's route, @param deadline when the caller must have an answer.
    runtime::task<origin_search> find(const relay_call& call, base::pool_name pool,
                                      base::monotonic_time deadline);

    const stream_origin_counters& counters() const { return m_counters; }
    /// @return the number of origins kept, this router's own and replicas.
    std::size_t kept() const { return m_table.size(); }
    /// @return what is stored outside of the routers; null if nothing is.
    const stored_origins* stored() const { return m_stored ? &*m_stored : nullptr; }

  private:
    class pending_search;
    struct open_origin {
        coordination::stream::stream_origin origin;
        base::monotonic_time began_at{};
        bool store_requested = false;
    };
    /// Routers of one region, by name.
    using region_routers = std::vector<base::router_name>;

    std::optional<coordination::stream::aged_origin> find_stored(
        const coordination::stream::stream_key& stream) const;
    /// @return whether all engines of the pool are known to have had one version.
    bool has_one_version(const base::pool_name& pool) const;
    /// Has the origins of open streams stored whose pools have got other versions.
    void store_open_streams();
    /// Waits until the engine list contains every change before a time. An engine is listed before
    /// a stream can begin there, so such a list has the version of each stream that began before
    /// that time, unless its engines have left.
    /// @return whether that was so within the timeout and before `deadline`.
    runtime::task<bool> list_confirmed_since(base::monotonic_time when,
                                             base::monotonic_time deadline) const;
    /// @return the origin if the pool's engines or its record leave only one possibility, by the
    /// list as it is.
    /// @param refreshed whether the stored versions have been read since the search began.
    origin_search find_by_engines(const base::pool_name& pool, bool refreshed) const;
    /// @return whether no engines that left while this process didn't follow the list can have had
    /// another version than `sole`, the only one that it has seen.
    bool had_no_other_version(const base::pool_name& pool,
                              const coordination::stream::software_version& sole,
                              bool refreshed) const;
    void handle_store_request(const base::endpoint& from,
                              const peer::origin_store_request& request);
    runtime::task<origin_search> ask_routers(coordination::stream::stream_key stream);
    /// Asks the highest ranked routers, and waits for the first that knows the origin.
    runtime::task<origin_search> ask(coordination::stream::stream_key stream,
                                     std::vector<base::router_name> routers,
                                     base::duration timeout);
    void send(const base::router_name& to, peer::origin_body body);

    runtime::scheduler& m_scheduler;
    peer::transport& m_transport;
    const engine_registry& m_registry;
    peer_address m_self;
    core::topology::zone_map m_zones;
    stream_origin_settings m_settings;
    coordination::stream::origin_table m_table;
    coordination::stream::version_history m_versions;
    region_routers m_region;                    ///< Other routers of this router's region.
    std::vector<region_routers> m_far_regions;  ///< Those of the other regions.
    std::map<base::router_name, base::endpoint> m_addresses;
    std::unordered_map<std::uint64_t, pending_search*> m_pending;  ///< By the query's number.
    std::uint64_t m_next_number;
    stream_origin_counters m_counters;
    std::unordered_map<coordination::stream::stream_key, open_origin,
                       coordination::stream::stream_key_hash>
        m_open;
    std::optional<stored_origins> m_stored;
};

}  // namespace ferryroad::relay
