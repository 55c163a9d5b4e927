/// @file
/// Table of stream origins, bounded in time and number.
#pragma once

#include "ferryroad/coordination/stream/stream_origin.hpp"

#include <cstddef>
#include <deque>
#include <optional>
#include <unordered_map>

namespace ferryroad::coordination::stream {

struct origin_table_limits {
    /// How long an origin is kept: the longest stream, and the time until its caller resumes it.
    base::duration retention = std::chrono::seconds(60);
    /// Most origins kept; the oldest are removed first.
    std::size_t max_origins = 20'000;
};

/// Not thread-safe.
class origin_table {
  public:
    explicit origin_table(origin_table_limits limits = {}) : m_limits(limits) {}

    const origin_table_limits& limits() const { return m_limits; }
    /// Adds an origin, unless the stream has one already: its first event came only once.
    void record(const aged_origin& recorded, base::monotonic_time now);
    /// @return the origin of a stream, if it is known.
    std::optional<aged_origin> find(const stream_key& stream, base::monotonic_time now) const;
    std::size_t size() const { return m_origins.size(); }

  private:
    struct entry {
        base::pool_name pool;
        software_version software;
        base::monotonic_time began_at{};
    };
    struct queued_stream {
        stream_key stream;
        base::monotonic_time recorded_at{};
    };

    void remove_old(base::monotonic_time now);

    origin_table_limits m_limits;
    std::unordered_map<stream_key, entry, stream_key_hash> m_origins;
    std::deque<queued_stream> m_queue;  ///< In the order in which they were recorded.
};

}  // namespace ferryroad::coordination::stream
