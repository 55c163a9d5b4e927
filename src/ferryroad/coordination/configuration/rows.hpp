/// @file
/// The change log as rows of a transactional table, independent of their encoding: a head row, one
/// row for each recent change and one for each recent snapshot. The embedder writes the rows to its
/// own table.
#pragma once

#include "ferryroad/coordination/configuration/types.hpp"

#include <optional>
#include <vector>

namespace ferryroad::coordination::configuration {

/// An operation that took effect recently.
struct recorded_operation {
    operation_id operation;
    base::revision revision;

    friend bool operator==(const recorded_operation&, const recorded_operation&) = default;
};

/// Content of the head row.
struct head_row {
    base::revision revision;
    base::revision snapshot;  ///< Newest revision with a snapshot row; 0 if there is none.
    std::vector<recorded_operation> recent;  ///< Oldest first.

    friend bool operator==(const head_row&, const head_row&) = default;
};

/// Version of the head row in the table; 0 while the row is absent.
using head_version = base::strong_id<struct head_version_tag, std::uint64_t>;

/// The head row as read from the table.
struct versioned_head {
    head_version version;
    head_row head;
};

/// Written atomically if the head row still has the version `expected`; otherwise nothing is
/// written.
struct commit_transaction {
    head_version expected;
    head_row head;
    change added;
    std::optional<snapshot> added_snapshot;
    std::optional<base::revision> expired_change;    ///< Change row to delete.
    std::optional<base::revision> expired_snapshot;  ///< Snapshot row to delete.
};

/// Rows that bring a replica up to the head: the snapshot first, if there is one, then the changes
/// `first_change` to `last_change` (no changes if `first_change` is above `last_change`).
struct read_plan {
    std::optional<base::revision> snapshot;
    base::revision first_change;
    base::revision last_change;
};

/// @param own revision of the replica.
/// @return the rows to read, or nothing if the replica is at the head.
std::optional<read_plan> plan_read(base::revision own, const head_row& head,
                                   const log_limits& limits);

}  // namespace ferryroad::coordination::configuration
