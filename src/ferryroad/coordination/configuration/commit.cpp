#include "ferryroad/coordination/configuration/commit.hpp"

#include <algorithm>
#include <utility>

namespace ferryroad::coordination::configuration {

namespace {

std::optional<base::revision> find_operation(const head_row& head, const operation_id& operation) {
    const auto found =
        std::find_if(head.recent.begin(), head.recent.end(),
                     [&](const recorded_operation& entry) { return entry.operation == operation; });
    if (found == head.recent.end()) {
        return std::nullopt;
    }
    return found->revision;
}

/// Drops the changes that `content` already contains.
std::vector<resource_change> effective(const resources& content,
                                       std::vector<resource_change> changes) {
    std::erase_if(changes, [&](const resource_change& wanted) {
        const auto found = content.find(wanted.key);
        return found == content.end() ? !wanted.value.has_value() : wanted.value == found->second;
    });
    return changes;
}

/// @return the revision `age` before `current`, or nothing if there is none.
std::optional<base::revision> expired(base::revision current, std::uint64_t age) {
    if (current.value <= age) {
        return std::nullopt;
    }
    return base::revision(current.value - age);
}

}  // namespace

void apply_changes(resources& content, const std::vector<resource_change>& added) {
    for (const resource_change& resource : added) {
        if (resource.value) {
            content.insert_or_assign(resource.key, *resource.value);
        } else {
            content.erase(resource.key);
        }
    }
}

commit_process::commit_process(commit_request request, change_function make_change,
                               log_limits limits)
    : request_(std::move(request)), make_change_(std::move(make_change)), limits_(limits) {}

commit_step commit_process::on_head(const versioned_head& head, const snapshot& own) {
    head_ = head;
    return decide(own);
}

commit_step commit_process::on_caught_up(const snapshot& own) {
    return decide(own);
}

commit_step commit_process::on_conflict(const versioned_head& head, const snapshot& own) {
    return on_head(head, own);
}

commit_step commit_process::on_committed() {
    return committed{std::move(submitted_)};
}

commit_step commit_process::decide(const snapshot& own) {
    if (const auto revision = find_operation(head_.head, request_.operation)) {
        return already_committed{*revision};
    }
    if (request_.expected && *request_.expected != head_.head.revision) {
        return revision_conflict{head_.head.revision};
    }
    if (own.revision < head_.head.revision) {
        return catch_up{head_.head.revision};
    }
    if (own.revision > head_.head.revision) {
        return read_head{};  // The head row that was read is outdated.
    }
    std::vector<resource_change> changes = effective(own.content, make_change_(own.content));
    if (changes.empty()) {
        return unchanged{own.revision};
    }
    commit_transaction transaction = make_transaction(own, std::move(changes));
    submitted_ = transaction.added;
    return submit{std::move(transaction)};
}

commit_transaction commit_process::make_transaction(const snapshot& own,
                                                    std::vector<resource_change> changes) const {
    commit_transaction transaction;
    transaction.expected = head_.version;
    transaction.head = head_.head;
    transaction.head.revision = base::revision(head_.head.revision.value + 1);
    transaction.added = {transaction.head.revision, request_.operation, request_.author,
                         std::move(changes)};
    std::vector<recorded_operation>& recent = transaction.head.recent;
    recent.push_back({request_.operation, transaction.head.revision});
    if (recent.size() > limits_.remembered_operations) {
        recent.erase(recent.begin(),
                     recent.end() - static_cast<std::ptrdiff_t>(limits_.remembered_operations));
    }
    transaction.expired_change = expired(transaction.head.revision, limits_.retained_changes);
    if (transaction.head.revision.value % limits_.snapshot_interval == 0) {
        snapshot whole{transaction.head.revision, own.content};
        apply_changes(whole.content, transaction.added.resources);
        transaction.head.snapshot = whole.revision;
        transaction.added_snapshot = std::move(whole);
        transaction.expired_snapshot = expired(transaction.head.revision, limits_.retained_changes);
    }
    return transaction;
}

}  // namespace ferryroad::coordination::configuration
