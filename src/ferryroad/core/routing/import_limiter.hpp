/// @file
/// How many moves of warm state go on at once, and never the same one twice.
#pragma once

#include "ferryroad/base/ids.hpp"
#include "ferryroad/base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace ferryroad::core::routing {

struct import_limits {
    std::size_t at_once = 8;     ///< Begun by this router.
    std::size_t per_engine = 2;  ///< To one target, and from one source.
    /// A move whose end nobody reported counts as ended after this.
    base::duration longest = std::chrono::seconds(5);
};

/// One move: pieces up to `deepest`, from engine to engine.
struct import_move {
    base::piece_hash deepest;
    base::engine_name source;
    base::engine_name target;
};

struct import_counters {
    std::uint64_t begun = 0;
    std::uint64_t same_in_flight = 0;  ///< Not begun: it is already under way.
    std::uint64_t over_limit = 0;      ///< Not begun: too many are.
};

/// Pure. Single flight for each (prefix, target); caps for the router and each engine.
class import_limiter {
  public:
    explicit import_limiter(import_limits limits = {}) : limits_(limits) {}

    /// @return true where the move may begin; it then counts until `finish` or its time is up.
    bool begin(const import_move& move, base::monotonic_time now);
    /// The move ended, well or not. Unknown ones are ignored.
    void finish(const import_move& move);

    std::size_t under_way(base::monotonic_time now);
    const import_counters& counters() const { return counters_; }

  private:
    struct begun_move {
        import_move move;
        base::monotonic_time begun_at;
    };

    void forget_ended(base::monotonic_time now);
    bool over_limit(const import_move& move) const;

    import_limits limits_;
    std::vector<begun_move> moves_;
    import_counters counters_;
};

}  // namespace ferryroad::core::routing
