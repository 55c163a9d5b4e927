/// @file
/// What the caller front counts.
#pragma once

#include "ferryroad/base/time.hpp"
#include "ferryroad/runtime/metrics.hpp"

#include <string_view>

namespace ferryroad::caller {

/// Counts answers by interface and outcome. Borrowed by each request.
class caller_metrics {
  public:
    /// @param registry outlives this.
    explicit caller_metrics(runtime::metrics& registry);

    void request_began() { active_.add(1); }
    /// @param outcome `complete`, `abandoned`, or a refusal's code.
    void request_ended(std::string_view api, std::string_view outcome, base::duration taken);
    /// The HTTP server refused what it couldn't read.
    void refused_unread() { unread_.add(); }
    void first_token(base::duration taken) { first_token_.observe(base::to_seconds(taken)); }
    void tokens(double count) { tokens_.add(count); }
    void prompt_tokens(double total, double cached);

  private:
    runtime::metrics& registry_;
    runtime::gauge active_;
    runtime::histogram first_token_;
    runtime::counter unread_;
    runtime::counter tokens_;
    runtime::counter prompt_tokens_;
    runtime::counter cached_tokens_;
};

}  // namespace ferryroad::caller
