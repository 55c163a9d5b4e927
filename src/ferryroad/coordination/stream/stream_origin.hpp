/// @file
/// Origin of a stream: the pool and the software version of the engine that sent its first event.
/// Engines of other versions must not continue the stream.
#pragma once

#include "ferryroad/base/hash.hpp"
#include "ferryroad/base/ids.hpp"
#include "ferryroad/base/time.hpp"
#include "ferryroad/coordination/release/types.hpp"

#include <cstddef>

namespace ferryroad::coordination::stream {

using release::software_version;

/// Identifies a stream: digest of the id of the caller's attempt that received its first event.
struct stream_key {
    base::hash128 digest;

    friend bool operator==(const stream_key&, const stream_key&) = default;
};

/// @return the key of the stream whose first event `attempt` received. Thread-safe.
inline stream_key key_of(const base::request_id& attempt) {
    return {base::hash_fields({attempt.value})};
}

/// Hash of a key, for unordered containers.
struct stream_key_hash {
    std::size_t operator()(const stream_key& key) const {
        return static_cast<std::size_t>(key.digest.low);
    }
};

/// Where a stream began.
struct stream_origin {
    stream_key stream;
    base::pool_name pool;
    software_version software;

    friend bool operator==(const stream_origin&, const stream_origin&) = default;
};

/// An origin, and the time since it was recorded.
struct aged_origin {
    stream_origin origin;
    base::duration age{};

    friend bool operator==(const aged_origin&, const aged_origin&) = default;
};

}  // namespace ferryroad::coordination::stream
