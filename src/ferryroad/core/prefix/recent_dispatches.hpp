/// @file
/// Work sent to engines a moment ago, which no load report shows yet.
#pragma once

#include "ferryroad/base/ids.hpp"
#include "ferryroad/base/time.hpp"
#include "ferryroad/core/prefix/prefix_index.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

namespace ferryroad::core::prefix {

struct recent_dispatches_settings {
    /// Older dispatches are taken to show in load reports.
    base::duration window = std::chrono::seconds(1);
    std::size_t kept = 256;
    /// The most told in one answer; the newest go first.
    std::size_t told = 16;
};

/// Prefill that a router sent to an engine.
struct recent_dispatch {
    engine_process process;
    std::uint32_t prefill_tokens = 0;
    base::duration age{};  ///< Since it was reported.
};

/// Pure and bounded.
class recent_dispatches {
  public:
    explicit recent_dispatches(recent_dispatches_settings settings = {}) : settings_(settings) {}

    /// @param reporter the router that dispatched.
    void record(const engine_process& process, std::uint32_t prefill_tokens,
                const base::router_name& reporter, base::monotonic_time now);
    /// @return what routers other than `asker` dispatched lately, newest first.
    std::vector<recent_dispatch> by_others(const base::router_name& asker,
                                           base::monotonic_time now) const;

  private:
    struct kept_dispatch {
        engine_process process;
        std::uint32_t prefill_tokens = 0;
        base::router_name reporter;
        base::monotonic_time at;
    };

    recent_dispatches_settings settings_;
    std::deque<kept_dispatch> newest_first_;
};

}  // namespace ferryroad::core::prefix
