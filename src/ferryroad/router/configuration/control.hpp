/// @file
/// What operators do with the configuration, apart from any protocol.
#pragma once

#include "ferryroad/base/time.hpp"
#include "ferryroad/catalog/difference.hpp"
#include "ferryroad/catalog/types.hpp"
#include "ferryroad/coordination/configuration/types.hpp"
#include "ferryroad/router/configuration/errors.hpp"
#include "ferryroad/runtime/task.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace ferryroad::router {

using coordination::configuration::author_name;
using coordination::configuration::operation_id;

template <typename T>
using configuration_result = runtime::result<T, configuration_error>;

struct change_plan {
    base::revision revision;  ///< That the differences are against.
    std::vector<catalog::difference> differences;
};

struct apply_command {
    catalog::catalog desired;
    /// Another head than this is a conflict; without it the last one wins.
    std::optional<base::revision> expected;
    operation_id operation;
    author_name author;
    /// Until whoever asks stops waiting: the answer comes before that.
    std::optional<base::duration> time_left;
};

/// Gives an engine no new work, or takes that back.
struct drain_command {
    base::pool_name pool;
    base::engine_name engine;
    bool undo = false;
    operation_id operation;
    author_name author;
    std::optional<base::duration> time_left;  ///< As in `apply_command`.
};

struct change_outcome {
    base::revision revision;  ///< At which the wanted state was in force.
    std::vector<catalog::difference> differences;
    bool repeated = false;  ///< The same operation took effect before.
};

/// An operator's word that the held revision is the newest.
struct confirm_command {
    base::revision revision;
    author_name author;
};

struct confirm_outcome {
    base::revision revision;
    bool by_table = false;  ///< The table answered: the operator's word was not needed.
};

/// A revision that came into force here.
struct revision_event {
    base::revision revision;
    operation_id operation;  ///< Empty where several changes came at once.
    author_name author;
    std::vector<catalog::difference> differences;
    /// Steps before this one are no longer kept: the differences aren't the whole way from
    /// the revision that the watcher named.
    bool compacted = false;
};

/// Called on the event loop's thread.
using revision_watcher = std::function<void(const revision_event&)>;

/// Ends the watch when destroyed, on the event loop's thread.
class watch_subscription {
  public:
    virtual ~watch_subscription() = default;
};

/// Used from the event loop's thread.
class configuration_control {
  public:
    virtual ~configuration_control() = default;
    /// @return what `desired` would change, as known here; nothing is written.
    virtual configuration_result<change_plan> plan(const catalog::catalog& desired) const = 0;
    virtual runtime::task<configuration_result<change_outcome>> apply(apply_command command) = 0;
    virtual runtime::task<configuration_result<change_outcome>> drain(drain_command command) = 0;
    /// Takes an operator's word where the table can't be reached. `revision_conflict` where
    /// another revision is held.
    virtual runtime::task<configuration_result<confirm_outcome>> confirm(
        confirm_command command) = 0;
    /// Calls `watcher` with each revision after `after`, past ones first, in order.
    virtual std::unique_ptr<watch_subscription> watch(base::revision after,
                                                      revision_watcher watcher) = 0;
};

}  // namespace ferryroad::router
