#include "bench/simulation/invariants/run_audit.hpp"

#include <algorithm>
#include <map>
#include <string>
#include <utility>

namespace ferryroad::bench::simulation {

namespace {

using load::call_outcome;
using load::call_record;

audit::execution_state state_of(emulator::execution_state state) {
    switch (state) {
        case emulator::execution_state::queued:
            return audit::execution_state::queued;
        case emulator::execution_state::running:
            return audit::execution_state::running;
        case emulator::execution_state::complete:
            return audit::execution_state::complete;
        case emulator::execution_state::cancelled:
            return audit::execution_state::cancelled;
        case emulator::execution_state::failed:
            break;
    }
    return audit::execution_state::failed;
}

audit::execution execution_of(const emulator::execution_record& record, std::size_t engine) {
    audit::execution row;
    row.engine = engine;
    row.process = record.process;
    row.request = record.request;
    row.attempt = record.attempt;
    row.key = record.key;
    row.tenant = record.scope.tenant;
    row.model = record.scope.model;
    row.version = record.scope.version;
    row.kind = record.kind;
    row.state = state_of(record.state);
    row.tokens = record.tokens;
    row.first_token = record.first_token;
    row.cached_pieces = record.cached_pieces;
    row.total_pieces = record.total_pieces;
    row.prompt_sha256 = record.prompt_sha256;
    return row;
}

base::monotonic_time time_of(double seconds) {
    return base::monotonic_time(base::from_seconds(seconds));
}

/// Checks that need the run's faults at hand.
class run_judge {
  public:
    run_judge(cluster& world, const fault_driver& driver, const invariant_bounds& bounds)
        : world_(world), driver_(driver), bounds_(bounds) {
        for (std::size_t index = 0; index < world.routers().size(); ++index) {
            routers_.emplace(world.routers()[index]->address(), index);
        }
    }

    run_audit run() {
        check_callers();
        for (const auto& engine : world_.engines()) {
            check_arrivals(*engine);
        }
        check_planned_stops();
        check_coroutines();
        check_audit();
        return std::move(found_);
    }

  private:
    void report(invariant broken, base::monotonic_time at, std::string detail) {
        found_.violations.push_back({broken, at, std::move(detail)});
    }

    static std::string name_of(const call_record& call) {
        return "request " + std::to_string(call.number) + " (" + call.request.value + ")";
    }

    void check_callers() {
        for (const call_record& call : world_.callers().records()) {
            const auto router = routers_.find(call.router);
            if (router == routers_.end()) {
                continue;
            }
            check_cut(call, router->second);
            check_time(call, router->second);
        }
    }

    void check_cut(const call_record& call, std::size_t router) {
        if (call.outcome != call_outcome::cut || call.error_code != "connection_lost") {
            return;
        }
        const base::monotonic_time ended = time_of(call.ended_at);
        if (!driver_.was_disturbed(router, disturbance_kind::ended, ended, ended)) {
            report(invariant::answer_cut, ended, name_of(call));
        }
    }

    void check_time(const call_record& call, std::size_t router) {
        if (call.outcome == call_outcome::unreachable || call.error_code == "caller_left") {
            return;
        }
        const base::duration limit = world_.options().deadline + bounds_.answer_slack;
        const base::monotonic_time sent = time_of(call.sent_at);
        const base::monotonic_time ended = time_of(call.ended_at);
        if (ended - sent > limit && !driver_.was_disturbed(router, sent, ended)) {
            report(invariant::answer_late, ended,
                   name_of(call) + " took " + std::to_string(call.ended_at - call.sent_at) + " s");
        }
    }

    void check_arrivals(const simulated_engine& engine) {
        for (const dispatch_arrival& arrival : engine.arrivals()) {
            check_leaving(engine, arrival);
            check_weights(engine, arrival);
        }
    }

    bool was_disturbed(const dispatch_arrival& arrival, base::monotonic_time from) const {
        const auto router = routers_.find(arrival.router);
        return router == routers_.end() || driver_.was_disturbed(router->second, from, arrival.at);
    }

    void check_leaving(const simulated_engine& engine, const dispatch_arrival& arrival) {
        for (const leaving_notice& leaving : engine.leavings()) {
            const bool late =
                leaving.process == arrival.process && arrival.at > leaving.since + bounds_.leaving;
            if (late && !was_disturbed(arrival, leaving.since) &&
                !engine.was_frozen(leaving.since, arrival.at)) {
                report(invariant::leaving_engine_used, arrival.at,
                       "attempt " + arrival.attempt.value + " to " + engine.name().value);
            }
        }
    }

    /// A request keeps the configuration that it began with, up to its deadline.
    void check_weights(const simulated_engine& engine, const dispatch_arrival& arrival) {
        if (arrival.refused || arrival.version.value.empty()) {
            return;
        }
        const base::duration allowed = bounds_.configuration + world_.options().deadline;
        for (const weights_acceptance& later : driver_.weights()) {
            const bool replaced = is_older(arrival.version, later);
            if (replaced && arrival.at > later.at + allowed && !was_disturbed(arrival, later.at)) {
                report(invariant::old_weights_used, arrival.at,
                       "attempt " + arrival.attempt.value + " to " + engine.name().value +
                           " with version " + arrival.version.value + " after " +
                           later.version.value);
            }
        }
    }

    bool is_older(const base::weights_version& version, const weights_acceptance& later) const {
        if (version == later.version) {
            return false;
        }
        for (const weights_acceptance& known : driver_.weights()) {
            if (known.version == version) {
                return known.revision < later.revision;
            }
        }
        return version == world_.options().engine.version;
    }

    void check_planned_stops() {
        const base::duration limit = world_.options().deadline + bounds_.answer_slack;
        const base::monotonic_time now = world_.time().now();
        for (const planned_stop& stop : driver_.planned_stops()) {
            const base::monotonic_time ended = stop.ended.value_or(now);
            if (!stop.killed && ended - stop.begun > limit &&
                !driver_.was_disturbed(stop.router, disturbance_kind::isolated, stop.begun,
                                       ended)) {
                report(invariant::planned_stop_cut, stop.begun,
                       "the stop of router " + std::to_string(stop.router) + " does not end");
            }
        }
    }

    void check_coroutines() {
        for (const coroutine_failure& failure : world_.time().failures()) {
            report(invariant::coroutine_failed, world_.time().now(),
                   failure.coroutine + ": " + failure.message);
        }
    }

    void check_audit() {
        audit::evidence seen;
        seen.calls = world_.callers().records();
        seen.executions = collect_executions(world_);
        found_.verdict = audit::judge(seen);
        for (const audit::violation& broken : found_.verdict.violations) {
            report(invariant::audit, world_.time().now(),
                   std::string(audit::to_string(broken.kind)) + ": request " +
                       std::to_string(broken.number) + " (" + broken.request.value +
                       "): " + broken.detail);
        }
    }

    cluster& world_;
    const fault_driver& driver_;
    invariant_bounds bounds_;
    std::map<base::endpoint, std::size_t> routers_;
    run_audit found_;
};

}  // namespace

std::vector<audit::execution> collect_executions(cluster& world) {
    std::vector<audit::execution> rows;
    for (std::size_t index = 0; index < world.engines().size(); ++index) {
        for (const emulator::execution_record& record : world.engines()[index]->executions()) {
            rows.push_back(execution_of(record, index));
        }
    }
    return rows;
}

run_audit audit_run(cluster& world, const fault_driver& driver, const invariant_bounds& bounds) {
    return run_judge(world, driver, bounds).run();
}

}  // namespace ferryroad::bench::simulation
