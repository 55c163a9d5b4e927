#include "bench/simulation/cluster/simulated_router.hpp"

#include <stdexcept>
#include <utility>

namespace ferryroad::bench::simulation {

namespace {

/// How often a planned stop looks whether the last exchange has ended.
constexpr base::duration drain_poll = std::chrono::milliseconds(20);
/// Bound of the random start of a process's monotonic clock, in seconds.
constexpr std::uint64_t latest_clock_start = 100'000;

clock_error draw_clock(base::random_source& random, double rate_error) {
    clock_error drawn;
    drawn.rate = 1.0 + rate_error * (2.0 * random.unit() - 1.0);
    drawn.monotonic_start = std::chrono::seconds(random.below(latest_clock_start));
    return drawn;
}

}  // namespace

/// Everything of one process, in the order of construction.
struct simulated_router::process {
    process(const router_machine& machine, base::incarnation own, const router_neighbours& with)
        : process(machine, own, with,
                  draw_clock(with.carrier.time().random(), machine.clock_rate_error)) {}

    process(const router_machine& machine, base::incarnation own, const router_neighbours& with,
            const clock_error& clock)
        : scheduler(with.carrier.time(), with.carrier.time().random().next(), clock),
          transport(with.peers, scheduler, machine.address),
          engines(with.engines, with.carrier, scheduler, machine.address),
          platform(with.platform, scheduler, machine.address),
          table(platform),
          objects(platform),
          machines(platform),
          node({machine.name, own, machine.where.zone, machine.where.region, machine.address},
               {machine.seeds, machine.policy},
               {scheduler, engines, table, objects, machines, transport}),
          front(scheduler, node.requests(),
                machine.name.value + "." + std::to_string(own.value) + ".") {}

    virtual_scheduler scheduler;
    peer_transport transport;
    engine_client engines;
    platform_caller platform;
    platform_table table;
    platform_objects objects;
    platform_machines machines;
    router::node node;
    router_front front;
    bool stopping = false;
};

simulated_router::simulated_router(router_machine machine, const router_neighbours& neighbours)
    : machine_(std::move(machine)), with_(neighbours) {
    with_.carrier.place(machine_.address, machine_.where);
}

simulated_router::~simulated_router() {
    if (process_) {
        end_process();
    }
}

void simulated_router::start() {
    if (process_) {
        throw std::logic_error("a router is started twice");
    }
    incarnation_.value += 1;
    started_at_ = with_.carrier.time().now();
    process_ = std::make_unique<process>(machine_, incarnation_, with_);
    router::node* started = &process_->node;
    with_.carrier.time().at(started_at_, process_->scheduler.process(),
                            [started] { started->start(); });
}

void simulated_router::end_process() {
    process_->scheduler.kill();
    process_->front.break_off_all();
    process_.reset();
}

void simulated_router::kill() {
    if (process_) {
        stopped_ = nullptr;
        end_process();
    }
}

void simulated_router::pause() {
    if (process_) {
        process_->scheduler.pause();
    }
}

void simulated_router::resume() {
    if (process_ && process_->scheduler.paused()) {
        process_->scheduler.resume();
    }
}

bool simulated_router::paused() const {
    return process_ && process_->scheduler.paused();
}

bool simulated_router::stopping() const {
    return process_ && process_->stopping;
}

bool simulated_router::ready() const {
    return process_ && !process_->scheduler.paused() && process_->node.ready_state().ready();
}

base::revision simulated_router::revision() const {
    return process_ ? process_->node.configuration().current()->revision : base::revision();
}

router::node& simulated_router::node() {
    return process_->node;
}

virtual_scheduler& simulated_router::scheduler() {
    return process_->scheduler;
}

void simulated_router::run(std::function<void()> work) {
    if (process_) {
        virtual_time& time = with_.carrier.time();
        time.at(time.now(), process_->scheduler.process(), std::move(work));
    }
}

void simulated_router::begin_planned_stop(std::function<void()> stopped) {
    if (!process_ || process_->stopping) {
        return;
    }
    stopped_ = std::move(stopped);
    process_->stopping = true;
    router::node* stopping = &process_->node;
    run([stopping] { stopping->begin_stop(); });
    look_whether_drained();
}

void simulated_router::look_whether_drained() {
    with_.carrier.time().after(drain_poll, [this, meant = incarnation_] {
        if (!process_ || incarnation_ != meant) {
            return;
        }
        if (process_->front.under_way() > 0) {
            look_whether_drained();
            return;
        }
        end_process();
        if (const auto stopped = std::exchange(stopped_, nullptr)) {
            stopped();
        }
    });
}

bool simulated_router::accept(const std::shared_ptr<caller_exchange>& exchange) {
    if (!process_ || process_->stopping) {
        return false;
    }
    router_front* front = &process_->front;
    const std::uint64_t connection = front->admit(exchange);
    run([front, connection] { front->begin(connection); });
    return true;
}

std::size_t simulated_router::exchanges_under_way() const {
    return process_ ? process_->front.under_way() : 0;
}

}  // namespace ferryroad::bench::simulation
