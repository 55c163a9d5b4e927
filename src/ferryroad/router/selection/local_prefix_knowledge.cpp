#include "ferryroad/router/selection/local_prefix_knowledge.hpp"

#include <utility>

namespace ferryroad::router::selection {

local_prefix_knowledge::local_prefix_knowledge(const base::clock& clock,
                                               core::prefix::prefix_index_settings index,
                                               core::prefix::heat_settings heat)
    : clock_(clock), index_(index), heat_(heat) {}

runtime::task<prefix_answer> local_prefix_knowledge::lookup(core::prefix::cache_namespace scope,
                                                            core::prefix::piece_chain pieces) {
    const base::monotonic_time now = clock_.now();
    heat_.record(pieces.front(), now);
    prefix_answer answer;
    answer.holders = index_.lookup(scope, pieces, now);
    answer.request_rate = heat_.rate(pieces.front(), now);
    answer.source = answer_source::local;
    co_return answer;
}

void local_prefix_knowledge::report(prefix_observation observation) {
    index_.record(observation.scope, observation.pieces, observation.process, observation.basis,
                  clock_.now());
}

void local_prefix_knowledge::report_events(const base::engine_name& engine,
                                           const engine::cache_event_batch& batch) {
    record_events(index_, engine, batch, clock_.now());
}

void local_prefix_knowledge::report_incarnation(const core::prefix::engine_process& process) {
    index_.record_incarnation(process);
}

void record_events(core::prefix::prefix_index& index, const base::engine_name& engine,
                   const engine::cache_event_batch& batch, base::monotonic_time now) {
    const core::prefix::engine_process process{engine, batch.incarnation};
    if (batch.gap) {
        index.record_gap(process);
    }
    for (const engine::cache_event& event : batch.events) {
        if (event.change == engine::cache_change::evicted) {
            index.record_evicted(event.scope, event.piece, process);
            continue;
        }
        const base::piece_hash pieces[] = {event.piece};
        index.record(event.scope, pieces, process, core::prefix::evidence::event, now);
    }
}

}  // namespace ferryroad::router::selection
