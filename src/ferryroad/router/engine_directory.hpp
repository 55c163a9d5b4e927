/// @file
/// What this router knows of the engines: from the machine list, the engines themselves,
/// operators and other routers, whichever speaks first.
#pragma once

#include "ferryroad/base/ids.hpp"
#include "ferryroad/base/time.hpp"
#include "ferryroad/engine/errors.hpp"
#include "ferryroad/engine/types.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace ferryroad::router {

/// One engine that may get new work now, with its load corrected by own dispatches.
struct engine_view {
    engine::engine_target target;
    base::zone_name zone;
    engine::load_report load;  ///< As last reported.
    base::monotonic_time reported_at{};
    /// Own dispatches since that report.
    std::uint32_t own_requests_since = 0;
    std::uint64_t own_prefill_tokens_since = 0;
};

/// Used from the event loop's thread.
class engine_directory {
  public:
    virtual ~engine_directory() = default;
    /// @return live engines of the pool, neither leaving nor drained nor suspected.
    virtual std::vector<engine_view> available(const base::pool_name& pool) const = 0;
    /// @return the engine if it may get new work; asked again right before each dispatch.
    virtual std::optional<engine_view> find(const base::engine_name& engine) const = 0;

    /// @return whether the engine failed to answer lately: attempts that still wait to start
    /// there may be given up on. False of engines that only take no new work.
    virtual bool suspected(const base::engine_name& /*engine*/) const { return false; }

    /// An attempt goes to `engine`; `prefill_tokens` as estimated.
    virtual void record_dispatch(const base::engine_name& engine, std::uint64_t prefill_tokens) = 0;
    /// The attempt ended or failed before its load showed in a report.
    virtual void record_end(const base::engine_name& engine) = 0;
    /// A load report came with an answer or a poll.
    virtual void record_load(const base::engine_name& engine, const engine::load_report& load) = 0;
    /// An exchange failed: repeated failures make the engine suspected until a poll succeeds.
    virtual void record_failure(const base::engine_name& engine, engine::error_code code) = 0;
    /// The engine or a peer said that it is leaving.
    virtual void record_leaving(const base::engine_name& engine, base::incarnation process) = 0;
};

}  // namespace ferryroad::router
