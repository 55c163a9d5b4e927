/// @file
/// What the claim state machines ask of the table, and what the table answers. All of it is
/// about one row, the claim's.
#pragma once

#include "ferryroad/base/strong_id.hpp"
#include "ferryroad/base/time.hpp"
#include "ferryroad/coordination/claim/record.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace ferryroad::coordination::claim {

/// Version of the row; 0 while the row is absent.
using row_version = base::strong_id<struct claim_row_version_tag, std::uint64_t>;

struct stored_row {
    row_version version;
    std::string value;  ///< Empty where absent.
};

// Actions.

/// Write the row where it is at `expected`; without a value, delete it.
struct write_row {
    row_version expected;
    std::optional<std::string> value;
    base::duration delay{};  ///< To wait before.
};

struct read_row {
    base::duration delay{};  ///< To wait before.
};

enum class claim_outcome {
    granted,        ///< This attempt, and no other, may run.
    finished,       ///< Ran before; its outcome is kept.
    unknown,        ///< May have run before; will not run again.
    in_progress,    ///< Another attempt is at it.
    other_content,  ///< The key belongs to another content.
    unavailable     ///< The table can't say: nothing may run.
};

/// The machine's end.
struct ended {
    claim_outcome result{};
    row_version version;  ///< Of the row, where granted.
    std::optional<outcome> kept_outcome;
    std::optional<base::duration> retry_after;
    /// Where unavailable: a write of ours may have taken effect, or may yet. Close the claim.
    bool maybe_recorded = false;
};

using action = std::variant<write_row, read_row, ended>;

// Events.

struct write_committed {
    row_version version;
};

/// The row is not at the expected version but as given.
struct write_conflicted {
    stored_row row;
};

/// No answer: the write may have taken effect, or may yet.
struct write_lost {};

/// The table did nothing.
struct write_refused {
    std::optional<base::duration> retry_after;
};

struct row_read {
    stored_row row;
};

struct read_failed {
    std::optional<base::duration> retry_after;
};

using event = std::variant<write_committed, write_conflicted, write_lost, write_refused, row_read,
                           read_failed>;

}  // namespace ferryroad::coordination::claim
