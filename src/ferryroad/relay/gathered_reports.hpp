/// @file
/// The counts that a release's coordinator has got from routers.
#pragma once

#include "ferryroad/base/ids.hpp"
#include "ferryroad/core/canary/types.hpp"
#include "ferryroad/peer/release_message.hpp"

#include <map>
#include <utility>

namespace ferryroad::relay {

/// Of one order. Counts of routers that are gone, and of processes that began anew, stay in the
/// sum. Not thread-safe.
class gathered_reports {
  public:
    /// Takes a report; one that was overtaken by a later one of its process changes nothing.
    void take(const peer::release_report& report);
    /// @return over all routers.
    const core::canary::counts_by_route& sum() const { return m_sum; }

  private:
    using process = std::pair<base::router_name, base::incarnation>;

    std::map<process, core::canary::counts_by_route> m_told;
    core::canary::counts_by_route m_sum;
};

}  // namespace ferryroad::relay
