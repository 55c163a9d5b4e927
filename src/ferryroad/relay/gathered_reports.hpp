/// @file
/// Sums the request counts that a release's coordinator receives from routers.
#pragma once

#include "ferryroad/base/ids.hpp"
#include "ferryroad/core/canary/types.hpp"
#include "ferryroad/peer/release_message.hpp"

#include <map>
#include <utility>

namespace ferryroad::relay {

/// Totals for one release order. Counts of routers that are gone and of earlier processes of a
/// restarted router stay in the sum. Not thread-safe.
class gathered_reports {
  public:
    /// Adds a report. Counts of a process are cumulative; a report that arrives after a later one
    /// of the same process changes nothing.
    void add(const peer::release_report& report);
    /// @return the counts of all routers.
    const core::canary::counts_by_route& sum() const { return m_sum; }

  private:
    using process = std::pair<base::router_name, base::incarnation>;

    std::map<process, core::canary::counts_by_route> m_last_reported;
    core::canary::counts_by_route m_sum;
};

}  // namespace ferryroad::relay
