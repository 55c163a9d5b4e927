/// @file
/// What a request came to, for logs and metrics.
#pragma once

#include "ferryroad/base/ids.hpp"
#include "ferryroad/base/time.hpp"
#include "ferryroad/core/execution/state.hpp"

#include <cstdint>
#include <optional>

namespace ferryroad::router {

/// Figures of one request that came as far as its execution.
struct ended_request {
    base::request_id request;
    base::tenant_name tenant;
    base::route_name route;
    core::execution::execution_report execution{};
    std::uint32_t attempts = 0;         ///< Dispatches, the first included.
    std::uint32_t resumes = 0;          ///< Broken streams taken up again at their engine.
    std::uint32_t dropped_answers = 0;  ///< Of ended or foreign exchanges.
    bool replayed = false;              ///< Answered from the record of an earlier request.
    base::duration taken{};
};

/// Called on the event loop's thread as each request ends.
class request_observer {
  public:
    virtual ~request_observer() = default;
    virtual void request_ended(const ended_request& ended) = 0;
};

}  // namespace ferryroad::router
