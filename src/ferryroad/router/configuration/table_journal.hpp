/// @file
/// The configuration's log in the platform's table.
#pragma once

#include "ferryroad/coordination/configuration/replica.hpp"
#include "ferryroad/coordination/configuration/rows.hpp"
#include "ferryroad/platform/services.hpp"
#include "ferryroad/runtime/task.hpp"

#include <variant>

namespace ferryroad::router {

/// The transaction took effect.
struct written {};
/// Another one came first; nothing was written.
struct overtaken {
    coordination::configuration::versioned_head head;
};
using write_outcome = std::variant<written, overtaken>;

/// Used from the event loop's thread; borrows the table. Each member costs one table call.
class table_journal {
  public:
    explicit table_journal(platform::table& table) : table_(table) {}

    runtime::task<platform::result<coordination::configuration::versioned_head>> read_head();

    /// @return `not_found` where a row was deleted since the head was read: read it again.
    runtime::task<platform::result<coordination::configuration::pull_answer>> read(
        coordination::configuration::read_plan plan);

    runtime::task<platform::result<write_outcome>> write(
        coordination::configuration::commit_transaction transaction);

  private:
    platform::table& table_;
};

}  // namespace ferryroad::router
