/// @file
/// A relayed request after resolution against the traffic policy, the execution rules and limits
/// that follow from it, and how a failed dispatch is recorded against its engine.
#pragma once

#include "ferryroad/base/ids.hpp"
#include "ferryroad/base/time.hpp"
#include "ferryroad/core/execution/request_execution.hpp"
#include "ferryroad/core/quarantine/part_identity.hpp"
#include "ferryroad/core/quarantine/request_identity.hpp"
#include "ferryroad/core/traffic/traffic_policy.hpp"
#include "ferryroad/relay/engine_registry.hpp"
#include "ferryroad/relay/types.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace ferryroad::relay {

/// Limits and timeouts of `relay_driver`.
struct driver_tunables {
    /// Dispatches allowed beyond the route's attempts, for dispatches that provably did not run.
    std::uint32_t extra_dispatches = 2;
    /// A repeatable request is retried at another engine if its engine is silent for this multiple
    /// of the route's target latency.
    double latency_factor = 2.0;
    /// Assumed prefill speed; the silence limit is extended by the prompt's expected prefill time.
    double prefill_tokens_per_second = 20000;
    /// A resumable stream is resumed at another engine if its engine pauses for this multiple of
    /// the route's target gap between events.
    double gap_factor = 4.0;
    /// Lower bound of both silence limits.
    base::duration min_silence_limit = std::chrono::milliseconds(600);
    /// How long an engine that refused a request as overloaded is not selected.
    base::duration refusal_backoff = std::chrono::milliseconds(150);
    /// The same if the engine is most likely loading new weights.
    base::duration loading_backoff = std::chrono::milliseconds(1000);
    /// The same if the engine limits its rejections per second and no router counts its slots.
    base::duration limited_rejection_backoff = std::chrono::milliseconds(1000);
    /// How long a request waits for room at engines that limit their rejections, as a share of the
    /// route's target latency.
    double room_wait_share = 0.45;
    /// Mean time between two selections of a request that waits for room.
    base::duration room_check_interval = std::chrono::milliseconds(20);
    /// How long an engine is not selected after another process answered at its address.
    base::duration misdirected_backoff = std::chrono::seconds(3);
    /// An exchange that breaks sooner was most likely sent over a pooled connection to an engine
    /// that had already terminated. Such breaks occur within 2 ms; an engine that crashes while
    /// running a request breaks the exchange after 20 ms or more.
    base::duration min_run_time = std::chrono::milliseconds(10);
    /// An engine that was given a start deadline reports, when it passes, that the request has not
    /// run. How long the router waits for that report.
    base::duration refusal_wait = std::chrono::milliseconds(100);
    /// Permits for engines with a request limit that are asked for per selection, if all are
    /// refused; then only engines without a limit are selected. Each ask takes the time of a
    /// datagram to another router and back.
    std::uint32_t max_permit_attempts = 4;
    /// Slots of engines that limit their rejections that are asked for per request, if all are
    /// refused.
    std::uint32_t max_slot_attempts = 8;
    /// Slots that are asked for without waiting for them to become free, as another engine may have
    /// a free one.
    std::uint32_t slot_attempts_without_wait = 3;
    /// Share of the time for a slot after which the next ask waits all the same: the answers of
    /// distant routers take so long that further asks would leave no time to wait.
    double longest_share_without_wait = 0.25;
    /// Slots that are asked for per selection. Routers that see the same loads ask the same
    /// engines; those that are refused spread out until they select again.
    std::uint32_t slot_attempts_per_selection = 4;
    /// Maximum size of a non-streaming answer, in bytes.
    std::size_t max_answer_bytes = std::size_t{16} * 1024 * 1024;
    /// Maximum size of a stream event, in bytes.
    std::size_t max_event_bytes = std::size_t{1024} * 1024;
    /// Incomplete stream events up to this size, in bytes, are not charged to the memory budget.
    std::size_t uncharged_event_bytes = std::size_t{32} * 1024;
    /// Callers that are refused as all engines back off are told to retry within this time after
    /// the first backoff ends.
    base::duration backoff_retry_spread = std::chrono::milliseconds(500);
    /// How long a stream that was begun waits for an engine of its software version, at most, while
    /// one is listed that can't be used.
    base::duration continuation_wait = std::chrono::milliseconds(1500);
    /// Time between two selections meanwhile.
    base::duration continuation_check_interval = std::chrono::milliseconds(100);
    /// `Retry-After` while this router reaches no engine and no other router passes requests on.
    base::duration lost_paths_retry_after = std::chrono::seconds(1);
    /// Least `Retry-After` of requests in quarantine. One of a prompt part may be over, and another
    /// request be finding out whether the part still crashes engines.
    base::duration least_quarantine_retry_after = std::chrono::seconds(1);
    /// An engine that stops a request at its deadline has stopped it this long after that.
    base::duration engine_stop_margin = std::chrono::milliseconds(500);
    /// `Retry-After` of refusals without a better estimate.
    base::duration retry_after = std::chrono::milliseconds(150);
};

/// A request and what it was resolved to.
struct relay_plan {
    std::shared_ptr<const relay_call> call;
    std::shared_ptr<const core::traffic::traffic_policy>
        policy;                                           ///< Owns `matched_route` and `tenant`.
    const core::traffic::route* matched_route = nullptr;  ///< The matching route.
    const core::traffic::tenant* tenant = nullptr;        ///< Null if the caller needs no key.
    base::pool_name pool;
    base::monotonic_time deadline{};
    std::uint32_t priority = 0;  ///< 0 is the most urgent.
    /// Software version that began the stream which the caller resumes, if any.
    std::optional<coordination::release::software_version> begun_at;
    core::quarantine::request_identity identity;  ///< Shared by repeats of the request.
    /// Parts of the prompt that other requests share.
    std::vector<core::quarantine::part_identity> parts;
    /// The request finds out whether a part still crashes engines after its quarantine.
    bool tries_part = false;
};

/// @return whether the route's requests may run more than once. Thread-safe, as are all functions
/// here except `record_dispatch_failure`.
bool is_repeatable(const core::traffic::route& route);
/// @return whether the request may be served only as one of a tenant: the route needs a key, or the
/// caller presents credentials. Without any tenant in the policy credentials mean nothing.
bool needs_known_tenant(const relay_call& call, const core::traffic::traffic_policy& policy,
                        const core::traffic::route& route);
/// @return the identity that repeats of the request share. The plan's call and tenant must be set.
core::quarantine::request_identity identity_of(const relay_plan& plan);
/// @return the execution rules of the plan's route and deadline.
core::execution::execution_rules rules_of(const relay_plan& plan);
/// @return the limits on executions and dispatches of the plan's request.
core::execution::tunables limits_of(const relay_plan& plan, const driver_tunables& tunables);

/// Records a failed dispatch in the state of the engine that it was sent to.
/// @param outdated whether the engine has older weights of the request's model than the newest
/// version announced: a refusal then most likely means that it is loading newer ones.
/// @param counted whether a router counted the slot that the request was to use.
void record_dispatch_failure(known_engine& engine, const dispatch_failure& failure, bool outdated,
                             const driver_tunables& tunables, base::monotonic_time now,
                             bool counted = false);

}  // namespace ferryroad::relay
