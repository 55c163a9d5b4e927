/// @file
/// Operators' commands on the configuration, independent of the protocol that carries them.
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

/// What a desired state would change.
struct change_plan {
    base::revision revision;  ///< The revision that the differences are relative to.
    std::vector<catalog::difference> differences;
};

/// Replaces the whole configuration by a desired state.
struct apply_command {
    catalog::catalog desired;
    /// The command fails with `revision_conflict` if the newest revision is another one. Without a
    /// value it replaces whatever revision is the newest.
    std::optional<base::revision> expected;
    operation_id operation;  ///< A repeated command with the same id takes effect only once.
    author_name author;
    /// Time until the caller stops waiting. The result is returned before that.
    std::optional<base::duration> time_left;
};

/// Stops new work from being sent to an engine, or undoes that.
struct drain_command {
    base::pool_name pool;
    base::engine_name engine;
    bool undo = false;
    operation_id operation;
    author_name author;
    std::optional<base::duration> time_left;  ///< As in `apply_command`.
};

/// Result of a change that took effect.
struct change_outcome {
    base::revision revision;  ///< The revision that holds the change.
    std::vector<catalog::difference> differences;
    bool repeated = false;  ///< An earlier command with the same operation id took effect.
};

/// An operator's confirmation that the revision held here is the newest one.
struct confirm_command {
    base::revision revision;
    author_name author;
};

struct confirm_outcome {
    base::revision revision;
    /// The table could be read, so the operator's confirmation was not needed.
    bool by_table = false;
};

/// A revision that has come into force at this router.
struct revision_event {
    base::revision revision;
    operation_id operation;  ///< Empty if the step combines several changes.
    author_name author;
    std::vector<catalog::difference> differences;
    /// The steps before this one are no longer kept, so the differences don't cover everything
    /// since the revision that the watcher started from.
    bool compacted = false;
};

/// Called on the event loop's thread for each new revision.
using revision_watcher = std::function<void(const revision_event&)>;

/// Ends the watch when destroyed, on the event loop's thread.
class watch_subscription {
  public:
    virtual ~watch_subscription() = default;
};

/// Interface of the configuration service for operators. Not thread-safe: used from the event
/// loop's thread only.
class configuration_control {
  public:
    virtual ~configuration_control() = default;
    /// @return what `desired` would change relative to the revision held here; `invalid` if the
    /// state has errors. Writes nothing.
    virtual configuration_result<change_plan> plan(const catalog::catalog& desired) const = 0;
    /// Commits a desired state as a new revision, unless it changes nothing.
    virtual runtime::task<configuration_result<change_outcome>> apply(apply_command command) = 0;
    /// Commits a change of a pool's drained engines. `not_found` if the pool doesn't exist.
    virtual runtime::task<configuration_result<change_outcome>> drain(drain_command command) = 0;
    /// Confirms the held revision on the operator's responsibility if the table can't be reached.
    /// `revision_conflict` if another revision is held or a newer one is known.
    virtual runtime::task<configuration_result<confirm_outcome>> confirm(
        confirm_command command) = 0;
    /// Calls `watcher` with each revision after `after` in order, beginning with those already in
    /// force.
    virtual std::unique_ptr<watch_subscription> watch(base::revision after,
                                                      revision_watcher watcher) = 0;
};

}  // namespace ferryroad::router
