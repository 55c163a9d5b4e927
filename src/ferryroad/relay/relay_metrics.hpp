/// @file
/// Counters and histograms of relayed traffic.
#pragma once

#include "ferryroad/relay/engine_transport.hpp"
#include "ferryroad/relay/forwarding_server.hpp"
#include "ferryroad/relay/path_watch.hpp"
#include "ferryroad/relay/policy_source.hpp"
#include "ferryroad/relay/relay_driver.hpp"
#include "ferryroad/relay/release_service.hpp"
#include "ferryroad/relay/traffic_meter.hpp"
#include "ferryroad/runtime/memory_budget.hpp"
#include "ferryroad/runtime/metrics.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace ferryroad::relay {

/// Values read from the components of a router when its metrics are scraped.
struct relay_gauges {
    double policy_age_seconds = 0;   ///< Since the policy was last confirmed.
    double engines_age_seconds = 0;  ///< Since the list of engines was last confirmed.
    std::uint64_t policy_version = 0;
    std::size_t engines_ready = 0;
    std::size_t engines_leaving = 0;
    std::size_t engines_backing_off = 0;  ///< They want no requests of this router at present.
    std::uint64_t backoffs_stated = 0;
    std::size_t engines_leaving_unlisted = 0;  ///< Leaving by their own answers, listed as ready.
    std::size_t engines_suspended = 0;
    bool engine_paths_lost = false;        ///< No engine can be reached from this router.
    std::size_t engine_paths_failing = 0;  ///< Engines to which connections fail at present.
    path_counters paths;
    std::size_t forwarded_out_active = 0;  ///< Requests that other routers pass on at present.
    transport_counters transport;
    std::size_t forwarded_in_active = 0;  ///< Requests of other routers at present.
    forwarding_server_counters forwarding;
    std::size_t engines_limited = 0;  ///< Engines that state a request limit.
    engine_limit_counters engine_limits;
    engine_slot_counters engine_slots;
    std::uint64_t slot_asks_unanswered = 0;   ///< Asks for slots that no router answered in time.
    std::uint64_t limit_asks_unanswered = 0;  ///< Asks for permits that no router answered in time.
    double shed_share = 0;  ///< Share of streams shed in the pool with the highest share, 0 to 1.
    std::uint64_t quota_asks = 0;             ///< Requests another router was asked to count.
    std::uint64_t quota_asks_unanswered = 0;  ///< Of these, not answered in time.
    std::uint64_t quota_late_answers = 0;     ///< Received after the request had stopped waiting.
    std::uint64_t quota_own_part = 0;         ///< Requests decided by this router's own share.
    std::size_t quota_tenants = 0;            ///< Tenants that this router counts for.
    std::size_t active_requests = 0;
    runtime::memory_counters memory;  ///< Of requests and answers.
    std::size_t memory_limit_bytes = 0;
    std::uint64_t evicted_connections = 0;  ///< Closed to make room for others.
    std::size_t remembered_parts = 0;       ///< Prompt parts whose holders are known.
    std::size_t followed_holders = 0;       ///< Engines and stores whose cache state is tracked.
    std::size_t live_peers = 0;             ///< Routers heard from recently.
    std::uint64_t notices_sent = 0;         ///< Datagrams sent to other routers.
    std::uint64_t notices_malformed = 0;    ///< Datagrams received that could not be decoded.
    bool holds_rollout_lease = false;
    std::uint64_t orders_sent = 0;
    bool reads_owner = false;  ///< Reads the store's tables on behalf of other routers.
    std::uint64_t table_calls_to_peers = 0;
    std::uint64_t table_answers_to_peers = 0;
    std::uint64_t table_requests_malformed = 0;
    std::uint64_t table_reads_behind = 0;
    std::uint64_t table_reads_failed = 0;
    std::uint64_t store_calls = 0;
    quarantine_counters quarantine;
    std::size_t quarantined_requests = 0;
    std::size_t quarantined_parts = 0;  ///< Prompt parts that engines crash under.
    std::uint64_t crash_rows_written = 0;
    stream_origin_counters origins;
    std::size_t origins_kept = 0;
    stored_origin_totals stored_origins;
    std::vector<metered_bytes> exchanged;
    std::vector<local_release> releases;  ///< One for each pool with a release order.
    release_counters release_traffic;
    std::size_t releases_led = 0;  ///< Releases that this router coordinates.
};

/// Records request outcomes and renders a router's metrics. Used from the event loop's thread; the
/// registry must outlive it.
class relay_metrics {
  public:
    explicit relay_metrics(runtime::metrics& registry) : m_registry(registry) {}

    /// Records a request that has received its final answer.
    void request_ended(const relay_plan& plan, const relay_outcome& outcome);
    /// Sets the gauges to `now`. @return all metrics in Prometheus text format.
    std::string to_text(const relay_gauges& now);

  private:
    void set_quarantine_gauges(const relay_gauges& now);
    void set_memory_gauges(const relay_gauges& now);
    void set_origin_gauges(const relay_gauges& now);
    void count_withdrawals(const relay_outcome& outcome);
    void count_continued(const relay_plan& plan, const relay_outcome& outcome);
    void set_release_gauges(const local_release& release);
    void set_answer_gauges(const local_release& release);

    runtime::metrics& m_registry;
};

}  // namespace ferryroad::relay
