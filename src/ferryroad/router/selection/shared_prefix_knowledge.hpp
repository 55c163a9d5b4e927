/// @file
/// Prefix knowledge shared between routers: each root's index is kept by its owner and a
/// standby, and asked for with a limit of a few milliseconds.
#pragma once

#include "ferryroad/core/prefix/heat.hpp"
#include "ferryroad/core/prefix/prefix_index.hpp"
#include "ferryroad/core/prefix/prefix_owner.hpp"
#include "ferryroad/core/prefix/report_outbox.hpp"
#include "ferryroad/router/selection/answer_cache.hpp"
#include "ferryroad/router/selection/prefix_exchange.hpp"
#include "ferryroad/router/selection/prefix_knowledge.hpp"
#include "ferryroad/router/selection/router_view.hpp"
#include "ferryroad/runtime/scheduler.hpp"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace ferryroad::router::selection {

struct shared_index_settings {
    core::prefix::prefix_index_settings local;  ///< This router's own index, the fallback.
    /// Roots kept for all routers. Entries live longer than in the local index, since every
    /// router's dispatches and the engines' evictions correct them.
    core::prefix::prefix_index_settings owned{.lifetime = std::chrono::seconds(60)};
    core::prefix::heat_settings heat;
    core::prefix::report_outbox_settings outbox;
    /// An owner that has not answered by then is passed over.
    base::duration lookup_limit = std::chrono::milliseconds(5);
    base::duration report_interval = std::chrono::milliseconds(20);
    base::duration report_limit = std::chrono::seconds(1);
    /// A router that failed is passed over for this long.
    base::duration avoid_failed_for = std::chrono::seconds(1);
    /// An owner younger than this is asked together with its standby.
    base::duration warm_up = std::chrono::seconds(10);
    /// Own dispatches younger than this may not have reached the owner yet.
    base::duration own_reports_delay = std::chrono::milliseconds(250);
    /// Lookups a second that an owner gets for one root at most, from all routers together. A
    /// router that has more than its even share of them keeps answers for a moment.
    double lookups_of_root_per_second = 200;
    std::size_t answers_kept = 256;
    /// Roots remembered for each engine whose events are read here.
    std::size_t roots_per_engine = 256;
};

/// What the sharing costs and how well it works, for metrics.
struct shared_index_counters {
    std::uint64_t lookups = 0;
    std::uint64_t lookups_sent = 0;  ///< To other routers.
    std::uint64_t lookups_failed = 0;
    std::uint64_t lookups_from_cache = 0;
    std::uint64_t lookups_local_only = 0;  ///< Neither owner nor standby answered.
    std::uint64_t batches_sent = 0;
    std::uint64_t batches_lost = 0;
    std::uint64_t pieces_sent = 0;  ///< In reports, each owner counted.
};

/// Collaborators outlive the object, and it outlives the scheduler's run. Used from the event
/// loop's thread.
class shared_prefix_knowledge final : public prefix_knowledge {
  public:
    shared_prefix_knowledge(base::router_name self, const live_routers& routers,
                            prefix_exchange& exchange, runtime::scheduler& scheduler,
                            shared_index_settings settings = {});

    runtime::task<prefix_answer> lookup(core::prefix::cache_namespace scope,
                                        core::prefix::piece_chain pieces) override;
    void report(prefix_observation observation) override;
    void report_events(const base::engine_name& engine,
                       const engine::cache_event_batch& batch) override;
    void report_incarnation(const core::prefix::engine_process& process) override;

    /// A router asks this one as owner or standby.
    core::prefix::owner_answer answer(const base::router_name& asker,
                                      const core::prefix::cache_namespace& scope,
                                      const core::prefix::piece_chain& pieces);
    /// A router reports to this one as owner or standby.
    void accept(const base::router_name& reporter,
                const std::vector<core::prefix::prefix_report>& reports);

    const shared_index_counters& counters() const { return counters_; }
    const core::prefix::report_outbox_counters& outbox_counters() const {
        return outbox_.counters();
    }
    /// @return pieces on engines kept for all routers.
    std::size_t owned_entries() const { return owned_.size(); }

  private:
    using roots_seen = std::unordered_map<base::piece_hash, base::monotonic_time>;

    /// Asks the owner, and the standby where the owner is young, avoided or fails.
    runtime::task<prefix_answer> ask_owners(core::prefix::cache_namespace scope,
                                            core::prefix::piece_chain pieces);
    runtime::task<runtime::result<core::prefix::owner_answer, exchange_error>> ask(
        router_contact router, core::prefix::cache_namespace scope,
        core::prefix::piece_chain pieces);
    void add_own_knowledge(prefix_answer& answer, const core::prefix::cache_namespace& scope,
                           const core::prefix::piece_chain& pieces);

    /// @return owner and standby of the root, as far as they live.
    std::vector<router_contact> keepers_of(base::piece_hash root);
    /// @return for how long an answer about `root` serves other requests; 0 for not at all.
    base::duration answer_lifetime(base::piece_hash root) const;
    /// Records a report where this router is a keeper, and queues it for the others.
    void distribute(const std::vector<router_contact>& keepers, core::prefix::prefix_report report);
    void distribute_evictions(const base::engine_name& engine,
                              const engine::cache_event_batch& batch);
    void distribute_gap(const core::prefix::engine_process& process);
    void remember_root(const base::engine_name& engine, base::piece_hash root);
    void schedule_flush();
    runtime::task<void> flush_later();
    runtime::task<void> send(core::prefix::report_batch batch);

    runtime::scheduler& scheduler_;
    prefix_exchange& exchange_;
    base::router_name self_;
    shared_index_settings settings_;
    router_view routers_;
    core::prefix::prefix_index local_;
    core::prefix::heat own_lookups_;
    core::prefix::prefix_owner owned_;
    core::prefix::report_outbox outbox_;
    answer_cache answers_;
    std::unordered_map<base::engine_name, roots_seen> roots_of_engines_;
    bool flush_scheduled_ = false;
    shared_index_counters counters_;
};

}  // namespace ferryroad::router::selection
