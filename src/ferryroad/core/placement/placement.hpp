/// @file
/// Selects the engine of a relayed request by a single cost: the expected milliseconds until the
/// first answer bytes, plus penalties in the same unit for costs other than time.
#pragma once

#include "ferryroad/base/ids.hpp"
#include "ferryroad/base/time.hpp"
#include "ferryroad/core/topology/zone_map.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace ferryroad::core::placement {

/// A candidate engine, as known to this router.
struct engine_candidate {
    base::engine_name name;
    topology::distance away = topology::distance::same_zone;
    /// Round trip to the engine less that within the router's own zone, in milliseconds. Used for
    /// other regions only.
    double path_ms = 0;
    bool home = false;          ///< All routers prefer it for this prefix if no engine caches it.
    bool suspended = false;     ///< Selected only if no other engine is left.
    bool connected = true;      ///< The router has an open connection to it.
    bool outdated = false;      ///< Its weights are not the latest, but still allowed.
    std::uint32_t running = 0;  ///< Known requests at the engine.
    std::uint32_t slots = 1;    ///< Maximum number of concurrent requests.
    std::uint64_t pending_prefill_tokens = 0;  ///< Prompt tokens of those without a first event.
    std::uint64_t warm_tokens = 0;             ///< Tokens of this prompt assumed to be cached.
    /// Tokens of this prompt cached by an engine or store in the same region, from which they can
    /// be fetched.
    std::uint64_t fetchable_tokens = 0;
    std::uint64_t far_fetchable_tokens = 0;  ///< The same for caches in any region.

    friend bool operator==(const engine_candidate&, const engine_candidate&) = default;
};

struct placement_query {
    std::uint64_t input_tokens = 0;   ///< Tokens of the prompt; 0 for requests without one.
    std::uint64_t shared_tokens = 0;  ///< Tokens of the prompt's shared parts.
    std::vector<engine_candidate> candidates;
    base::duration target_gap{};  ///< Target for the gaps of a stream; 0 if there is none.
    double gap_pressure = 1;      ///< Frequency of long gaps in the pool's streams, from 0 to 1.
    /// Estimated load of an engine as a multiple of the known load, since routers that don't report
    /// use it, too.
    double load_multiplier = 1;
    /// Whether all caches that hold the prompt's state are known. Otherwise tokens that no cache is
    /// known to hold are assumed to be cached at the prompt's home.
    bool all_holders_known = true;
    double transfer_kb = 0;  ///< Size of the request and its answer, in kilobytes.
};

struct placement_tunables {
    double prefill_tokens_per_ms = 35;  ///< Prefill rate of an engine.
    /// Cost of an engine with all slots in use; proportional to the slots in use.
    double full_engine_ms = 60;
    /// Cost of another zone: traffic between zones is charged for, and the latency is higher.
    double other_zone_ms = 40;
    /// Additional cost of another zone if routers of other zones don't report their load, so that
    /// the load there is not known. Together both equal the cost of outdated weights, so that
    /// engines with new weights are not overrun from other zones (design note 0055).
    double unknown_zone_load_ms = 110;
    /// Cost of a kilobyte to or from another region, beside its transfer time.
    double region_kb_ms = 1;
    /// Factor on the prefill time of shared tokens, for the cost of the computation.
    double recompute_factor = 2.0;
    /// The same for tokens that are cached, but too far away to be fetched. It is higher because
    /// computing them again is avoidable.
    double avoidable_recompute_factor = 4.0;
    /// Time to fetch one shared token from another cache, in milliseconds.
    double fetch_token_ms = 0.02;
    /// Factor on `fetch_token_ms` for another region: links between regions transfer state five
    /// times as slowly as links between zones.
    double far_fetch_factor = 5;
    /// Fixed time of a fetch.
    double fetch_ms = 5;
    /// Assumed share of the tokens held by no known cache that the home engine is computing for
    /// other requests already. It is so low that the home is only preferred among equals. With 0.9,
    /// long prompts went to the home whatever its load (design note 0058).
    double home_cached_share = 0.02;
    /// The same if not all caches are known. Requests that arrive at different routers can then
    /// share state only at the home.
    double unconfirmed_home_cached_share = 0.9;
    /// Prefill delays the streams that run at an engine. If it takes up to `harmless_gap_share` of
    /// the target gap, no stream is late; from `late_gap_share` on all are (design note 0058). Each
    /// late stream costs `late_stream_ms`.
    double harmless_gap_share = 0.3;
    double late_gap_share = 1.0;
    double late_stream_ms = 40;
    /// Cost of opening a connection: a round trip and work at both ends. It is so low that an open
    /// connection only decides between similar engines.
    double connect_ms = 8;
    double outdated_ms = 150;    ///< Cost of outdated weights.
    double suspended_ms = 5000;  ///< Cost of a suspended engine.
};

/// The selected engine, with its cost for the log.
struct placement_choice {
    std::size_t candidate = 0;  ///< Index in the query's candidates.
    double cost_ms = 0;

    friend bool operator==(const placement_choice&, const placement_choice&) = default;
};

/// How an engine obtains the state of the prompt's shared parts.
struct shared_state_plan {
    double cost_ms = 0;
    std::uint64_t fetched_tokens = 0;  ///< Tokens to fetch from other caches.
    bool from_far = false;             ///< Whether to fetch from another region.

    friend bool operator==(const shared_state_plan&, const shared_state_plan&) = default;
};

/// @return the cheaper of two plans: fetching from the same region and computing the rest, or
/// fetching from any region. Thread-safe.
shared_state_plan plan_shared_state(const placement_query& query, const engine_candidate& engine,
                                    const placement_tunables& tunables);

/// @return the candidate with the lowest cost, the first among equals; nothing if there are no
/// candidates. Thread-safe.
std::optional<placement_choice> choose_engine(const placement_query& query,
                                              const placement_tunables& tunables);

}  // namespace ferryroad::core::placement
