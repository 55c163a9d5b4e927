/// @file
/// Metrics of request execution.
#pragma once

#include "ferryroad/router/request/request_observer.hpp"
#include "ferryroad/runtime/metrics.hpp"

namespace ferryroad::router {

/// Counts ended requests, attempts, retries, resumes, dropped answers and replays.
class request_metrics final : public request_observer {
  public:
    /// @param registry must outlive this object.
    explicit request_metrics(runtime::metrics& registry);
    void request_ended(const ended_request& ended) override;

  private:
    runtime::metrics& registry_;
    runtime::counter attempts_;
    runtime::counter retries_;
    runtime::counter resumes_;
    runtime::counter dropped_;
    runtime::counter replayed_;
};

}  // namespace ferryroad::router
