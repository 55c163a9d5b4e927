/// @file
/// Recent dispatches to engines that load reports don't include yet.
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
    /// Age from which on load reports are assumed to include a dispatch.
    base::duration window = std::chrono::seconds(1);
    std::size_t max_stored = 256;   ///< Maximum number of dispatches stored.
    std::size_t max_returned = 16;  ///< Maximum number of dispatches returned by `by_others`.
};

/// Prefill that a router dispatched to an engine.
struct recent_dispatch {
    engine_process process;
    std::uint32_t prefill_tokens = 0;
    base::duration age{};  ///< Time since it was reported.
};

/// Bounded in size. Does no I/O and reads no clock. Not thread-safe.
class recent_dispatches {
  public:
    explicit recent_dispatches(recent_dispatches_settings settings = {}) : settings_(settings) {}

    /// Records a dispatch.
    /// @param reporter the router that made it.
    void record(const engine_process& process, std::uint32_t prefill_tokens,
                const base::router_name& reporter, base::monotonic_time now);
    /// @return the recent dispatches of routers other than `asker`, newest first.
    std::vector<recent_dispatch> by_others(const base::router_name& asker,
                                           base::monotonic_time now) const;

  private:
    struct stored_dispatch {
        engine_process process;
        std::uint32_t prefill_tokens = 0;
        base::router_name reporter;
        base::monotonic_time at;
    };

    recent_dispatches_settings settings_;
    std::deque<stored_dispatch> newest_first_;
};

}  // namespace ferryroad::core::prefix
