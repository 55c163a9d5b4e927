/// @file
/// One router's part of the shared index: the roots for which it is owner or standby.
#pragma once

#include "ferryroad/core/prefix/heat.hpp"
#include "ferryroad/core/prefix/prefix_index.hpp"
#include "ferryroad/core/prefix/recent_dispatches.hpp"
#include "ferryroad/core/prefix/report.hpp"

#include <span>
#include <vector>

namespace ferryroad::core::prefix {

/// Answer of an owner to a lookup of leading pieces.
struct owner_answer {
    std::vector<holder> holders;  ///< Longest match first.
    double request_rate = 0;      ///< Lookups of the root per second, over all routers.
    /// Recent dispatches to any engine that other routers reported to this owner.
    std::vector<recent_dispatch> dispatches;
};

/// Answers lookups from the reports received. It does not check ownership: it answers for any root
/// that was reported to it, and is empty after a restart. Does no I/O and reads no clock. Not
/// thread-safe.
class prefix_owner {
  public:
    explicit prefix_owner(prefix_index_settings index = {}, heat_settings heat = {});

    /// Applies a report.
    /// @param reporter the router that sent it.
    void record(const prefix_report& report, const base::router_name& reporter,
                base::monotonic_time now);
    /// Looks up leading pieces, which counts as a request for their root.
    /// @param pieces leading pieces of a prompt, root first; not empty.
    /// @param asker the router that sent the lookup.
    owner_answer lookup(const cache_namespace& scope, std::span<const base::piece_hash> pieces,
                        const base::router_name& asker, base::monotonic_time now);
    void record_incarnation(const engine_process& process) { index_.record_incarnation(process); }

    std::size_t size() const { return index_.size(); }

  private:
    prefix_index index_;
    heat heat_;
    recent_dispatches dispatches_;
};

}  // namespace ferryroad::core::prefix
