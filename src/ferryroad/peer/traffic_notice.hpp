/// @file
/// What routers tell each other of their traffic, and its encoding (schema/wire.fbs). Notices
/// travel in datagrams of their own; all parts are absolute or numbered, so that one that is
/// lost, doubled or late does no harm.
#pragma once

#include "ferryroad/base/ids.hpp"
#include "ferryroad/core/placement/engine_load_view.hpp"
#include "ferryroad/core/prefix/declared_prompt.hpp"
#include "ferryroad/peer/errors.hpp"
#include "ferryroad/peer/transport.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace ferryroad::peer {

/// An engine showed the version of its weights.
struct seen_weights {
    base::engine_name engine;
    std::string model;
    std::uint64_t version = 0;

    friend bool operator==(const seen_weights&, const seen_weights&) = default;
};

/// An engine is about to take these weights.
struct loading_weights {
    base::engine_name engine;
    std::string model;
    std::uint64_t version = 0;
    base::duration ready_in{};  ///< It takes no requests for about so long from now.

    friend bool operator==(const loading_weights&, const loading_weights&) = default;
};

/// An engine was asked to read these parts a moment ago.
struct expected_state {
    base::engine_name engine;
    std::vector<core::prefix::scoped_part> parts;

    friend bool operator==(const expected_state&, const expected_state&) = default;
};

/// Changes numbered `from` up to `next` of what a holder keeps; a part with 0 tokens is gone.
struct holder_changes {
    base::engine_name holder;
    std::uint64_t epoch = 0;
    std::uint64_t from = 0;
    std::uint64_t next = 0;
    std::vector<core::prefix::scoped_part> parts;

    friend bool operator==(const holder_changes&, const holder_changes&) = default;
};

struct traffic_notice {
    base::router_name sender;
    base::zone_name zone;
    /// Whether `loads` is all of the sender's load; else it says nothing of it.
    bool loads_complete = false;
    std::vector<core::placement::router_load> loads;
    std::vector<seen_weights> weights;
    std::vector<expected_state> expected;
    std::vector<holder_changes> changes;
    std::vector<loading_weights> loading;

    friend bool operator==(const traffic_notice&, const traffic_notice&) = default;
};

/// Thread-safe, as all here.
message_bytes encode(const traffic_notice& notice);
/// @return whether the datagram says that it is a notice; it may still be malformed.
bool is_traffic_notice(std::string_view bytes);
/// @return the notice, or `malformed`.
result<traffic_notice> decode_traffic_notice(std::string_view bytes);

}  // namespace ferryroad::peer
