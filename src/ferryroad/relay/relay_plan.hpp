/// @file
/// What a relayed request was resolved to, what that allows its execution, and what a failed
/// dispatch says of its engine.
#pragma once

#include "ferryroad/base/ids.hpp"
#include "ferryroad/base/time.hpp"
#include "ferryroad/core/execution/request_execution.hpp"
#include "ferryroad/core/quarantine/request_identity.hpp"
#include "ferryroad/core/traffic/traffic_policy.hpp"
#include "ferryroad/relay/engine_registry.hpp"
#include "ferryroad/relay/types.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>

namespace ferryroad::relay {

struct driver_tunables {
    /// Engines asked beyond those that a request may run on, after proofs that it did not run.
    std::uint32_t extra_dispatches = 2;
    /// A repeatable request whose engine is silent for this share of the target is tried
    /// elsewhere.
    double silence_share = 2.0;
    /// Beside the time that its prompt is expected to take.
    double prefill_tokens_per_second = 20000;
    /// A stream whose engine pauses this many times the target gap is taken up elsewhere.
    double gap_factor = 4.0;
    base::duration least_silence = std::chrono::milliseconds(600);
    /// An engine that said it takes no work for now is passed over this long.
    base::duration refusal_pause = std::chrono::milliseconds(150);
    /// The same, where it is most likely loading new weights.
    base::duration loading_pause = std::chrono::milliseconds(1000);
    /// An address that another process answered on is passed over this long.
    base::duration misdirected_pause = std::chrono::seconds(3);
    /// An exchange that breaks sooner was most likely sent over a kept connection to an engine that
    /// had just ended: such breaks come within 2 ms, those of engines that end under a request
    /// 20 ms after it and later (logs of fleets of 5 to 8 routers).
    base::duration least_run = std::chrono::milliseconds(10);
    /// An engine that was told until when a request may begin says then that it has not run: its
    /// answer is waited for this long.
    base::duration refusal_wait = std::chrono::milliseconds(100);
    /// Bytes of a whole answer, and of one event.
    std::size_t answer_bytes = std::size_t{16} * 1024 * 1024;
    /// When to come back, where nothing better is known.
    base::duration retry_after = std::chrono::milliseconds(150);
};

/// What a request was resolved to.
struct relay_plan {
    std::shared_ptr<const relay_call> call;
    std::shared_ptr<const core::traffic::traffic_policy> policy;  ///< Keeps `on` and `tenant`.
    const core::traffic::route* on = nullptr;
    const core::traffic::tenant* tenant = nullptr;  ///< Null on public routes.
    base::pool_name pool;
    base::monotonic_time deadline{};
    std::uint32_t priority = 0;
    core::quarantine::request_identity identity;
};

/// @return whether the route's requests may run more than once. Thread-safe, as all here but
/// `blame`.
bool is_repeatable(const core::traffic::route& on);
/// @return what the request's repeats have in common. Call and tenant are resolved.
core::quarantine::request_identity identity_of(const relay_plan& plan);
core::execution::execution_rules rules_of(const relay_plan& plan);
core::execution::tunables limits_of(const relay_plan& plan, const driver_tunables& tunables);

/// Notes what a failed dispatch says of the engine that it was sent to.
/// @param outdated whether the engine has older weights of the request's model than were
/// named: then it most likely refuses because it is taking newer ones.
void blame(known_engine& engine, const dispatch_failure& failure, bool outdated,
           const driver_tunables& tunables, base::monotonic_time now);

}  // namespace ferryroad::relay
