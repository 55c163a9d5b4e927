/// @file
/// Chooses the engine of a relayed request by one cost in one unit: milliseconds until the
/// first answer bytes, with penalties for what costs money or worth instead of time.
#pragma once

#include "ferryroad/base/ids.hpp"
#include "ferryroad/base/time.hpp"
#include "ferryroad/core/topology/zone_map.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace ferryroad::core::placement {

/// An engine that may get the request, as this router sees it.
struct engine_candidate {
    base::engine_name name;
    topology::distance away = topology::distance::same_zone;
    /// Round trip to there beyond that within the own zone, in milliseconds; counts for other
    /// regions only.
    double path_ms = 0;
    bool home = false;          ///< Where all routers send a prefix that nobody holds.
    bool suspended = false;     ///< Taken only where no other is left.
    bool connected = true;      ///< No connection need be opened.
    bool outdated = false;      ///< Runs weights older than the newest named, and not yet too old.
    std::uint32_t running = 0;  ///< Of the requests that are known here.
    std::uint32_t slots = 1;
    std::uint64_t pending_prefill_tokens = 0;  ///< Of these, before their first event.
    std::uint64_t warm_tokens = 0;             ///< Of this prompt, believed to be held.
    /// The same, held by another engine or a store that a move from is no further than a zone.
    std::uint64_t fetchable_tokens = 0;
    std::uint64_t far_fetchable_tokens = 0;  ///< The same, wherever it is held.

    friend bool operator==(const engine_candidate&, const engine_candidate&) = default;
};

struct placement_query {
    std::uint64_t input_tokens = 0;   ///< 0 for requests without a prompt.
    std::uint64_t shared_tokens = 0;  ///< Of its declared parts.
    std::vector<engine_candidate> candidates;
    base::duration target_gap{};  ///< Longest good pause of a stream; 0 where none is told.
    double gap_pressure = 1;      ///< From 0 to 1: whether streams of the pool do pause.
    /// An engine's load, as a multiple of what is known of it: other routers send there, too.
    double unseen_load = 1;
    /// Whether all that hold the prompt's state would be known. Else what nobody is known to hold
    /// is taken to be at the prompt's home, where all routers send it.
    bool knows_holders = true;
    double transfer_kb = 0;  ///< Of the request and its answer, in kilobytes.
};

struct placement_tunables {
    double prefill_tokens_per_ms = 35;
    /// For each request that runs there, as a share of the slots, in milliseconds.
    double full_engine_ms = 60;
    /// Bytes between zones cost money, and two ways' delay.
    double other_zone_ms = 40;
    /// Beyond it where routers of other zones aren't heard: what waits there isn't known. Together
    /// they are what outdated weights cost, so that engines with new ones are not rushed from
    /// afar (design note 0055).
    double unseen_zone_ms = 110;
    /// What a kilobyte to or from another region costs beside its time.
    double region_kb_ms = 1;
    /// Reading shared tokens again costs money beside time: times its prefill.
    double recompute_factor = 2.0;
    /// The same of what is held, but too far away to be moved: that it is read again is waste,
    /// while what nobody holds must be read.
    double reread_factor = 4.0;
    /// Moving a shared token from where it is held, instead of reading it: milliseconds.
    double fetch_token_ms = 0.02;
    /// The same from another region, as a multiple: engines' links move state there five times as
    /// slowly as between zones.
    double far_fetch_factor = 5;
    /// A move's own time, whatever its size.
    double fetch_ms = 5;
    /// Share of what nobody holds that its home is believed to be reading for others already: so
    /// little that the home only wins among equals. At 0.9 long prompts were read at the home
    /// whatever ran there (design note 0058).
    double home_warmth = 0.02;
    /// The same where not all holders are known: only at the home do requests that come to
    /// different routers meet.
    double unknown_home_warmth = 0.9;
    /// Reading prompts pauses the streams that run at an engine. Up to the first share of the
    /// target gap none is late, from the second on all are (measured: design note 0058); each
    /// late one costs this much.
    double harmless_gap_share = 0.3;
    double late_gap_share = 1.0;
    double late_stream_ms = 40;
    /// Opening a connection: two ways' delay, and work at both ends. So little that a connection
    /// only decides among near equals.
    double connect_ms = 8;
    double outdated_ms = 150;
    double suspended_ms = 5000;
};

/// What was decided, with the figures for the log.
struct placement_choice {
    std::size_t candidate = 0;  ///< Position in the query's list.
    double cost_ms = 0;

    friend bool operator==(const placement_choice&, const placement_choice&) = default;
};

/// How an engine comes to the prompt's shared state.
struct shared_plan {
    double cost_ms = 0;
    std::uint64_t moved_tokens = 0;
    bool from_far = false;  ///< Moved from another region.

    friend bool operator==(const shared_plan&, const shared_plan&) = default;
};

/// @return the cheaper of two ways: moving what is held nearby and reading the rest, or moving what
/// another region holds. Thread-safe.
shared_plan plan_shared(const placement_query& query, const engine_candidate& engine,
                        const placement_tunables& tunables);

/// @return the candidate with the least cost, the first of equals; nothing where there is none.
/// Thread-safe.
std::optional<placement_choice> choose_engine(const placement_query& query,
                                              const placement_tunables& tunables);

}  // namespace ferryroad::core::placement
