/// @file
/// Ports of the shared index to other routers.
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

/// Where a router is reached.
struct router_contact {
    base::router_name name;
    base::incarnation incarnation;
    base::endpoint address;
};

/// Which routers live. Used from the event loop's thread.
class live_routers {
  public:
    virtual ~live_routers() = default;
    /// @return every router that is believed to live, this one included, in any order.
    virtual std::vector<router_contact> live() const = 0;
};

/// Speaks to the owners of prefix roots. Each call ends by `limit`.
class prefix_exchange {
  public:
    virtual ~prefix_exchange() = default;
    virtual runtime::task<runtime::result<core::prefix::owner_answer, exchange_error>> lookup(
        router_contact owner, core::prefix::cache_namespace scope, core::prefix::piece_chain pieces,
        base::duration limit) = 0;
    /// @return once the owner has them; an error where it may not.
    virtual runtime::task<runtime::result<void, exchange_error>> report(
        router_contact owner, std::vector<core::prefix::prefix_report> reports,
        base::duration limit) = 0;
};

}  // namespace ferryroad::router::selection
