/// @file
/// The configuration's log in the platform's table: a head row, one row per change, and snapshots.
#pragma once

#include "ferryroad/coordination/configuration/replica.hpp"
#include "ferryroad/coordination/configuration/rows.hpp"
#include "ferryroad/platform/services.hpp"
#include "ferryroad/runtime/task.hpp"

#include <variant>

namespace ferryroad::router {

/// The transaction took effect.
struct written {};
/// Another transaction was committed first; nothing was written.
struct write_conflict {
    /// The head that the other transaction wrote.
    coordination::configuration::versioned_head head;
};
using write_outcome = std::variant<written, write_conflict>;

/// Not thread-safe: used from the event loop's thread only. The table must outlive it. Each member
/// function makes one table call.
class table_journal {
  public:
    explicit table_journal(platform::table& table) : table_(table) {}

    /// @return an empty head of version 0 if there is no configuration yet.
    runtime::task<platform::result<coordination::configuration::versioned_head>> read_head();

    /// Reads the rows that `plan` names. @return `not_found` if a row was deleted after the head
    /// was read; the caller must read the head again.
    runtime::task<platform::result<coordination::configuration::pull_answer>> read(
        coordination::configuration::read_plan plan);

    /// Writes a change in one transaction. After `answer_lost` its outcome is unknown.
    runtime::task<platform::result<write_outcome>> write(
        coordination::configuration::commit_transaction transaction);

  private:
    platform::table& table_;
};

}  // namespace ferryroad::router
