/// @file
/// Admission control: whether and when a request may start, by tenant limits and weights.
#pragma once

#include "ferryroad/base/ids.hpp"
#include "ferryroad/base/time.hpp"
#include "ferryroad/catalog/types.hpp"
#include "ferryroad/router/request_types.hpp"
#include "ferryroad/runtime/task.hpp"

#include <cstdint>
#include <memory>

namespace ferryroad::router {

/// The properties of a request that admission depends on.
struct admission_query {
    base::request_id request;
    base::tenant_name tenant;
    catalog::tenant_limits limits;
    double weight = 1.0;
    base::route_name route;
    base::pool_name pool;
    catalog::request_priority priority = catalog::request_priority::normal;
    std::uint64_t prompt_tokens = 0;  ///< 0 for application calls.
    std::uint32_t max_tokens = 0;     ///< 0 for application calls.
    /// The request is refused if it can't start by then.
    base::monotonic_time deadline{};
};

/// Held while the request runs; destroying it frees the request's place.
class admission_ticket {
  public:
    virtual ~admission_ticket() = default;
};
using admission_grant = std::unique_ptr<admission_ticket>;

/// Admits requests. Used from the event loop's thread only. Must outlive its grants.
class admission_control {
  public:
    virtual ~admission_control() = default;
    /// Admits a request, possibly after waiting in a queue, at most until the query's deadline.
    /// Cancelling the coroutine removes the request from the queue.
    /// @return a grant, or the refusal for the caller (`over_limit` or `overloaded`).
    virtual runtime::task<runtime::result<admission_grant, refusal>> admit(
        admission_query query) = 0;
};

}  // namespace ferryroad::router
