#include "ferryroad/router/selection/shared_prefix_knowledge.hpp"

#include "ferryroad/router/selection/local_prefix_knowledge.hpp"

#include <algorithm>
#include <map>
#include <utility>

namespace ferryroad::router::selection {

namespace {

constexpr const char* component = "router.selection";

void sort_longest_first(std::vector<core::prefix::holder>& holders) {
    std::stable_sort(holders.begin(), holders.end(),
                     [](const core::prefix::holder& left, const core::prefix::holder& right) {
                         return left.pieces > right.pieces;
                     });
}

/// Merges `more` into `holders`. For an engine in both, the longer match is used.
void merge(std::vector<core::prefix::holder>& holders,
           const std::vector<core::prefix::holder>& more) {
    for (const core::prefix::holder& each : more) {
        const auto known = std::find_if(
            holders.begin(), holders.end(),
            [&each](const core::prefix::holder& other) { return other.process == each.process; });
        if (known == holders.end()) {
            holders.push_back(each);
        } else if (each.pieces > known->pieces) {
            *known = each;
        }
    }
    sort_longest_first(holders);
}

/// Removes holders whose match length is impossible for a chain of `piece_count` pieces, and sorts
/// the rest by match length, longest first.
void remove_implausible(std::vector<core::prefix::holder>& holders, std::size_t piece_count) {
    std::erase_if(holders, [piece_count](const core::prefix::holder& each) {
        return each.pieces == 0 || each.pieces > piece_count;
    });
    sort_longest_first(holders);
}

}  // namespace

shared_prefix_knowledge::shared_prefix_knowledge(base::router_name self,
                                                 const live_routers& routers,
                                                 prefix_exchange& exchange,
                                                 runtime::scheduler& scheduler,
                                                 shared_index_settings settings)
    : scheduler_(scheduler),
      exchange_(exchange),
      self_(self),
      settings_(settings),
      routers_(routers, std::move(self), settings.warm_up, settings.avoid_failed_for),
      local_(settings.local),
      own_lookups_(settings.heat),
      owned_(settings.owned, settings.heat),
      outbox_(settings.outbox),
      answers_(settings.max_cached_answers) {}

runtime::task<prefix_answer> shared_prefix_knowledge::lookup(core::prefix::cache_namespace scope,
                                                             core::prefix::piece_chain pieces) {
    ++counters_.lookups;
    routers_.refresh(scheduler_.now());
    own_lookups_.record(pieces.front(), scheduler_.now());
    prefix_answer answer;
    const auto cached = answers_.find(scope, pieces, scheduler_.now());
    if (cached) {
        ++counters_.lookups_from_cache;
        answer = {cached->holders, cached->request_rate, answer_source::owner, cached->dispatches};
    } else {
        answer = co_await ask_owners(scope, pieces);
    }
    add_own_knowledge(answer, scope, pieces);
    co_return answer;
}

runtime::task<prefix_answer> shared_prefix_knowledge::ask_owners(
    core::prefix::cache_namespace scope, core::prefix::piece_chain pieces) {
    prefix_answer merged;
    const auto owners = routers_.find_owners(pieces.front());
    if (!owners) {
        co_return merged;
    }
    const base::monotonic_time asked_at = scheduler_.now();
    const bool avoid_owner = owners->standby && routers_.is_avoided(owners->owner, asked_at);
    if (!avoid_owner) {
        const auto answered = co_await ask(owners->owner, scope, pieces);
        if (answered) {
            outbox_.reconcile(scope, pieces, answered->holders, scheduler_.now());
            const base::duration lifetime = answer_lifetime(pieces.front());
            if (lifetime > base::duration::zero()) {
                answers_.add(scope, pieces, *answered, scheduler_.now(), lifetime);
            }
            merged = {answered->holders, answered->request_rate, answer_source::owner,
                      answered->dispatches};
        }
    }
    const bool complete =
        merged.source == answer_source::owner && !routers_.is_warming_up(owners->owner, asked_at);
    if (owners->standby && !complete) {
        const auto answered = co_await ask(*owners->standby, scope, pieces);
        if (answered) {
            merge(merged.holders, answered->holders);
            merged.request_rate = std::max(merged.request_rate, answered->request_rate);
            if (merged.source == answer_source::none) {
                merged.dispatches = answered->dispatches;
                merged.source = answer_source::standby;
            }
        }
    }
    co_return merged;
}

runtime::task<runtime::result<core::prefix::owner_answer, exchange_error>>
shared_prefix_knowledge::ask(router_contact router, core::prefix::cache_namespace scope,
                             core::prefix::piece_chain pieces) {
    if (routers_.is_self(router)) {
        co_return answer(self_, scope, pieces);
    }
    ++counters_.lookups_sent;
    const base::duration limit = settings_.lookup_limit;
    const std::size_t piece_count = pieces.size();
    auto answered = co_await exchange_.lookup(router, std::move(scope), std::move(pieces), limit);
    if (answered.has_error()) {
        ++counters_.lookups_failed;
        routers_.record_failure(router, scheduler_.now());
        co_return answered;
    }
    remove_implausible(answered->holders, piece_count);
    co_return answered;
}

void shared_prefix_knowledge::add_own_knowledge(prefix_answer& answer,
                                                const core::prefix::cache_namespace& scope,
                                                const core::prefix::piece_chain& pieces) {
    const base::monotonic_time now = scheduler_.now();
    if (answer.source != answer_source::none) {
        merge(answer.holders, local_.lookup(scope, pieces, now, settings_.own_reports_delay));
        return;
    }
    ++counters_.lookups_local_only;
    answer.holders = local_.lookup(scope, pieces, now);
    answer.source = answer_source::local;
}

void shared_prefix_knowledge::report(prefix_observation observation) {
    local_.record(observation.scope, observation.pieces, observation.process, observation.basis,
                  scheduler_.now());
    const base::piece_hash root = observation.pieces.front();
    distribute(replicas_of(root),
               {std::move(observation.scope), std::move(observation.pieces),
                std::move(observation.process), core::prefix::prefix_change::held,
                observation.basis, observation.prefill_tokens});
}

void shared_prefix_knowledge::report_events(const base::engine_name& engine,
                                            const engine::cache_event_batch& batch) {
    record_events(local_, engine, batch, scheduler_.now());
    if (batch.gap) {
        distribute_gap({engine, batch.incarnation});
    }
    distribute_evictions(engine, batch);
}

void shared_prefix_knowledge::report_incarnation(const core::prefix::engine_process& process) {
    local_.record_incarnation(process);
    owned_.record_incarnation(process);
}

core::prefix::owner_answer shared_prefix_knowledge::answer(
    const base::router_name& requester, const core::prefix::cache_namespace& scope,
    const core::prefix::piece_chain& pieces) {
    return owned_.lookup(scope, pieces, requester, scheduler_.now());
}

void shared_prefix_knowledge::accept(const base::router_name& reporter,
                                     const std::vector<core::prefix::prefix_report>& reports) {
    for (const core::prefix::prefix_report& report : reports) {
        owned_.record(report, reporter, scheduler_.now());
    }
}

base::duration shared_prefix_knowledge::answer_lifetime(base::piece_hash root) const {
    const auto routers = static_cast<double>(std::max<std::size_t>(routers_.count(), 1));
    const double share = settings_.lookups_of_root_per_second / routers;
    const bool above_share = own_lookups_.rate(root, scheduler_.now()) > share;
    return above_share ? base::from_seconds(1 / share) : base::duration::zero();
}

std::vector<router_contact> shared_prefix_knowledge::replicas_of(base::piece_hash root) {
    routers_.refresh(scheduler_.now());
    const auto owners = routers_.find_owners(root);
    std::vector<router_contact> replicas;
    if (owners) {
        replicas.push_back(owners->owner);
        if (owners->standby) {
            replicas.push_back(*owners->standby);
        }
    }
    return replicas;
}

void shared_prefix_knowledge::distribute(const std::vector<router_contact>& replicas,
                                         core::prefix::prefix_report report) {
    const base::monotonic_time now = scheduler_.now();
    std::vector<base::router_name> remote_replicas;
    for (const router_contact& replica : replicas) {
        if (routers_.is_self(replica)) {
            owned_.record(report, self_, now);
        } else {
            remote_replicas.push_back(replica.name);
        }
    }
    outbox_.add(remote_replicas, std::move(report), now);
    schedule_flush();
}

void shared_prefix_knowledge::distribute_evictions(const base::engine_name& engine,
                                                   const engine::cache_event_batch& batch) {
    // Stored pieces were already reported with the dispatch that caused them to be stored.
    std::map<std::pair<core::prefix::cache_namespace, base::piece_hash>, core::prefix::piece_chain>
        evicted;
    for (const engine::cache_event& event : batch.events) {
        record_root(engine, event.root);
        if (event.change == engine::cache_change::evicted) {
            evicted[{event.scope, event.root}].push_back(event.piece);
        }
    }
    for (auto& [family, pieces] : evicted) {
        distribute(replicas_of(family.second), {family.first,
                                                std::move(pieces),
                                                {engine, batch.incarnation},
                                                core::prefix::prefix_change::evicted,
                                                core::prefix::evidence::event});
    }
}

void shared_prefix_knowledge::distribute_gap(const core::prefix::engine_process& process) {
    std::map<base::router_name, router_contact> replicas;
    for (const auto& [root, seen_at] : roots_of_engines_[process.engine]) {
        for (const router_contact& replica : replicas_of(root)) {
            replicas.emplace(replica.name, replica);
        }
    }
    std::vector<router_contact> recipients;
    recipients.reserve(replicas.size());
    for (const auto& [name, replica] : replicas) {
        recipients.push_back(replica);
    }
    distribute(recipients, {{}, {}, process, core::prefix::prefix_change::events_lost, {}});
}

void shared_prefix_knowledge::record_root(const base::engine_name& engine, base::piece_hash root) {
    roots_seen& roots = roots_of_engines_[engine];
    const base::monotonic_time now = scheduler_.now();
    roots[root] = now;
    if (roots.size() <= settings_.roots_per_engine) {
        return;
    }
    roots.erase(std::min_element(
        roots.begin(), roots.end(),
        [](const auto& left, const auto& right) { return left.second < right.second; }));
}

void shared_prefix_knowledge::schedule_flush() {
    if (flush_scheduled_ || outbox_.empty()) {
        return;
    }
    flush_scheduled_ = true;
    scheduler_.spawn(component, flush_later());
}

runtime::task<void> shared_prefix_knowledge::flush_later() {
    co_await scheduler_.sleep_for(settings_.report_interval);
    flush_scheduled_ = false;
    for (core::prefix::report_batch& batch : outbox_.take()) {
        scheduler_.spawn(component, send(std::move(batch)));
    }
}

runtime::task<void> shared_prefix_knowledge::send(core::prefix::report_batch batch) {
    const auto owner = routers_.find(batch.owner);
    if (!owner) {
        outbox_.record_lost(batch);
        co_return;
    }
    ++counters_.batches_sent;
    for (const core::prefix::prefix_report& report : batch.reports) {
        counters_.pieces_sent += report.pieces.size();
    }
    const base::duration limit = settings_.report_limit;
    std::vector<core::prefix::prefix_report> reports = batch.reports;
    const auto sent = co_await exchange_.report(*owner, std::move(reports), limit);
    if (sent.has_error()) {
        ++counters_.batches_lost;
        routers_.record_failure(*owner, scheduler_.now());
        outbox_.record_lost(batch);
    }
}

}  // namespace ferryroad::router::selection
