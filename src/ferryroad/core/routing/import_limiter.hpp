/// @file
/// Limits concurrent imports of cached state between engines, and prevents duplicate ones.
#pragma once

#include "ferryroad/base/ids.hpp"
#include "ferryroad/base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace ferryroad::core::routing {

struct import_limits {
    std::size_t max_concurrent = 8;  ///< Maximum number of concurrent moves started by this router.
    std::size_t max_per_engine = 2;  ///< Maximum number per target and per source.
    /// Time after which a move counts as ended if its end was not reported.
    base::duration max_duration = std::chrono::seconds(5);
};

/// Import of the pieces up to `deepest` from one engine into another.
struct import_move {
    base::piece_hash deepest;
    base::engine_name source;
    base::engine_name target;
};

struct import_counters {
    std::uint64_t started = 0;
    std::uint64_t same_in_flight = 0;  ///< Not started, because the same move was in progress.
    std::uint64_t over_limit = 0;      ///< Not started, because a limit was reached.
};

/// Allows one move at a time for each (prefix, target), and limits the moves of the router and of
/// each engine. Does no I/O and reads no clock. Not thread-safe.
class import_limiter {
  public:
    explicit import_limiter(import_limits limits = {}) : limits_(limits) {}

    /// Starts a move if the limits allow it.
    /// @return whether the move may start. It then counts until `finish`, or until
    /// `import_limits::max_duration` has passed.
    bool begin(const import_move& move, base::monotonic_time now);
    /// Records that a move has succeeded or failed. Unknown moves are ignored.
    void finish(const import_move& move);

    /// @return the number of moves in progress.
    std::size_t in_progress(base::monotonic_time now);
    const import_counters& counters() const { return counters_; }

  private:
    struct active_move {
        import_move move;
        base::monotonic_time started_at;
    };

    void drop_expired(base::monotonic_time now);
    bool over_limit(const import_move& move) const;

    import_limits limits_;
    std::vector<active_move> moves_;
    import_counters counters_;
};

}  // namespace ferryroad::core::routing
