/// @file
/// Interface to observe the ends of requests, for logs and metrics.
#pragma once

#include "ferryroad/base/ids.hpp"
#include "ferryroad/base/time.hpp"
#include "ferryroad/core/execution/state.hpp"

#include <cstdint>
#include <optional>

namespace ferryroad::router {

/// Statistics of one request that was resolved and passed to execution.
struct ended_request {
    base::request_id request;
    base::tenant_name tenant;
    base::route_name route;
    core::execution::execution_report execution{};
    std::uint32_t attempts = 0;         ///< Dispatches to engines, including the first.
    std::uint32_t resumes = 0;          ///< Broken streams resumed at the same engine.
    std::uint32_t dropped_answers = 0;  ///< Answers of ended or unknown exchanges.
    bool replayed = false;              ///< Answered from the record of an earlier request.
    base::duration taken{};             ///< Time from the request's arrival to its end.
};

/// Notified on the event loop's thread when a request ends.
class request_observer {
  public:
    virtual ~request_observer() = default;
    virtual void request_ended(const ended_request& ended) = 0;
};

}  // namespace ferryroad::router
