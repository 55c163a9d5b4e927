/// @file
/// Selects the source from which a router takes its copy of one table: the owner of the table or
/// another router, by the router's place in the reading tree and by the observed state of the
/// sources.
///
/// A source that doesn't answer is excluded for a while (`source_reachability`), and another one
/// takes its place in the tree. A source whose copy is stale is excluded for a shorter time. While
/// this router's own copy is stale, it asks its parent in the tree, then the owner, and then other
/// routers. So a router that still gets answers from the owner is found soon, however few there
/// are, and is kept as the source for a while.
///
/// If the readers of the owner fail, the other routers must not all ask the owner at once, since
/// each of them would be sent the same data. Some high-ranking routers act as fallback readers as
/// soon as copies are about to become stale. The others ask these. Of the others, only about as
/// many ask the owner as there are fallback readers, plus any router that gets no answer from
/// anyone.
///
/// Each table has its own selector, because which copies are stale differs by table. If all tables
/// of a router shared one state, then in a fleet of 8 the answers for a table that was current made
/// routers keep sources that were up to 5.3 s behind on another table, although the owner would
/// have answered them.
#pragma once

#include "ferryroad/base/ids.hpp"
#include "ferryroad/base/random.hpp"
#include "ferryroad/base/time.hpp"
#include "ferryroad/coordination/reading/reading_tree.hpp"
#include "ferryroad/coordination/reading/source_reachability.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace ferryroad::coordination::reading {

/// Settings of `source_selector`.
struct selector_settings {
    tree_settings tree;
    /// A copy older than this is stale: too old to rely on a single source.
    base::duration max_copy_age = std::chrono::milliseconds(2000);
    /// How long a router whose copy was stale is excluded.
    base::duration old_copy_pause = std::chrono::milliseconds(1000);
    /// How long a temporary source is kept: one found while the parent in the tree was stale, or
    /// one chosen because a second unanswered call would make the copy stale.
    base::duration temporary_source_period = std::chrono::milliseconds(3000);
    /// Approximate time until a call to a router that doesn't answer is given up.
    base::duration call_timeout = std::chrono::milliseconds(900);
    /// Number of routers, by rank, that may act as fallback readers of the owner once copies are
    /// about to become stale: enough that one of them reaches the owner even if a third of all
    /// machines doesn't.
    std::size_t fallback_readers = 32;
    /// Once copies have been stale for this long, a fraction of the other routers asks the owner at
    /// a time, so that they are about as many as the fallback readers.
    base::duration others_read_owner_after = std::chrono::milliseconds(250);
    /// A router asks the owner regardless of its rank if this many routers in a row didn't answer
    /// and its copy has been stale for `isolated_after`, because it may be cut off from the other
    /// routers.
    int isolated_calls = 2;
    base::duration isolated_after = std::chrono::milliseconds(700);
};

/// Selects the source of one table's copy. Not thread-safe.
class source_selector {
  public:
    /// @param reach, random must outlive the selector.
    source_selector(tree_member self, selector_settings settings, source_reachability& reach,
                    base::random_source& random);

    /// Sets the list of routers that are present, with or without this one.
    void declare(const std::vector<tree_member>& members);
    /// Sets the age above which a copy is stale.
    void set_max_copy_age(base::duration max_copy_age) { m_settings.max_copy_age = max_copy_age; }

    /// @return the source to take a copy from now.
    source choose(base::monotonic_time now);
    /// @return whether this router's place among all routers makes it a reader of the owner.
    bool is_reader() const { return m_is_reader; }
    /// @return whether the last choice was the owner.
    bool reads_owner() const { return !m_chosen; }

    /// A source answered.
    /// @param as_of moment up to which its copy is complete.
    void answered(const source& from, base::monotonic_time as_of, base::monotonic_time now);
    /// A source answered that it has no copy.
    void has_no_copy(const source& from, base::monotonic_time now);
    /// A source didn't answer, or its answer was invalid.
    void failed(const source& from, base::monotonic_time now);

  private:
    enum class exclusion_rule { unreachable, unreachable_or_stale };

    /// Cached parent among the routers that are not excluded; valid until the set of excluded
    /// routers changes.
    struct known_parent {
        source parent;
        std::uint64_t reach_revision = 0;
        base::monotonic_time until{};
    };

    source tree_parent(exclusion_rule rule, base::monotonic_time now) const;
    /// @return when the next currently excluded router becomes available again.
    base::monotonic_time next_change(exclusion_rule rule, base::monotonic_time now) const;
    std::vector<tree_member> usable(exclusion_rule rule, base::monotonic_time now) const;
    bool is_usable(const source& from, exclusion_rule rule, base::monotonic_time now) const;
    bool is_current(base::monotonic_time now) const {
        return m_as_of && now - *m_as_of <= m_settings.max_copy_age;
    }
    source choose_while_current(base::monotonic_time now) const;
    source choose_while_stale(base::monotonic_time now);
    /// Uses `other` for a while, regardless of the tree.
    void switch_to(const source& other, base::monotonic_time now);
    void exclude_stale(const source& from, base::monotonic_time now);
    source nearest_reader(const std::vector<tree_member>& others) const;
    source random_choice(const std::vector<tree_member>& others);
    /// @return one of the usable routers that may read the owner now, or any usable router if none
    /// may.
    source any_fallback_reader(std::vector<tree_member> others, base::monotonic_time now);
    /// @return the number of routers, by rank, that may read the owner now.
    std::size_t owner_readers(base::monotonic_time now) const;
    bool may_read_owner(base::monotonic_time now);
    base::duration age(base::monotonic_time now) const { return now - *m_as_of; }
    base::duration jittered(base::duration pause);

    tree_member m_self;
    selector_settings m_settings;
    source_reachability& m_reach;
    base::random_source& m_random;
    std::vector<tree_member> m_others;  ///< Ordered by rank, highest first.
    std::size_t m_rank_position = 0;    ///< Number of routers with higher ranks.
    bool m_is_reader = true;  ///< Whether this router reads the owner if all routers take part.
    mutable std::map<exclusion_rule, known_parent> m_parents;
    int m_unanswered_calls = 0;  ///< Consecutive calls to other routers without an answer.
    /// Routers whose copies were stale, and when their exclusion ends.
    std::map<base::router_name, base::monotonic_time> m_stale_until;
    source m_chosen;
    /// Moment up to which this router's copy is complete.
    std::optional<base::monotonic_time> m_as_of;
    std::optional<source> m_temporary_source;
    base::monotonic_time m_temporary_until{};
};

}  // namespace ferryroad::coordination::reading
