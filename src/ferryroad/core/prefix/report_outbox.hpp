/// @file
/// Reports on their way to the owners: folded, so that what an owner knows is not told again.
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
    /// A piece told lately is told again by an answer after this long at the earliest. Well
    /// below the lifetime of an entry at the owner.
    base::duration repeat_answer_after = std::chrono::seconds(5);
    /// And by a dispatch: longer, since the answer that follows proves more.
    base::duration repeat_dispatch_after = std::chrono::seconds(10);
    /// Pieces on engines remembered as reported.
    std::size_t remembered = 8192;
    /// Reports that wait for one owner at most; the oldest are dropped.
    std::size_t waiting_per_owner = 512;
};

/// Reports for one owner, in the order in which they came.
struct report_batch {
    base::router_name owner;
    std::vector<prefix_report> reports;
};

/// Counts of what was told and what was spared.
struct report_outbox_counters {
    std::uint64_t pieces_queued = 0;    ///< Once for each report, whatever the number of owners.
    std::uint64_t pieces_folded = 0;    ///< Known to be known: not told.
    std::uint64_t reports_dropped = 0;  ///< Too many waited for one owner.
};

/// Pure; sending is the caller's.
class report_outbox {
  public:
    explicit report_outbox(report_outbox_settings settings = {});

    /// Queues for `owners` what of the report they don't know yet.
    void add(const std::vector<base::router_name>& owners, prefix_report report,
             base::monotonic_time now);
    /// @return all that waits, one batch for each owner; nothing waits afterwards.
    std::vector<report_batch> take();
    bool empty() const { return waiting_.empty(); }

    /// The batch did not arrive: its pieces will be told again when next reported.
    void record_lost(const report_batch& batch);
    /// An owner answered with `known_to_owner`: pieces that it doesn't know of an engine, though
    /// they were told, will be told again when next reported.
    void reconcile(const cache_namespace& scope, const piece_chain& pieces,
                   const std::vector<holder>& known_to_owner, base::monotonic_time now);

    const report_outbox_counters& counters() const { return counters_; }

  private:
    /// Takes pieces out that were told lately, and remembers the others.
    void fold(prefix_report& report, base::monotonic_time now);

    report_outbox_settings settings_;
    prefix_index told_;
    std::map<base::router_name, std::vector<prefix_report>> waiting_;
    report_outbox_counters counters_;
};

}  // namespace ferryroad::core::prefix
