#include "bench/simulation/invariants/router_observer.hpp"

#include <algorithm>
#include <string>
#include <utility>

namespace ferryroad::bench::simulation {

namespace {

constexpr base::duration look_interval = std::chrono::milliseconds(100);

std::string revision_text(base::revision revision) {
    return "revision " + std::to_string(revision.value);
}

}  // namespace

router_observer::router_observer(cluster& world, const fault_driver& driver,
                                 const invariant_bounds& bounds)
    : world_(world), driver_(driver), bounds_(bounds), sightings_(world.routers().size()) {}

void router_observer::report(invariant broken, std::string detail) {
    violations_.push_back({broken, world_.time().now(), std::move(detail)});
}

void router_observer::observe_until(base::monotonic_time until) {
    until_ = until;
    look();
}

void router_observer::look() {
    for (std::size_t index = 0; index < sightings_.size(); ++index) {
        if (world_.routers()[index]->running()) {
            look_at(index);
        }
    }
    if (world_.time().now() < until_) {
        world_.time().after(look_interval, [this] { look(); });
    }
}

void router_observer::look_at(std::size_t index) {
    const simulated_router& router = *world_.routers()[index];
    sighting& seen = sightings_[index];
    if (router.incarnation() != seen.process) {
        seen.process = router.incarnation();
        seen.revision = base::revision();
        seen.was_ready = false;
        seen.late_reported = false;
    }
    check_revision(index, seen);
    check_restart(index, seen);
    check_convergence(index, seen);
}

void router_observer::check_revision(std::size_t index, sighting& seen) {
    const simulated_router& router = *world_.routers()[index];
    const base::revision now = router.revision();
    if (now < seen.revision) {
        report(invariant::configuration_reverted, router.machine().name.value + " went from " +
                                                      revision_text(seen.revision) + " to " +
                                                      revision_text(now));
    }
    seen.revision = now;
    if (!router.ready()) {
        return;
    }
    if (now < seen.ready_revision) {
        report(invariant::configuration_reverted,
               router.machine().name.value + " is ready at " + revision_text(now) +
                   ", an earlier process of it was at " + revision_text(seen.ready_revision));
    }
    seen.ready_revision = std::max(seen.ready_revision, now);
    seen.was_ready = true;
}

bool router_observer::could_be_ready(std::size_t index, base::monotonic_time from) const {
    const base::monotonic_time now = world_.time().now();
    if (driver_.was_disturbed(index, disturbance_kind::isolated, from, now)) {
        return false;
    }
    if (!driver_.was_platform_disturbed(from, now)) {
        return true;
    }
    // Without the platform it takes a peer that was ready all the time.
    for (std::size_t other = 0; other < sightings_.size(); ++other) {
        if (other != index && sightings_[other].was_ready &&
            !driver_.was_disturbed(other, from, now)) {
            return true;
        }
    }
    return false;
}

void router_observer::check_restart(std::size_t index, sighting& seen) {
    const simulated_router& router = *world_.routers()[index];
    const base::monotonic_time started = router.started_at();
    const bool due = world_.time().now() >= started + bounds_.restart;
    if (!due || seen.was_ready || seen.late_reported || router.stopping() ||
        !could_be_ready(index, started)) {
        return;
    }
    seen.late_reported = true;
    report(invariant::restart_not_serving,
           router.machine().name.value + " was started at " +
               std::to_string(base::to_seconds(started.time_since_epoch())) +
               " s and is not ready");
}

base::revision router_observer::accepted_before(base::monotonic_time limit) const {
    base::revision highest;
    for (const accepted_change& change : world_.operator_team().accepted()) {
        if (change.at <= limit) {
            highest = std::max(highest, change.revision);
        }
    }
    return highest;
}

void router_observer::check_convergence(std::size_t index, sighting& seen) {
    const simulated_router& router = *world_.routers()[index];
    const base::monotonic_time now = world_.time().now();
    const base::monotonic_time since = now - bounds_.configuration;
    if (!router.ready() || driver_.was_disturbed(index, since, now)) {
        return;
    }
    const base::revision due = accepted_before(since);
    if (seen.revision < due && !seen.late_reported) {
        seen.late_reported = true;
        report(invariant::configuration_late,
               router.machine().name.value + " is at " + revision_text(seen.revision) + ", " +
                   revision_text(due) + " was accepted before the bound");
    }
}

void router_observer::check_recovered() {
    const base::revision head = accepted_before(world_.time().now());
    for (const auto& router : world_.routers()) {
        if (!router->ready()) {
            report(invariant::not_recovered, router->machine().name.value + " is not ready");
        } else if (router->revision() != head) {
            report(invariant::configuration_diverged, router->machine().name.value + " ended at " +
                                                          revision_text(router->revision()) +
                                                          ", accepted was " + revision_text(head));
        }
    }
}

}  // namespace ferryroad::bench::simulation
