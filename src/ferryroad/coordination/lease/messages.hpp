/// @file
/// Actions that a lease holder requests and events that answer them. All of them concern a single
/// row of the table: the row of the lease.
#pragma once

#include "ferryroad/base/strong_id.hpp"
#include "ferryroad/base/time.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace ferryroad::coordination::lease {

/// Version of the row; 0 while the row is absent.
using row_version = base::strong_id<struct lease_row_version_tag, std::uint64_t>;

/// The row as stored in the table.
struct stored_row {
    row_version version;
    std::string value;  ///< Empty if the row is absent.
};

// Actions.

/// Reads the row.
struct read_row {};
/// Writes the row if its version is still `expected`.
struct write_row {
    row_version expected;
    std::string value;
};
/// Ask for the next action again at `when`, or as soon as `lease_holder::want` or
/// `lease_holder::set_note` was called.
struct wait_until {
    base::monotonic_time when;
};
using action = std::variant<read_row, write_row, wait_until>;

// Events: each read or write is answered by one event.

/// The read succeeded.
struct row_read {
    stored_row row;
};
/// The write took effect.
struct write_committed {
    row_version version;
};
/// The row did not have the expected version; nothing was written.
struct write_conflicted {
    stored_row row;  ///< The current row.
};
/// No answer arrived; the write may have taken effect, or may still do so.
struct write_lost {};
/// The read or write was refused and changed nothing.
struct refused {
    std::optional<base::duration> retry_after;
};
using event = std::variant<row_read, write_committed, write_conflicted, write_lost, refused>;

}  // namespace ferryroad::coordination::lease
