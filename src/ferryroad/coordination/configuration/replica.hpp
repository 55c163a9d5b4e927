/// @file
/// One process's replica of the configuration. It applies changes in order only, never goes back to
/// an older revision, and answers the pulls of its peers.
#pragma once

#include "ferryroad/coordination/configuration/types.hpp"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace ferryroad::coordination::configuration {

/// Answer to a pull: the changes after the requested revision, or a snapshot and the changes after
/// the snapshot.
struct pull_answer {
    base::revision head;  ///< Revision of the answering replica.
    std::optional<snapshot> base;
    std::vector<change> changes;
    /// The answering replica has recently confirmed that `head` is the newest revision.
    bool confirmed = false;
};

/// Each event returns the steps that it caused, in order. Not thread-safe.
class replica {
  public:
    explicit replica(log_limits limits = {});

    /// A change was received; changes may come from any peer, in any order and repeatedly.
    std::vector<applied_change> on_change(change received);
    /// A snapshot was received; one that is older than the held revision is ignored.
    std::vector<applied_change> on_snapshot(snapshot received);
    /// A peer answered a pull.
    std::vector<applied_change> on_pull_answer(pull_answer received);
    /// Some process holds `revision`.
    void on_revision_announced(base::revision revision);

    /// @param from revision of the requesting replica.
    /// @param confirmed whether this replica's revision was recently confirmed as the newest.
    pull_answer answer_pull(base::revision from, bool confirmed) const;

    base::revision revision() const { return held_.revision; }
    const snapshot& held() const { return held_; }
    /// @return the newest revision that any process is known to hold; at least the revision held
    /// here.
    base::revision newest_known() const { return newest_known_; }
    /// @return whether a newer revision than the held one is known.
    bool needs_pull() const { return newest_known_ > held_.revision; }

    /// @return the steps after `revision`, or nothing if some of them are no longer stored.
    std::optional<std::vector<applied_change>> steps_after(base::revision revision) const;

  private:
    applied_change apply_next(change next);
    std::vector<applied_change> apply_buffered();

    log_limits limits_;
    snapshot held_;
    base::revision newest_known_;
    std::deque<change> changes_;        ///< Consecutive; the last one produced the held revision.
    std::deque<applied_change> steps_;  ///< Consecutive steps of this replica.
    std::map<base::revision, change> buffered_;  ///< Received out of order.
};

}  // namespace ferryroad::coordination::configuration
