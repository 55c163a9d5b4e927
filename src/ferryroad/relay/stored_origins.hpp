/// @file
/// Origins of streams and versions of pools that are stored outside of the routers, so that a
/// restart of all routers doesn't lose them. One router of each region, the recorder, writes the
/// origins; each router reads them when it starts, and when a stream is resumed that nobody knows.
#pragma once

#include "ferryroad/coordination/stream/origin_table.hpp"
#include "ferryroad/peer/stream_origin_message.hpp"
#include "ferryroad/platform/services.hpp"
#include "ferryroad/relay/engine_registry.hpp"
#include "ferryroad/relay/naming_record_sync.hpp"
#include "ferryroad/relay/origin_recorder.hpp"
#include "ferryroad/relay/stored_row_reader.hpp"
#include "ferryroad/relay/version_record_sync.hpp"
#include "ferryroad/runtime/scheduler.hpp"
#include "ferryroad/runtime/task.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace ferryroad::relay {

struct stored_origin_settings {
    /// How long the first event of a stream is held back until its origin is stored.
    base::duration store_timeout = std::chrono::milliseconds(100);
    /// After a timeout, streams are not held back for this long, so that a table that does not
    /// respond delays few of them.
    base::duration pause_after_timeout = std::chrono::seconds(1);
    /// A recorder that did not confirm in time is passed over for this long.
    base::duration recorder_silence = std::chrono::seconds(5);
    /// Routers of a region that are asked to record, the highest ranked first.
    std::size_t recorders = 4;
    /// Routers of all regions that write the versions of pools.
    std::size_t version_writers = 4;
    /// How long a search waits for the rows to be read.
    base::duration read_timeout = std::chrono::milliseconds(400);
    /// Stored origins kept in memory. The number is bounded apart from that of replicas, so that
    /// neither displaces the other.
    coordination::stream::origin_table_limits table = {std::chrono::seconds(60), 60'000};
    stored_row_reader_settings reader = {};
    version_record_settings versions = {};
    origin_recorder_settings recorder = {};
};

struct stored_origin_counters {
    std::uint64_t waits = 0;            ///< Streams held back until their origin was stored.
    std::uint64_t timeouts = 0;         ///< Those of them that were passed on without it.
    std::uint64_t rows_malformed = 0;   ///< Rows with origins that could not be decoded.
    std::uint64_t requests_served = 0;  ///< Origins that routers asked this one to store.
};

/// The counters of all parts.
struct stored_origin_totals {
    stored_origin_counters waiting;
    origin_recorder_counters recorder;
    stored_row_counters reader;
    version_record_counters versions;

    /// @return calls of the table.
    std::uint64_t table_calls() const { return recorder.calls + reader.calls + versions.writes; }
};

/// The table and its clock.
struct origin_store {
    platform::table& table;
    const owner_clock& clock;
};

/// Must be used on the event loop's thread and must exist until the loop has ended. The objects
/// passed to the constructor must outlive it, and it must outlive its pending calls.
class stored_origins {
  public:
    using message_sender = std::function<void(const base::router_name&, peer::origin_body)>;

    stored_origins(runtime::scheduler& scheduler, origin_store store,
                   const engine_registry& registry, base::router_name self, message_sender send,
                   stored_origin_settings settings = {});

    /// Begins to read and write. Must be called at most once.
    void start();
    /// Ends the periodic work; streams that begin are still stored.
    void stop();
    /// Sets the routers that are present. Before the first call, this router records its own
    /// streams and writes no versions.
    /// @param region routers of this router's region; this router may be among them.
    /// @param all routers of all regions; this router may be among them.
    void set_routers(std::vector<base::router_name> region, std::vector<base::router_name> all);

    /// Has an origin stored, without waiting for that.
    void request(coordination::stream::aged_origin recorded);
    /// Has an origin stored and waits until that is confirmed, within limits.
    runtime::task<void> store(coordination::stream::aged_origin recorded);
    /// Stores an origin for another router.
    /// @param confirm called once it is stored.
    void store_for(const peer::origin_store_request& request, std::function<void()> confirm);
    void handle_confirmation(std::uint64_t number);

    /// Reads the rows that were written recently. @return whether that was done in time.
    runtime::task<bool> refresh();
    /// @return a stored origin that has been read.
    std::optional<coordination::stream::aged_origin> find(
        const coordination::stream::stream_key& stream) const;
    /// @return the stored versions of the pools.
    const version_record_sync& versions() const { return m_versions; }

    const stored_origin_counters& counters() const { return m_counters; }
    stored_origin_totals all_counters() const {
        return {m_counters, m_recorder.counters(), m_reader.counters(), m_versions.counters()};
    }

  private:
    class pending_store;

    void learn_rows(const std::vector<platform::row>& rows);
    void learn_origins(const platform::row& row);
    /// Asks a recorder to store an origin; it confirms with the number.
    void ask(const base::router_name& recorder, std::uint64_t number,
             coordination::stream::aged_origin recorded);
    /// @return the router that records at present.
    base::router_name recorder(base::monotonic_time now) const;
    void record_timeout(const base::router_name& recorder);

    runtime::scheduler& m_scheduler;
    const owner_clock& m_clock;
    base::router_name m_self;
    message_sender m_send;
    stored_origin_settings m_settings;
    stored_row_reader m_reader;
    version_record_sync m_versions;
    origin_recorder m_recorder;
    coordination::stream::origin_table m_table;
    std::vector<base::router_name> m_recorders;  ///< The highest ranked first.
    std::map<base::router_name, base::monotonic_time> m_silent_until;
    base::monotonic_time m_no_wait_until{};
    std::unordered_map<std::uint64_t, pending_store*> m_pending;  ///< By the request's number.
    std::uint64_t m_next_number;
    stored_origin_counters m_counters;
};

}  // namespace ferryroad::relay
