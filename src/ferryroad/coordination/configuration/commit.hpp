/// @file
/// Commits configuration changes by compare-and-set on the head row. If several operators change
/// the same revision, exactly one of them wins. If an answer is lost, the operation id shows
/// whether the change took effect.
#pragma once

#include "ferryroad/coordination/configuration/rows.hpp"
#include "ferryroad/coordination/configuration/types.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <variant>
#include <vector>

namespace ferryroad::coordination::configuration {

/// An operator's request to change the configuration.
struct commit_request {
    operation_id operation;  ///< Must not be empty.
    author_name author;
    /// The revision that the change is based on; if the head has another revision, the commit ends
    /// with a conflict. If absent, the change is computed again for whatever revision the head has.
    std::optional<base::revision> expected;
};

// Steps that the embedder carries out.
/// Read the head row.
struct read_head {};
/// Bring the replica up to `head`, then call `on_caught_up`.
struct catch_up {
    base::revision head;
};
/// Submit the transaction to the table.
struct submit {
    commit_transaction transaction;
};

// Final steps.
/// `added` has just taken effect at its revision.
struct committed {
    change added;
};
/// The same operation had already taken effect.
struct already_committed {
    base::revision revision;
};
/// The configuration already has the requested content; no revision was made.
struct unchanged {
    base::revision revision;
};
/// The head is not at the expected revision; nothing was changed.
struct revision_conflict {
    base::revision head;
};

/// Next step of a commit.
using commit_step = std::variant<read_head, catch_up, submit, committed, already_committed,
                                 unchanged, revision_conflict>;

/// Computes the changes to make to a given state. Must be pure: it is called again after each lost
/// race.
using change_function = std::function<std::vector<resource_change>(const resources&)>;

/// State machine that commits one operation. Each event returns the next step; no events may follow
/// a final step. Not thread-safe.
class commit_process {
  public:
    commit_process(commit_request request, change_function make_change, log_limits limits);

    /// @return the first step.
    commit_step start() const { return read_head{}; }
    /// The head row was read, or a conflict showed it.
    /// @param own current content of the replica.
    commit_step on_head(const versioned_head& head, const snapshot& own);
    /// The replica has caught up.
    commit_step on_caught_up(const snapshot& own);
    /// The submitted transaction took effect.
    commit_step on_committed();
    /// Another transaction was committed first.
    commit_step on_conflict(const versioned_head& head, const snapshot& own);
    /// No answer arrived; the transaction may have taken effect, or may still do so.
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

/// Applies `added` to `content`.
void apply_changes(resources& content, const std::vector<resource_change>& added);

}  // namespace ferryroad::coordination::configuration
