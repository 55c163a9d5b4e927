/// @file
/// Which sources answer this router, whatever they are asked for: a source that doesn't answer is
/// left out for a while, longer each time. One for all tables, as silence concerns all of them.
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

/// A router, or nothing: the owner itself.
using source = std::optional<base::router_name>;

struct reach_settings {
    /// A router that didn't answer is left out for so long the first time; doubles each time.
    base::duration first_absence = std::chrono::seconds(2);
    /// Longer than most restarts; a router that is gone for good leaves the list of members.
    base::duration longest_absence = std::chrono::seconds(16);
    /// After a failed call to the owner, it is left out for so long; doubles each time.
    base::duration first_owner_pause = std::chrono::milliseconds(300);
    /// The same at most, for routers that would read the owner if all took part.
    base::duration longest_reader_pause = std::chrono::milliseconds(600);
    /// The same for others: so many routers must not all ask an owner that is away. 370 of them
    /// ask it 310 times a second, a sixth of what the smallest store takes.
    base::duration longest_owner_pause = std::chrono::milliseconds(1200);
};

/// Whether a router reads the owner by its place among all.
enum class reading_role { reader, other };

/// Not thread-safe.
class source_reach {
  public:
    /// @param random outlives the object.
    source_reach(reach_settings settings, base::random_source& random)
        : m_settings(settings), m_random(random) {}

    /// Forgets routers that are not among `members`.
    void declare(const std::vector<tree_member>& members);

    /// @return whether the source may be asked now.
    bool is_present(const source& from, base::monotonic_time now) const;
    void answered(const source& from);
    /// @param role of this router.
    void failed(const source& from, reading_role role, base::monotonic_time now);
    /// @return a count that rises whenever a router is left out anew, or no longer.
    std::uint64_t revision() const { return m_revision; }
    /// @return when the next of the routers that are left out now counts again.
    base::monotonic_time next_return(base::monotonic_time now) const;
    /// @return the source whose absence ends first.
    source first_back(const std::vector<tree_member>& others) const;

  private:
    struct absence {
        base::monotonic_time until{};
        base::duration next{};  ///< Zero: none before.
    };

    static void extend(absence& one, base::duration first, base::duration longest,
                       base::monotonic_time now, double jitter);

    reach_settings m_settings;
    base::random_source& m_random;
    std::map<base::router_name, absence> m_routers;
    absence m_owner;
    std::uint64_t m_revision = 0;
};

}  // namespace ferryroad::coordination::reading
