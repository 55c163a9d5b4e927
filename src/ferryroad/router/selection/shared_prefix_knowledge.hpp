/// @file
/// Prefix knowledge shared between routers. The index of each root is kept by an owner and a
/// standby router; other routers query them with a timeout of a few milliseconds.
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

/// Settings of `shared_prefix_knowledge`.
struct shared_index_settings {
    core::prefix::prefix_index_settings local;  ///< This router's own index, the fallback.
    /// Index of the roots that this router keeps for all routers. Its entries live longer than
    /// local ones because all routers' dispatches and the engines' evictions update them.
    core::prefix::prefix_index_settings owned{.lifetime = std::chrono::seconds(60)};
    core::prefix::heat_settings heat;
    core::prefix::report_outbox_settings outbox;
    /// Timeout of a lookup at another router.
    base::duration lookup_limit = std::chrono::milliseconds(5);
    /// Time over which reports are collected into one batch for each router.
    base::duration report_interval = std::chrono::milliseconds(20);
    /// Timeout for sending a batch of reports.
    base::duration report_limit = std::chrono::seconds(1);
    /// How long an owner is not queried after a failed exchange if it has a standby.
    base::duration avoid_failed_for = std::chrono::seconds(1);
    /// How long after an owner started or became visible its standby is queried as well.
    base::duration warm_up = std::chrono::seconds(10);
    /// Own reports younger than this may not have reached the owner; lookups add them to the
    /// owner's answer.
    base::duration own_reports_delay = std::chrono::milliseconds(250);
    /// Rate limit of lookups for one root at its owner, from all routers together, per second. A
    /// router that exceeds its equal share of the limit caches the owner's answers.
    double lookups_of_root_per_second = 200;
    /// Largest number of cached answers.
    std::size_t max_cached_answers = 256;
    /// Largest number of roots recorded for each engine whose events this router reads.
    std::size_t roots_per_engine = 256;
};

/// Counters of the shared index, for metrics.
struct shared_index_counters {
    std::uint64_t lookups = 0;
    std::uint64_t lookups_sent = 0;  ///< Lookups sent to other routers.
    std::uint64_t lookups_failed = 0;
    std::uint64_t lookups_from_cache = 0;
    std::uint64_t lookups_local_only = 0;  ///< Neither owner nor standby answered.
    std::uint64_t batches_sent = 0;
    std::uint64_t batches_lost = 0;
    std::uint64_t pieces_sent = 0;  ///< Pieces in reports, counted once for each recipient.
};

/// Implements `prefix_knowledge` on the index shared between routers. The collaborators must
/// outlive the object, and the object must exist until the event loop has ended. Used from the
/// event loop's thread only.
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

    /// Answers a lookup of another router for a root that this router owns or is standby of.
    core::prefix::owner_answer answer(const base::router_name& requester,
                                      const core::prefix::cache_namespace& scope,
                                      const core::prefix::piece_chain& pieces);
    /// Records reports of another router about roots that this router owns or is standby of.
    void accept(const base::router_name& reporter,
                const std::vector<core::prefix::prefix_report>& reports);

    const shared_index_counters& counters() const { return counters_; }
    const core::prefix::report_outbox_counters& outbox_counters() const {
        return outbox_.counters();
    }
    /// @return the number of index entries (one piece on one engine) kept for all routers.
    std::size_t owned_entries() const { return owned_.size(); }

  private:
    using roots_seen = std::unordered_map<base::piece_hash, base::monotonic_time>;

    /// Queries the owner, and also the standby if the owner is warming up, avoided or fails.
    runtime::task<prefix_answer> ask_owners(core::prefix::cache_namespace scope,
                                            core::prefix::piece_chain pieces);
    runtime::task<runtime::result<core::prefix::owner_answer, exchange_error>> ask(
        router_contact router, core::prefix::cache_namespace scope,
        core::prefix::piece_chain pieces);
    /// Adds entries of the local index to the answer: only those that may not have reached the
    /// owner yet, or all of them if no router answered.
    void add_own_knowledge(prefix_answer& answer, const core::prefix::cache_namespace& scope,
                           const core::prefix::piece_chain& pieces);

    /// @return owner and standby of the root among the live routers.
    std::vector<router_contact> replicas_of(base::piece_hash root);
    /// @return how long an answer about `root` may be cached; 0 if it must not be.
    base::duration answer_lifetime(base::piece_hash root) const;
    /// Records the report if this router is one of the replicas, and queues it for the others.
    void distribute(const std::vector<router_contact>& replicas,
                    core::prefix::prefix_report report);
    void distribute_evictions(const base::engine_name& engine,
                              const engine::cache_event_batch& batch);
    void distribute_gap(const core::prefix::engine_process& process);
    void record_root(const base::engine_name& engine, base::piece_hash root);
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
