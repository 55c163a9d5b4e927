/// @file
/// What this router knows about the engines, from the machine list, the engines' own answers,
/// operators and other routers.
#pragma once

#include "ferryroad/base/ids.hpp"
#include "ferryroad/base/time.hpp"
#include "ferryroad/engine/errors.hpp"
#include "ferryroad/engine/types.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace ferryroad::router {

/// An engine that may get new work now: its last reported load, and what this router has sent to it
/// since.
struct engine_view {
    engine::engine_target target;
    base::zone_name zone;
    engine::load_report load;  ///< As last reported by the engine.
    base::monotonic_time reported_at{};
    /// Requests and prefill tokens that this router has dispatched since that report.
    std::uint32_t own_requests_since = 0;
    std::uint64_t own_prefill_tokens_since = 0;
};

/// Not thread-safe: used from the event loop's thread only.
class engine_directory {
  public:
    virtual ~engine_directory() = default;
    /// @return the live engines of the pool that are not leaving, drained or suspected.
    virtual std::vector<engine_view> available(const base::pool_name& pool) const = 0;
    /// @return the engine if it may get new work, else nothing. Call it again right before each
    /// dispatch.
    virtual std::optional<engine_view> find(const base::engine_name& engine) const = 0;

    /// @return whether the engine has recently failed to answer. Attempts that have not started
    /// there yet may be abandoned. False for an engine that is only leaving or drained.
    virtual bool suspected(const base::engine_name& /*engine*/) const { return false; }

    /// Records that an attempt is dispatched to `engine`. @param prefill_tokens the estimate.
    virtual void record_dispatch(const base::engine_name& engine, std::uint64_t prefill_tokens) = 0;
    /// Records that an attempt ended or failed before a load report included it.
    virtual void record_end(const base::engine_name& engine) = 0;
    /// Records a load report, received with an answer or a poll.
    virtual void record_load(const base::engine_name& engine, const engine::load_report& load) = 0;
    /// Records a failed exchange. Repeated failures make the engine suspected until a poll
    /// succeeds.
    virtual void record_failure(const base::engine_name& engine, engine::error_code code) = 0;
    /// Records that this process of the engine is leaving, as reported by it or by another router.
    virtual void record_leaving(const base::engine_name& engine, base::incarnation process) = 0;
};

}  // namespace ferryroad::router
