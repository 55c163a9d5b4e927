/// @file
/// The components that requests are served with.
#pragma once

#include "ferryroad/base/ids.hpp"
#include "ferryroad/core/prefix/declared_prompt.hpp"
#include "ferryroad/core/reachability/engine_paths.hpp"
#include "ferryroad/quotas/quota_service.hpp"
#include "ferryroad/relay/canary_traffic.hpp"
#include "ferryroad/relay/engine_limits.hpp"
#include "ferryroad/relay/engine_registry.hpp"
#include "ferryroad/relay/engine_slots.hpp"
#include "ferryroad/relay/policy_source.hpp"
#include "ferryroad/relay/request_quarantine.hpp"
#include "ferryroad/relay/selection.hpp"
#include "ferryroad/relay/stream_origins.hpp"
#include "ferryroad/relay/traffic_meter.hpp"
#include "ferryroad/relay/upstream.hpp"
#include "ferryroad/runtime/memory_budget.hpp"
#include "ferryroad/runtime/scheduler.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace ferryroad::relay {

/// Called for each dispatch with the engine, the shared parts of the prompt, and the number of
/// tokens that the engine is expected to prefill.
using dispatch_listener = std::function<void(
    const base::engine_name&, const std::vector<core::prefix::scoped_part>&, std::uint64_t)>;

/// Counts a request against its tenant's rate limit over all routers.
using quota_counter = std::function<runtime::task<quotas::quota_decision>(
    const base::tenant_name&, const quotas::rate_limit&, double amount)>;

/// The components that requests are served with. All must outlive the requests.
template <upstream Upstream>
struct relay_dependencies {
    runtime::scheduler& scheduler;
    Upstream& engines;
    engine_registry& registry;
    engine_selection& selection;
    const policy_source& policies;
    /// Called for each dispatch; may be empty.
    dispatch_listener dispatched;
    /// Called for each request of a tenant with a quota; if empty, quotas are not enforced.
    quota_counter count_quota;
    /// Selects requests for software versions on trial and receives their outcomes; may be null.
    canary_traffic* releases = nullptr;
    /// Quarantines requests that crash engines and receives how exchanges end; may be null.
    request_quarantine* quarantine = nullptr;
    /// Counts exchanged bytes by network distance; may be null.
    traffic_meter* meter = nullptr;
    /// Records the request limits that engines state; may be null.
    engine_limits* limits = nullptr;
    /// This router's own paths to engines; may be null.
    const core::reachability::engine_paths* paths = nullptr;
    /// Knows at which software version resumed streams began; may be null.
    stream_origins* origins = nullptr;
    /// Grants slots of engines that limit their rejections; may be null.
    engine_slots* slots = nullptr;
    /// Limits the memory of answers that are received whole before they are sent; may be null.
    std::shared_ptr<runtime::memory_budget> memory;
};

}  // namespace ferryroad::relay
