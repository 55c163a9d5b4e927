/// @file
/// Metrics of the caller front end.
#pragma once

#include "ferryroad/base/time.hpp"
#include "ferryroad/runtime/metrics.hpp"

#include <string_view>

namespace ferryroad::caller {

/// Counts requests by interface and outcome, and the tokens of their answers. Must outlive every
/// request that is being answered.
class caller_metrics {
  public:
    /// @param registry must outlive this object.
    explicit caller_metrics(runtime::metrics& registry);

    void request_began() { active_.add(1); }
    /// @param outcome `complete`, `abandoned`, `rejected`, or the code of a refusal.
    /// @param taken time from the request's arrival to its end.
    void request_ended(std::string_view api, std::string_view outcome, base::duration taken);
    /// Counts a malformed or oversized request that the HTTP server refused.
    void count_unreadable_request() { unreadable_.add(); }
    void first_token(base::duration taken) { first_token_.observe(base::to_seconds(taken)); }
    void tokens(double count) { tokens_.add(count); }
    void prompt_tokens(double total, double cached);

  private:
    runtime::metrics& registry_;
    runtime::gauge active_;
    runtime::histogram first_token_;
    runtime::counter unreadable_;
    runtime::counter tokens_;
    runtime::counter prompt_tokens_;
    runtime::counter cached_tokens_;
};

}  // namespace ferryroad::caller
