/// @file
/// The configuration at this router: start-up from peers, table or object store, propagation,
/// and operators' changes.
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

/// What the service stands on; everything outlives it.
struct configuration_ports {
    platform::table& table;
    platform::object_store& objects;
    peer_link& peers;
    runtime::scheduler& scheduler;
};

/// Used from the event loop's thread. Lives until the event loop has ended.
class configuration_service final : public configuration_view, public configuration_control {
  public:
    explicit configuration_service(configuration_ports ports, configuration_tunables tunables = {});

    /// Starts the coroutines that load and follow the configuration.
    void start();
    /// They end when they next wake up.
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

    // From the other routers.
    /// Gossip: somebody holds `revision`.
    void observe_revision(base::revision revision);
    coordination::configuration::pull_answer answer_pull(base::revision from) const;
    void accept_push(coordination::configuration::change added);

  private:
    runtime::task<void> follow_peers();
    runtime::task<void> follow_table();
    runtime::task<void> load_object();
    runtime::task<void> catch_up();
    runtime::task<void> write_objects();
    runtime::task<bool> pull_from_peer();
    runtime::task<platform::result<void>> pull_from_table();

    runtime::task<configuration_result<change_outcome>> change(
        coordination::configuration::commit_request request,
        coordination::configuration::change_function make_change,
        std::optional<base::duration> time_left);
    base::monotonic_time give_up_time(std::optional<base::duration> time_left) const;
    runtime::task<configuration_result<change_outcome>> finish_repeated(base::revision revision);
    change_outcome finish_committed(const coordination::configuration::change& added);
    runtime::task<platform::result<coordination::configuration::commit_step>> take_step(
        coordination::configuration::commit_process& process,
        coordination::configuration::commit_step step);
    runtime::task<platform::result<coordination::configuration::commit_step>> take_submit(
        coordination::configuration::commit_process& process,
        coordination::configuration::commit_transaction transaction);

    void take(const std::vector<coordination::configuration::applied_change>& steps);
    /// @return what made that revision; empty where its step is no longer kept.
    std::vector<catalog::difference> differences_at(base::revision revision) const;
    void note_head(base::revision head, base::monotonic_time asked_at);
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
