/// @file
/// Committing a change: compare-and-set on the head row, so that of several operators'
/// changes to one revision exactly one wins, and a lost answer is found out by operation id.
#pragma once

#include "ferryroad/coordination/configuration/rows.hpp"
#include "ferryroad/coordination/configuration/types.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <variant>
#include <vector>

namespace ferryroad::coordination::configuration {

struct commit_request {
    operation_id operation;  ///< Not empty.
    author_name author;
    /// The revision that the change was made against; another head is a conflict. Without
    /// it the change is worked out anew on whatever the head is.
    std::optional<base::revision> expected;
};

// What the embedder does next.
struct read_head {};
/// Bring the replica to `head`, then say so.
struct catch_up {
    base::revision head;
};
struct submit {
    commit_transaction transaction;
};

// Ends.
/// `added` took effect at its revision, now.
struct committed {
    change added;
};
/// The same operation took effect before.
struct already_committed {
    base::revision revision;
};
/// The configuration is as wanted; no revision was made.
struct unchanged {
    base::revision revision;
};
/// Nothing was changed.
struct revision_conflict {
    base::revision head;
};

using commit_step = std::variant<read_head, catch_up, submit, committed, already_committed,
                                 unchanged, revision_conflict>;

/// Works out the change on a state. Pure; called again after each lost race.
using change_function = std::function<std::vector<resource_change>(const resources&)>;

/// One operation on its way into the log. Each event gives the next step; after an end there
/// are no more events.
class commit_process {
  public:
    commit_process(commit_request request, change_function make_change, log_limits limits);

    commit_step start() const { return read_head{}; }
    /// The head row as read, or as a conflict showed it.
    /// @param own the replica as it stands.
    commit_step on_head(const versioned_head& head, const snapshot& own);
    /// The replica has caught up.
    commit_step on_caught_up(const snapshot& own);
    commit_step on_committed();
    /// Another transaction came first.
    commit_step on_conflict(const versioned_head& head, const snapshot& own);
    /// No answer came: the transaction may have taken effect, now or later.
    commit_step on_answer_lost() const { return read_head{}; }

  private:
    commit_step decide(const snapshot& own);
    commit_transaction make_transaction(const snapshot& own,
                                        std::vector<resource_change> changes) const;

    commit_request request_;
    change_function make_change_;
    log_limits limits_;
    versioned_head head_;
    change submitted_;
};

/// Puts `added` onto `content`.
void apply_changes(resources& content, const std::vector<resource_change>& added);

}  // namespace ferryroad::coordination::configuration
