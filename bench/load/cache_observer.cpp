#include "bench/load/cache_observer.hpp"

namespace ferryroad::bench::load {

namespace {

constexpr base::duration event_wait = std::chrono::milliseconds(500);
constexpr base::duration retry_pause = std::chrono::milliseconds(200);

}  // namespace

cache_observer::cache_observer(runtime::scheduler& scheduler, engine::client& client,
                               base::monotonic_time start)
    : scheduler_(scheduler), client_(client), start_(start) {}

void cache_observer::start(const std::vector<engine_entry>& engines) {
    for (std::size_t place = 0; place < engines.size(); ++place) {
        if (engines[place].kind == engine::engine_kind::model) {
            scheduler_.spawn("bench.cache_observer", follow(place, engines[place].http));
        }
    }
}

runtime::task<void> cache_observer::follow(std::size_t place, base::endpoint address) {
    engine::engine_target target;
    target.address = address;
    std::uint64_t next_sequence = 0;
    while (true) {
        auto batch = co_await client_.read_events(target, next_sequence, event_wait);
        if (!batch) {
            history_.forget(place, now());
            co_await scheduler_.sleep_for(retry_pause);
            continue;
        }
        if (batch->gap || batch->incarnation != target.incarnation) {
            history_.forget(place, now());
        }
        target.incarnation = batch->incarnation;
        next_sequence = batch->next_sequence;
        accept(place, *batch);
    }
}

void cache_observer::accept(std::size_t place, const engine::cache_event_batch& batch) {
    const double at = now();
    for (const engine::cache_event& event : batch.events) {
        history_.accept(place, event, at);
    }
}

double cache_observer::now() const {
    return base::to_seconds(scheduler_.now() - start_);
}

}  // namespace ferryroad::bench::load
