/// @file
/// How a request ended.
#pragma once

#include "ferryroad/base/ids.hpp"
#include "ferryroad/base/time.hpp"
#include "ferryroad/coordination/release/types.hpp"
#include "ferryroad/relay/refusal.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace ferryroad::relay {

/// How a request ended, for logs and metrics.
struct relay_outcome {
    std::optional<relay_refusal> refusal;  ///< Nothing if an engine's answer was forwarded.
    unsigned status = 0;                   ///< HTTP status sent to the caller.
    std::uint32_t dispatches = 0;
    std::uint32_t withdrawals = 0;        ///< Dispatches cancelled while they waited at an engine.
    std::uint32_t state_withdrawals = 0;  ///< Those of them that were to fetch outdated state.
    /// Answers to other requests that engines sent before those to this one.
    std::uint32_t answers_skipped = 0;
    bool quarantined_waiting = false;  ///< The last withdrawal was due to a quarantine.
    std::uint64_t events = 0;          ///< Forwarded to the caller.
    /// Software version that the stream began at; nothing if it has no event.
    std::optional<coordination::release::software_version> begun_at;
    std::uint32_t continued = 0;  ///< Exchanges that continued a stream after an event.
    bool mixed_software = false;  ///< Events came from engines of several software versions.
    std::optional<base::duration> first_event;  ///< Time from the request's arrival.
    base::duration longest_gap{};               ///< Between two events.
    std::string engine;                         ///< The last one the request was dispatched to.
    /// The router that passed the last answered exchange on, if any.
    std::optional<base::router_name> via;
    double predicted_ms = 0;               ///< Cost estimated when it was selected.
    std::optional<std::uint64_t> weights;  ///< Weights version it reported.
    /// Time from sending to the first event in the last exchange that began; for requests with a
    /// declared prompt only.
    std::optional<base::duration> begun_after;
    base::duration begin_bound{};  ///< Expected upper bound of `begun_after`.
    /// How long newer weights had been announced when an exchange received its first event; the
    /// maximum over all exchanges, nothing if all began on the newest weights.
    std::optional<base::duration> begun_outdated;
};

}  // namespace ferryroad::relay
