/// @file
/// Interfaces through which the shared prefix index communicates with other routers.
#pragma once

#include "ferryroad/base/endpoint.hpp"
#include "ferryroad/base/ids.hpp"
#include "ferryroad/base/time.hpp"
#include "ferryroad/core/prefix/prefix_owner.hpp"
#include "ferryroad/core/prefix/report.hpp"
#include "ferryroad/router/selection/errors.hpp"
#include "ferryroad/runtime/task.hpp"

#include <vector>

namespace ferryroad::router::selection {

/// A router process and its address.
struct router_contact {
    base::router_name name;
    base::incarnation incarnation;
    base::endpoint address;
};

/// Source of the currently live routers. Used from the event loop's thread only.
class live_routers {
  public:
    virtual ~live_routers() = default;
    /// @return all routers considered alive, including this one, in no particular order.
    virtual std::vector<router_contact> live() const = 0;
};

/// Sends requests to the owners of prefix roots. Every call completes within `limit`.
class prefix_exchange {
  public:
    virtual ~prefix_exchange() = default;
    /// Asks `owner` which engines hold leading pieces of the chain.
    virtual runtime::task<runtime::result<core::prefix::owner_answer, exchange_error>> lookup(
        router_contact owner, core::prefix::cache_namespace scope, core::prefix::piece_chain pieces,
        base::duration limit) = 0;
    /// Sends `reports` to `owner`.
    /// @return after the owner has acknowledged the reports; an error if it may not have
    /// received them.
    virtual runtime::task<runtime::result<void, exchange_error>> report(
        router_contact owner, std::vector<core::prefix::prefix_report> reports,
        base::duration limit) = 0;
};

}  // namespace ferryroad::router::selection
