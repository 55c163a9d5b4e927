/// @file
/// One process's copy of the configuration. Takes changes in order only, never goes back,
/// and answers its peers' pulls.
#pragma once

#include "ferryroad/coordination/configuration/types.hpp"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace ferryroad::coordination::configuration {

/// Answer to a pull: changes after the asked-for revision, or a snapshot and the changes
/// after that.
struct pull_answer {
    base::revision head;  ///< Revision of the replica that answers.
    std::optional<snapshot> base;
    std::vector<change> changes;
    /// The one that answers has lately confirmed that `head` is the newest.
    bool confirmed = false;
};

/// Each event returns the steps that it caused, in order.
class replica {
  public:
    explicit replica(log_limits limits = {});

    /// A change from whomever, in any order, any number of times.
    std::vector<applied_change> on_change(change received);
    /// A whole state; an older one than held is ignored.
    std::vector<applied_change> on_snapshot(snapshot received);
    std::vector<applied_change> on_pull_answer(pull_answer received);
    /// Somebody holds that revision.
    void on_revision_heard(base::revision revision);

    /// @param from revision of the replica that asks.
    pull_answer answer_pull(base::revision from, bool confirmed) const;

    base::revision revision() const { return held_.revision; }
    const snapshot& held() const { return held_; }
    /// Newest revision heard of, from anyone; at least the own one.
    base::revision heard() const { return heard_; }
    bool needs_pull() const { return heard_ > held_.revision; }

    /// @return the steps after `revision`, or nothing where they are no longer all kept.
    std::optional<std::vector<applied_change>> steps_after(base::revision revision) const;

  private:
    applied_change apply_next(change next);
    std::vector<applied_change> apply_early();

    log_limits limits_;
    snapshot held_;
    base::revision heard_;
    std::deque<change> changes_;        ///< Consecutive; the last one made the held revision.
    std::deque<applied_change> steps_;  ///< Consecutive steps of this replica.
    std::map<base::revision, change> early_;
};

}  // namespace ferryroad::coordination::configuration
