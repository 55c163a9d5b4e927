/// @file
/// Outgoing reports to the owners of prefix roots, deduplicated so that an owner is not sent again
/// what it knows.
#pragma once

#include "ferryroad/base/ids.hpp"
#include "ferryroad/base/time.hpp"
#include "ferryroad/core/prefix/prefix_index.hpp"
#include "ferryroad/core/prefix/report.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace ferryroad::core::prefix {

struct report_outbox_settings {
    /// Minimum interval before an answer reports the same piece again. It is well below the
    /// lifetime of an entry at the owner.
    base::duration repeat_answer_after = std::chrono::seconds(5);
    /// The same for a dispatch. It is longer because the answer that follows is better evidence.
    base::duration repeat_dispatch_after = std::chrono::seconds(10);
    /// Maximum number of entries (one piece on one engine) remembered as reported.
    std::size_t remembered_entries = 8192;
    /// Maximum number of reports queued for one owner; the oldest are dropped.
    std::size_t max_queued_per_owner = 512;
};

/// Reports for one owner, in order of arrival.
struct report_batch {
    base::router_name owner;
    std::vector<prefix_report> reports;
};

struct report_outbox_counters {
    std::uint64_t pieces_queued = 0;        ///< Counted once per report, not per owner.
    std::uint64_t pieces_deduplicated = 0;  ///< Left out, because the owner knows them.
    std::uint64_t reports_dropped = 0;      ///< Dropped, because the queue of an owner was full.
};

/// Collects reports for sending by the caller. Does no I/O and reads no clock. Not thread-safe.
class report_outbox {
  public:
    explicit report_outbox(report_outbox_settings settings = {});

    /// Queues the part of the report that `owners` don't know yet.
    void add(const std::vector<base::router_name>& owners, prefix_report report,
             base::monotonic_time now);
    /// Empties the queues.
    /// @return the queued reports, one batch per owner.
    std::vector<report_batch> take();
    bool empty() const { return queued_.empty(); }

    /// Records that a batch was not delivered. Its pieces are sent again when next reported.
    void record_lost(const report_batch& batch);
    /// Compares the answer of an owner with the pieces reported to it. Pieces that the owner does
    /// not know are sent again when next reported.
    void reconcile(const cache_namespace& scope, const piece_chain& pieces,
                   const std::vector<holder>& known_to_owner, base::monotonic_time now);

    const report_outbox_counters& counters() const { return counters_; }

  private:
    /// Removes the pieces that were reported recently, and remembers the others as reported.
    void remove_reported(prefix_report& report, base::monotonic_time now);

    report_outbox_settings settings_;
    prefix_index reported_;
    std::map<base::router_name, std::vector<prefix_report>> queued_;
    report_outbox_counters counters_;
};

}  // namespace ferryroad::core::prefix
