/// @file
/// Counters and histograms of relayed traffic.
#pragma once

#include "ferryroad/relay/distance_meter.hpp"
#include "ferryroad/relay/policy_source.hpp"
#include "ferryroad/relay/relay_driver.hpp"
#include "ferryroad/relay/release_service.hpp"
#include "ferryroad/runtime/metrics.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace ferryroad::relay {

/// What is read off the parts of a router when its metrics are asked for.
struct relay_gauges {
    double policy_age_seconds = 0;
    double engines_age_seconds = 0;
    std::uint64_t policy_version = 0;
    std::size_t engines_ready = 0;
    std::size_t engines_leaving = 0;
    std::size_t engines_suspended = 0;
    double shed_share = 0;  ///< Of streams, of the worst pool.
    std::uint64_t quota_asks = 0;
    std::uint64_t quota_asks_unanswered = 0;
    std::uint64_t quota_own_part = 0;
    std::size_t quota_tenants = 0;
    std::size_t active_requests = 0;
    std::size_t remembered_parts = 0;
    std::size_t followed_holders = 0;
    std::size_t live_peers = 0;
    std::uint64_t notices_sent = 0;
    std::uint64_t notices_malformed = 0;
    bool holds_rollout_lease = false;
    std::uint64_t orders_sent = 0;
    bool reads_owner = false;  ///< Reads the store for other routers.
    std::uint64_t table_calls_to_peers = 0;
    std::uint64_t table_answers_to_peers = 0;
    std::uint64_t table_requests_malformed = 0;
    std::uint64_t table_reads_behind = 0;
    std::uint64_t table_reads_failed = 0;
    std::uint64_t store_calls = 0;
    quarantine_counters quarantine;
    std::size_t quarantined_requests = 0;
    std::uint64_t crash_rows_written = 0;
    std::vector<metered_bytes> exchanged;
    std::vector<own_release> releases;  ///< Of each pool that was ever ordered to change.
    release_counters release_traffic;
    std::size_t releases_led = 0;  ///< That this router coordinates.
};

/// Used from the event loop's thread; the registry outlives it.
class relay_metrics {
  public:
    explicit relay_metrics(runtime::metrics& registry) : m_registry(registry) {}

    /// A request has its final answer.
    void request_ended(const relay_plan& plan, const relay_outcome& outcome);
    /// Sets the gauges. @return everything in Prometheus's text format.
    std::string to_text(const relay_gauges& now);

  private:
    void set_quarantine(const relay_gauges& now);
    void count_withdrawals(const relay_outcome& outcome);
    void set_release(const own_release& one);
    void set_answers(const own_release& one);

    runtime::metrics& m_registry;
};

}  // namespace ferryroad::relay
