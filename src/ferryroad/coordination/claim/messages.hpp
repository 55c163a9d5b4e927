/// @file
/// Actions that the claim state machines request and events that answer them. All of them concern a
/// single row of the table: the row of the claim.
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

/// The row as stored in the table.
struct stored_row {
    row_version version;
    std::string value;  ///< Empty if the row is absent.
};

// Actions.

/// Writes the row if its version is still `expected`. Deletes the row if there is no value.
struct write_row {
    row_version expected;
    std::optional<std::string> value;
    base::duration delay{};  ///< Time to wait before the write.
};

/// Reads the row.
struct read_row {
    base::duration delay{};  ///< Time to wait before the read.
};

/// Result of claiming a key or of closing a claim.
enum class claim_outcome {
    granted,        ///< This attempt, and no other, may run.
    finished,       ///< An earlier attempt ran; its outcome is stored.
    unknown,        ///< An earlier attempt may have run; none will run again.
    in_progress,    ///< Another attempt holds the claim.
    other_content,  ///< The key was used for a request with different content.
    unavailable     ///< The table did not give an answer; nothing may run.
};

/// Last action of a state machine.
struct ended {
    claim_outcome result{};
    row_version version;  ///< Row version, if granted.
    std::optional<outcome> kept_outcome;
    std::optional<base::duration> retry_after;
    /// If unavailable: a write of this attempt may have taken effect, or may still do so. The
    /// embedder must close the claim.
    bool maybe_recorded = false;
};

using action = std::variant<write_row, read_row, ended>;

// Events.

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

/// The table refused the write; nothing was written.
struct write_refused {
    std::optional<base::duration> retry_after;
};

/// The read succeeded.
struct row_read {
    stored_row row;
};

/// The read gave no row.
struct read_failed {
    std::optional<base::duration> retry_after;
};

using event = std::variant<write_committed, write_conflicted, write_lost, write_refused, row_read,
                           read_failed>;

}  // namespace ferryroad::coordination::claim
