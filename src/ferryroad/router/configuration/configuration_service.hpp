/// @file
/// The configuration of one router: loads it from peers, the platform's table or the object store,
/// keeps it up to date, and commits the changes that operators make.
///
/// The members are defined in three files: configuration_service.cpp, synchronization.cpp (loading
/// and following) and change.cpp (operators' changes).
#pragma once

#include "ferryroad/coordination/configuration/commit.hpp"
#include "ferryroad/coordination/configuration/confirmation_clock.hpp"
#include "ferryroad/coordination/configuration/replica.hpp"
#include "ferryroad/platform/services.hpp"
#include "ferryroad/router/configuration/control.hpp"
#include "ferryroad/router/configuration/peer_link.hpp"
#include "ferryroad/router/configuration/table_journal.hpp"
#include "ferryroad/router/configuration/tunables.hpp"
#include "ferryroad/router/configuration/watchers.hpp"
#include "ferryroad/router/configuration_view.hpp"
#include "ferryroad/runtime/scheduler.hpp"

#include <memory>
#include <optional>
#include <vector>

namespace ferryroad::router {

/// Dependencies of the service; all of them must outlive it.
struct configuration_ports {
    platform::table& table;
    platform::object_store& objects;
    peer_link& peers;
    runtime::scheduler& scheduler;
};

/// Not thread-safe: used from the event loop's thread only. Must exist until the event loop has
/// ended.
class configuration_service final : public configuration_view, public configuration_control {
  public:
    explicit configuration_service(configuration_ports ports, configuration_tunables tunables = {});

    /// Starts the coroutines that load and follow the configuration.
    void start();
    /// Ends the coroutines the next time that each of them resumes.
    void stop() { stopped_ = true; }

    // configuration_view
    std::shared_ptr<const catalog::catalog> current() const override { return current_; }
    bool confirmed() const override;

    // configuration_control
    configuration_result<change_plan> plan(const catalog::catalog& desired) const override;
    runtime::task<configuration_result<change_outcome>> apply(apply_command command) override;
    runtime::task<configuration_result<change_outcome>> drain(drain_command command) override;
    runtime::task<configuration_result<confirm_outcome>> confirm(confirm_command command) override;
    std::unique_ptr<watch_subscription> watch(base::revision after,
                                              revision_watcher watcher) override;

    // Messages from the other routers.
    /// Gossip says that some router holds `revision`; pulls it if it is newer than the one held
    /// here.
    void observe_revision(base::revision revision);
    /// @return the changes after `from`, or a snapshot.
    coordination::configuration::pull_answer answer_pull(base::revision from) const;
    /// Takes a change that another router has committed.
    void accept_push(coordination::configuration::change added);

  private:
    /// Pulls from a random peer, periodically.
    runtime::task<void> follow_peers();
    /// Reads the table: often while no peer confirms the held revision, else rarely.
    runtime::task<void> follow_table();
    /// Loads the snapshot from the object store if there is no configuration soon after the start.
    runtime::task<void> load_object();
    /// Pulls a revision that is known to exist but not held yet: from peers, then from the table.
    runtime::task<void> catch_up();
    /// Writes snapshots to the object store until it has the newest revision.
    runtime::task<void> write_objects();
    /// @return whether the peer answered and had confirmed its revision.
    runtime::task<bool> pull_from_peer();
    runtime::task<platform::result<void>> pull_from_table();

    /// Commits a change, with retries until the deadline.
    runtime::task<configuration_result<change_outcome>> change(
        coordination::configuration::commit_request request,
        coordination::configuration::change_function make_change,
        std::optional<base::duration> time_left);
    /// @return when `change` must have answered. @param time_left until the caller stops waiting.
    base::monotonic_time commit_deadline(std::optional<base::duration> time_left) const;
    runtime::task<configuration_result<change_outcome>> finish_repeated(base::revision revision);
    change_outcome finish_committed(const coordination::configuration::change& added);
    runtime::task<platform::result<coordination::configuration::commit_step>> perform_step(
        coordination::configuration::commit_process& process,
        coordination::configuration::commit_step step);
    runtime::task<platform::result<coordination::configuration::commit_step>> perform_submit(
        coordination::configuration::commit_process& process,
        coordination::configuration::commit_transaction transaction);

    /// Puts new revisions in force and notifies the watchers.
    void apply_steps(const std::vector<coordination::configuration::applied_change>& steps);
    /// @return the differences that `revision` made; empty if its step is no longer kept.
    std::vector<catalog::difference> differences_at(base::revision revision) const;
    /// Notes that `head` was the newest revision at `requested_at` or later.
    void record_head(base::revision head, base::monotonic_time requested_at);
    void pull_if_behind();
    base::duration jittered(base::duration period);

    configuration_ports ports_;
    configuration_tunables tunables_;
    table_journal journal_;
    coordination::configuration::replica replica_;
    coordination::configuration::confirmation_clock confirmation_;
    std::shared_ptr<const catalog::catalog> current_;
    revision_watchers watchers_;
    bool stopped_ = false;
    bool catching_up_ = false;
    bool writing_objects_ = false;
    bool peer_confirmed_last_ = false;
};

}  // namespace ferryroad::router
