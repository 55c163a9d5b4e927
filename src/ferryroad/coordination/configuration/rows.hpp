/// @file
/// The log as rows of a transactional table, apart from any encoding: a head row, a row for
/// each recent change and one for each recent snapshot. Whoever embeds this writes them to
/// its own table.
#pragma once

#include "ferryroad/coordination/configuration/types.hpp"

#include <optional>
#include <vector>

namespace ferryroad::coordination::configuration {

/// An operation that took effect lately.
struct recorded_operation {
    operation_id operation;
    base::revision revision;

    friend bool operator==(const recorded_operation&, const recorded_operation&) = default;
};

struct head_row {
    base::revision revision;
    base::revision snapshot;                 ///< Newest revision with a snapshot row; 0 where none.
    std::vector<recorded_operation> recent;  ///< Oldest first.

    friend bool operator==(const head_row&, const head_row&) = default;
};

/// The table's own version of the head row; 0 while the row is absent.
using head_version = base::strong_id<struct head_version_tag, std::uint64_t>;

struct versioned_head {
    head_version version;
    head_row head;
};

/// Written whole if the head row is still at `expected`, else not at all.
struct commit_transaction {
    head_version expected;
    head_row head;
    change added;
    std::optional<snapshot> added_snapshot;
    std::optional<base::revision> expired_change;
    std::optional<base::revision> expired_snapshot;
};

/// Which rows bring a replica up to the head: the snapshot first where there is one, then the
/// changes `first_change` to `last_change` (none where first is above last).
struct read_plan {
    std::optional<base::revision> snapshot;
    base::revision first_change;
    base::revision last_change;
};

/// @param own revision of the replica. @return nothing where it is at the head.
std::optional<read_plan> plan_read(base::revision own, const head_row& head,
                                   const log_limits& limits);

}  // namespace ferryroad::coordination::configuration
