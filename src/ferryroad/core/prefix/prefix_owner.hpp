/// @file
/// The part of the shared index that one router keeps: the roots it owns, and those it stands
/// behind.
#pragma once

#include "ferryroad/core/prefix/heat.hpp"
#include "ferryroad/core/prefix/prefix_index.hpp"
#include "ferryroad/core/prefix/recent_dispatches.hpp"
#include "ferryroad/core/prefix/report.hpp"

#include <span>
#include <vector>

namespace ferryroad::core::prefix {

/// What an owner says of leading pieces.
struct owner_answer {
    std::vector<holder> holders;  ///< Longest match first.
    double request_rate = 0;      ///< Lookups of the root, a second, over all routers.
    /// Of routers other than the asking one, to any engine, as far as told here.
    std::vector<recent_dispatch> dispatches;
};

/// Pure: reports and lookups in, answers out. Knows nothing of who owns what: it answers for
/// whatever it was told, and is empty after a restart.
class prefix_owner {
  public:
    explicit prefix_owner(prefix_index_settings index = {}, heat_settings heat = {});

    /// @param reporter the router that says so.
    void record(const prefix_report& report, const base::router_name& reporter,
                base::monotonic_time now);
    /// Counts as a request for the root. @param pieces not empty. @param asker the router that
    /// wants to know.
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
