/// @file
/// What a lease holder asks of the table, and what the table answers. All of it is about one
/// row, the lease's.
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

struct stored_row {
    row_version version;
    std::string value;  ///< Empty where absent.
};

// Actions.

struct read_row {};
/// Write the row where it is at `expected`.
struct write_row {
    row_version expected;
    std::string value;
};
/// Ask again for the next action then, or when something was changed from outside.
struct wait_until {
    base::monotonic_time when;
};
using action = std::variant<read_row, write_row, wait_until>;

// Events: one answers each read or write.

struct row_read {
    stored_row row;
};
struct write_committed {
    row_version version;
};
struct write_conflicted {
    stored_row row;  ///< As it stands.
};
/// Sent, no answer: may have taken effect, or may yet.
struct write_lost {};
/// A read or write that changed nothing.
struct refused {
    std::optional<base::duration> retry_after;
};
using event = std::variant<row_read, write_committed, write_conflicted, write_lost, refused>;

}  // namespace ferryroad::coordination::lease
