/// @file
/// Message in which a router informs the others about its traffic, with its encoding
/// (schema/wire.fbs). Notices are sent in datagrams of their own; their content is absolute or
/// numbered, so that lost, duplicated or late notices do no harm.
#pragma once

#include "ferryroad/base/ids.hpp"
#include "ferryroad/core/placement/engine_load_view.hpp"
#include "ferryroad/core/prefix/declared_prompt.hpp"
#include "ferryroad/peer/errors.hpp"
#include "ferryroad/peer/transport.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ferryroad::peer {

/// Version of the weights that an engine has reported.
struct observed_weights {
    base::engine_name engine;
    std::string model;
    std::uint64_t version = 0;

    friend bool operator==(const observed_weights&, const observed_weights&) = default;
};

/// Weights that an engine is about to load.
struct loading_weights {
    base::engine_name engine;
    std::string model;
    std::uint64_t version = 0;
    base::duration ready_in{};  ///< Approximate time until the engine accepts requests again.

    friend bool operator==(const loading_weights&, const loading_weights&) = default;
};

/// Request limit that an engine stated.
struct stated_engine_limit {
    base::engine_name engine;
    /// Start of the engine's process in Unix milliseconds; 0 if not known.
    std::uint64_t process_start_ms = 0;
    std::optional<double> per_second;  ///< Nothing if the engine states no limit any more.
    base::duration age{};              ///< Time since it was stated.

    friend bool operator==(const stated_engine_limit&, const stated_engine_limit&) = default;
};

/// Parts that an engine was recently asked to read into its cache.
struct expected_state {
    base::engine_name engine;
    std::vector<core::prefix::scoped_part> parts;

    friend bool operator==(const expected_state&, const expected_state&) = default;
};

/// Changes of the parts that a holder keeps, numbered from `from` up to but not including `next`. A
/// part with 0 tokens was removed.
struct holder_changes {
    base::engine_name holder;
    std::uint64_t epoch = 0;
    std::uint64_t from = 0;
    std::uint64_t next = 0;
    std::vector<core::prefix::scoped_part> parts;

    friend bool operator==(const holder_changes&, const holder_changes&) = default;
};

/// One notice.
struct traffic_notice {
    base::router_name sender;
    base::zone_name zone;
    /// Whether `loads` is the sender's complete load. If not, `loads` says nothing about the
    /// sender's load.
    bool loads_complete = false;
    std::vector<core::placement::router_load> loads;
    /// Weights that the sender knew of as it made `loads`.
    std::vector<core::placement::known_weights> known;
    std::vector<observed_weights> weights;
    std::vector<expected_state> expected;
    std::vector<holder_changes> changes;
    std::vector<loading_weights> loading;
    std::vector<stated_engine_limit> limits;
    /// Whether the sender reaches no engine over its own network path.
    bool paths_lost = false;

    friend bool operator==(const traffic_notice&, const traffic_notice&) = default;
};

/// All functions of this file are thread-safe.
message_bytes encode(const traffic_notice& notice);
/// @return whether the datagram carries the identifier of a notice; it may still be malformed.
bool is_traffic_notice(std::string_view bytes);
/// @return the notice, or `malformed`.
result<traffic_notice> decode_traffic_notice(std::string_view bytes);

}  // namespace ferryroad::peer
