/// @file
/// A model of the table that holds the rows of the change log as typed values.
#pragma once

#include "ferryroad/coordination/configuration/commit.hpp"
#include "ferryroad/coordination/configuration/replica.hpp"
#include "ferryroad/coordination/configuration/rows.hpp"

#include <map>
#include <optional>

namespace ferryroad::coordination::configuration::testing {

class model_table {
  public:
    versioned_head head() const { return head_; }

    /// @return false if another transaction was committed first.
    bool write(const commit_transaction& transaction) {
        if (transaction.expected != head_.version) {
            return false;
        }
        head_ = {head_version(head_.version.value + 1), transaction.head};
        changes_.emplace(transaction.added.revision, transaction.added);
        history_.push_back(transaction.added);
        if (transaction.added_snapshot) {
            snapshots_.emplace(transaction.added_snapshot->revision, *transaction.added_snapshot);
        }
        if (transaction.expired_change) {
            changes_.erase(*transaction.expired_change);
        }
        if (transaction.expired_snapshot) {
            snapshots_.erase(*transaction.expired_snapshot);
        }
        return true;
    }

    /// @return nothing if a row named by the plan no longer exists.
    std::optional<pull_answer> read(const read_plan& plan) const {
        pull_answer answer;
        answer.head = plan.last_change;
        if (plan.snapshot) {
            const auto found = snapshots_.find(*plan.snapshot);
            if (found == snapshots_.end()) {
                return std::nullopt;
            }
            answer.base = found->second;
        }
        for (auto next = plan.first_change.value; next <= plan.last_change.value; ++next) {
            const auto found = changes_.find(base::revision(next));
            if (found == changes_.end()) {
                return std::nullopt;
            }
            answer.changes.push_back(found->second);
        }
        return answer;
    }

    /// Every change that ever took effect, including those whose rows have expired.
    const std::vector<change>& history() const { return history_; }
    std::size_t rows() const { return changes_.size() + snapshots_.size(); }

    /// @return the state that results from the history up to `revision`.
    resources state_at(base::revision revision) const {
        resources content;
        for (const change& past : history_) {
            if (past.revision <= revision) {
                apply_changes(content, past.resources);
            }
        }
        return content;
    }

  private:
    versioned_head head_;
    std::map<base::revision, change> changes_;
    std::map<base::revision, snapshot> snapshots_;
    std::vector<change> history_;
};

/// Commits `resources` as one change, without simulated faults.
inline void commit_plainly(model_table& table, std::vector<resource_change> resources,
                           const log_limits& limits) {
    const base::revision head = table.head().head.revision;
    commit_process process(
        {operation_id("plain-" + std::to_string(head.value)), {}, {}},
        [&](const auto&) { return resources; }, limits);
    const snapshot own{head, table.state_at(head)};
    commit_step step = process.on_head(table.head(), own);
    if (const auto* wanted = std::get_if<submit>(&step)) {
        table.write(wanted->transaction);
    }
}

}  // namespace ferryroad::coordination::configuration::testing
