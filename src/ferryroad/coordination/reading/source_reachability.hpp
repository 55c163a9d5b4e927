/// @file
/// Tracks which sources answer this router, whatever they are asked for. A source that doesn't
/// answer is excluded for a while, longer each time. All tables share one tracker, because a source
/// that is unreachable for one table is unreachable for all.
#pragma once

#include "ferryroad/base/ids.hpp"
#include "ferryroad/base/random.hpp"
#include "ferryroad/base/time.hpp"
#include "ferryroad/coordination/reading/reading_tree.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace ferryroad::coordination::reading {

/// A router, or the owner itself if empty.
using source = std::optional<base::router_name>;

/// Settings of `source_reachability`.
struct reachability_settings {
    /// First exclusion of a router that didn't answer; doubles each time.
    base::duration first_exclusion = std::chrono::seconds(2);
    /// Upper limit of that exclusion. Longer than most restarts; a router that is gone for good
    /// leaves the member list.
    base::duration longest_exclusion = std::chrono::seconds(16);
    /// First exclusion of the owner after a failed call; doubles each time.
    base::duration first_owner_pause = std::chrono::milliseconds(300);
    /// Upper limit of that exclusion for routers that would read the owner if all routers took
    /// part.
    base::duration longest_reader_pause = std::chrono::milliseconds(600);
    /// The same for all other routers, which must not all ask an owner that is down: 370 of them
    /// ask it 310 times a second, a sixth of what the smallest store can handle.
    base::duration longest_owner_pause = std::chrono::milliseconds(1200);
};

/// Whether a router's place among all routers makes it a reader of the owner.
enum class reading_role { reader, other };

/// Tracks the reachability of all sources. Not thread-safe.
class source_reachability {
  public:
    /// @param random must outlive this object.
    source_reachability(reachability_settings settings, base::random_source& random)
        : m_settings(settings), m_random(random) {}

    /// Drops the state of routers that are not among `members`.
    void declare(const std::vector<tree_member>& members);

    /// @return whether the source is not excluded and may be asked now.
    bool is_available(const source& from, base::monotonic_time now) const;
    /// The source answered; it is no longer excluded.
    void answered(const source& from);
    /// The source didn't answer and is excluded for a while.
    /// @param role role of this router.
    void failed(const source& from, reading_role role, base::monotonic_time now);
    /// @return a counter that increases whenever a router is newly excluded or no longer excluded.
    std::uint64_t revision() const { return m_revision; }
    /// @return when the next of the currently excluded routers becomes available again.
    base::monotonic_time next_readmission(base::monotonic_time now) const;
    /// @return the source whose exclusion ends first.
    source first_readmitted(const std::vector<tree_member>& others) const;

  private:
    struct exclusion {
        base::monotonic_time until{};
        base::duration next{};  ///< Zero if it was not excluded before.
    };

    static void extend(exclusion& one, base::duration first, base::duration longest,
                       base::monotonic_time now, double jitter);

    reachability_settings m_settings;
    base::random_source& m_random;
    std::map<base::router_name, exclusion> m_routers;
    exclusion m_owner;
    std::uint64_t m_revision = 0;
};

}  // namespace ferryroad::coordination::reading
