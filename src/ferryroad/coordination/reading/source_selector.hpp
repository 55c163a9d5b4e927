/// @file
/// From whom a router takes its copy of one table now: from the table's owner, or from another
/// router, by its place in the reading tree and by what it has found out about sources.
///
/// A source that doesn't answer is left out for a while (`source_reach`), and another one takes its
/// place in the tree; one whose copy is old is left out for a moment. While this router's own copy
/// is old, it asks its place in the tree, the owner, and then other routers: one that the owner
/// still answers is found soon, however few there are, and kept to for a while.
///
/// The owner must not be asked by all routers at once where its readers fail, as each of them would
/// be told all that the others are. Some that stand high in the ranks stand in for them as soon as
/// copies are about to be old. The others ask these; of them only such a share asks the owner that
/// they are no more together, and whoever hears from nobody.
///
/// Each table has its own selector. Whose copies are old differs by table: where one memory served
/// them all, answers on a table that was current made routers keep to sources that were up to 5.3 s
/// behind on another, while the owner would have answered them (logs of a fleet of 8).
#pragma once

#include "ferryroad/base/ids.hpp"
#include "ferryroad/base/random.hpp"
#include "ferryroad/base/time.hpp"
#include "ferryroad/coordination/reading/reading_tree.hpp"
#include "ferryroad/coordination/reading/source_reach.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace ferryroad::coordination::reading {

struct selector_settings {
    tree_settings tree;
    /// A copy that is older than this is too old to rely on one source for it.
    base::duration oldest_copy = std::chrono::milliseconds(2000);
    /// A router whose copy was too old is left out for so long.
    base::duration old_copy_pause = std::chrono::milliseconds(1000);
    /// A source that was found while the tree's was old is kept to for so long, and so is one that
    /// was turned to as a second silent router would make the copy too old.
    base::duration detour = std::chrono::milliseconds(3000);
    /// Until a router that doesn't answer is found out, about.
    base::duration silent_call = std::chrono::milliseconds(900);
    /// Routers by rank that may stand in for the owner's readers once copies are about to be old:
    /// one of them reaches the owner, whatever third of all machines doesn't.
    std::size_t stand_ins = 32;
    /// Once copies have been old for so long, such a share of the others asks the owner at a time
    /// that they are about as many.
    base::duration others_after = std::chrono::milliseconds(250);
    /// Whoever was not answered by so many routers in a row, and whose copy has been old for
    /// `isolated_after`, asks the owner whatever its rank: it may be cut off from the others.
    int isolated_calls = 2;
    base::duration isolated_after = std::chrono::milliseconds(700);
};

/// Not thread-safe.
class source_selector {
  public:
    /// @param random and `reach` outlive the selector.
    source_selector(tree_member self, selector_settings settings, source_reach& reach,
                    base::random_source& random);

    /// Takes the whole list of routers that are present, this one among them or not.
    void declare(const std::vector<tree_member>& members);
    /// Copies that are older than this count as old from now on.
    void change_oldest(base::duration oldest_copy) { m_settings.oldest_copy = oldest_copy; }

    /// @return from whom to take a copy now.
    source choose(base::monotonic_time now);
    /// @return whether this router reads the owner by its place among all.
    bool is_reader() const { return m_is_reader; }
    /// @return whether the owner was chosen last.
    bool reads_owner() const { return !m_chosen; }

    /// A source answered, with a copy that is complete as of a moment.
    void answered(const source& from, base::monotonic_time as_of, base::monotonic_time now);
    /// A source has no copy yet, or no longer.
    void has_no_copy(const source& from, base::monotonic_time now);
    /// A source didn't answer, or answered with what makes no sense.
    void failed(const source& from, base::monotonic_time now);

  private:
    enum class leave_out { absent, absent_or_old };

    /// The parent among the routers that are not left out, for as long as these stay the same.
    struct known_parent {
        source parent;
        std::uint64_t reach_revision = 0;
        base::monotonic_time until{};
    };

    source tree_parent(leave_out rule, base::monotonic_time now) const;
    /// @return when the next router that is left out now counts again.
    base::monotonic_time next_change(leave_out rule, base::monotonic_time now) const;
    std::vector<tree_member> usable(leave_out rule, base::monotonic_time now) const;
    bool is_usable(const source& from, leave_out rule, base::monotonic_time now) const;
    bool is_current(base::monotonic_time now) const {
        return m_as_of && now - *m_as_of <= m_settings.oldest_copy;
    }
    source choose_while_current(base::monotonic_time now) const;
    source choose_while_old(base::monotonic_time now);
    /// Keeps to a source for a while, whatever the tree says.
    void turn_to(const source& other, base::monotonic_time now);
    void leave_old(const source& from, base::monotonic_time now);
    source nearest_reader(const std::vector<tree_member>& others) const;
    source any_of(const std::vector<tree_member>& others);
    /// @return one of the usable routers that may read the owner now; any, where there is none.
    source any_stand_in(std::vector<tree_member> others, base::monotonic_time now);
    /// @return how many routers, by rank, may read the owner now.
    std::size_t owner_readers(base::monotonic_time now) const;
    bool may_read_owner(base::monotonic_time now);
    base::duration age(base::monotonic_time now) const { return now - *m_as_of; }
    base::duration jittered(base::duration pause);

    tree_member m_self;
    selector_settings m_settings;
    source_reach& m_reach;
    base::random_source& m_random;
    std::vector<tree_member> m_others;  ///< In the order of their ranks.
    std::size_t m_place = 0;            ///< Routers with higher ranks.
    bool m_is_reader = true;            ///< Of the owner, if all took part.
    mutable std::map<leave_out, known_parent> m_parents;
    int m_silent_calls = 0;  ///< In a row, of other routers.
    /// Routers whose copies were too old, and until when they are left out.
    std::map<base::router_name, base::monotonic_time> m_old_until;
    source m_chosen;
    std::optional<base::monotonic_time> m_as_of;  ///< Of this router's copy.
    std::optional<source> m_detour;
    base::monotonic_time m_detour_until{};
};

}  // namespace ferryroad::coordination::reading
