#include "bench/simulation/faults/fault_driver.hpp"

#include <algorithm>
#include <string>
#include <utility>

namespace ferryroad::bench::simulation {

namespace {

constexpr double slow_factor = 8.0;
constexpr base::duration slow_latency = std::chrono::milliseconds(400);
constexpr base::duration platform_delay = std::chrono::milliseconds(900);
constexpr double limited_rate = 5.0;
constexpr std::uint64_t most_lost = 5;
constexpr std::uint64_t most_lost_events = 200;
/// A leaving engine goes this long after it said so.
constexpr base::duration notice_time = std::chrono::seconds(12);
/// After a disturbance a router is given this long to catch up.
constexpr base::duration recovery = std::chrono::seconds(6);

}  // namespace

void fault_driver::schedule(const std::vector<planned_fault>& plan, base::monotonic_time begins) {
    for (const planned_fault& fault : plan) {
        world_.time().at(begins + fault.at, [this, fault] {
            if (!ended_) {
                begin(fault);
            }
        });
    }
}

void fault_driver::begin(const planned_fault& fault) {
    world_.time().record(to_string(fault.kind));
    switch (fault.kind) {
        case fault_kind::router_kill:
            kill_router(fault.target % world_.routers().size(), fault.length);
            break;
        case fault_kind::router_herd_restart:
            restart_herd(fault.length);
            break;
        case fault_kind::router_pause:
            pause_router(fault.target % world_.routers().size(), fault.length);
            break;
        case fault_kind::router_planned_stop:
            stop_router(fault.target % world_.routers().size(), fault.length);
            break;
        case fault_kind::cut:
            cut_off(fault);
            break;
        case fault_kind::slow_network:
            slow_network(fault);
            break;
        case fault_kind::platform_outage:
        case fault_kind::platform_slow:
        case fault_kind::platform_lost_answer:
        case fault_kind::platform_rate_limit:
            fault_platform(fault);
            break;
        case fault_kind::operator_race:
            race_operators(fault);
            break;
        case fault_kind::weights_change:
            change_weights(fault);
            break;
        default:
            fault_engine(fault);
            break;
    }
}

void fault_driver::disturb(std::size_t router, disturbance_kind kind, base::duration length) {
    const base::monotonic_time now = world_.time().now();
    disturbances_.push_back({router, kind, now, now + length + recovery});
}

void fault_driver::kill_router(std::size_t index, base::duration down) {
    simulated_router& router = *world_.routers()[index];
    if (!router.running()) {
        return;
    }
    for (planned_stop& stop : planned_stops_) {
        stop.killed = stop.killed || (stop.router == index && !stop.ended);
    }
    world_.faults().add(fault_kind::router_kill);
    disturb(index, disturbance_kind::ended, down);
    router.kill();
    world_.time().after(down, [this, index] { start_router(index); });
}

void fault_driver::start_router(std::size_t index) {
    if (!world_.routers()[index]->running()) {
        world_.routers()[index]->start();
    }
}

void fault_driver::restart_herd(base::duration down) {
    world_.faults().add(fault_kind::router_herd_restart);
    for (std::size_t index = 0; index < world_.routers().size(); ++index) {
        kill_router(index, down);
    }
}

void fault_driver::pause_router(std::size_t index, base::duration length) {
    simulated_router& router = *world_.routers()[index];
    if (!router.running() || router.paused()) {
        return;
    }
    world_.faults().add(fault_kind::router_pause);
    disturb(index, disturbance_kind::isolated, length);
    router.pause();
    world_.time().after(length, [this, index, meant = router.incarnation()] {
        if (world_.routers()[index]->incarnation() == meant) {
            world_.routers()[index]->resume();
        }
    });
}

void fault_driver::stop_router(std::size_t index, base::duration down) {
    simulated_router& router = *world_.routers()[index];
    if (!router.running() || router.stopping()) {
        return;
    }
    world_.faults().add(fault_kind::router_planned_stop);
    const std::size_t number = planned_stops_.size();
    planned_stops_.push_back({index, world_.time().now(), std::nullopt, false});
    router.begin_planned_stop([this, index, down, number] {
        planned_stops_[number].ended = world_.time().now();
        disturb(index, disturbance_kind::ended, down);
        world_.time().after(down, [this, index] { start_router(index); });
    });
}

void fault_driver::cut_off(const planned_fault& fault) {
    // A router loses the other routers, some engines and, every other time, the platform.
    const std::size_t index = fault.target % world_.routers().size();
    machine_set others;
    for (std::size_t other = 0; other < world_.routers().size(); ++other) {
        if (other != index) {
            others.insert(world_.routers()[other]->address());
        }
    }
    for (std::size_t engine = 0; engine < world_.engines().size(); ++engine) {
        if ((fault.companion >> (engine % 32U)) % 2 == 0) {
            others.insert(world_.engines()[engine]->address());
        }
    }
    if (fault.companion % 2 == 0) {
        others.insert(world_.platform().address());
    }
    world_.faults().add(fault_kind::cut);
    disturb(index, disturbance_kind::isolated, fault.length);
    const cut_id cut = world_.carrier().cut({world_.routers()[index]->address()}, others);
    world_.time().after(fault.length, [this, cut] { world_.carrier().heal(cut); });
}

void fault_driver::slow_network(const planned_fault& fault) {
    const std::size_t index = fault.target % world_.routers().size();
    const base::endpoint machine = world_.routers()[index]->address();
    world_.faults().add(fault_kind::slow_network);
    disturb(index, disturbance_kind::isolated, fault.length);
    world_.carrier().slow(machine, slow_latency);
    world_.time().after(
        fault.length, [this, machine] { world_.carrier().slow(machine, base::duration::zero()); });
}

void fault_driver::take_engine_away(simulated_engine& engine, base::duration away) {
    if (engine.is_down() || engine.is_leaving()) {
        return;
    }
    world_.faults().add(fault_kind::engine_leaving);
    engine.leave();
    world_.list_engine(engine);
    world_.time().after(notice_time, [this, &engine, away, meant = engine.process()] {
        if (engine.process() != meant || engine.is_down()) {
            return;
        }
        engine.crash(away);
        world_.time().after(away, [this, &engine] { world_.list_engine(engine); });
    });
}

void fault_driver::fault_engine(const planned_fault& fault) {
    const auto& engines = world_.engines();
    simulated_engine& engine = *engines[fault.target % engines.size()];
    virtual_time& time = world_.time();
    switch (fault.kind) {
        case fault_kind::engine_crash:
            engine.crash(fault.length);
            time.after(fault.length + base::duration(1),
                       [this, &engine] { world_.list_engine(engine); });
            break;
        case fault_kind::engine_slow:
            engine.set_slow_factor(slow_factor);
            time.after(fault.length, [&engine] { engine.set_slow_factor(1.0); });
            break;
        case fault_kind::engine_freeze:
            engine.freeze(fault.length);
            break;
        case fault_kind::engine_leaving:
            take_engine_away(engine, fault.length);
            return;
        case fault_kind::engine_overloaded:
            engine.set_refuse_overloaded(true);
            time.after(fault.length, [&engine] { engine.set_refuse_overloaded(false); });
            break;
        case fault_kind::stream_cut:
            engine.cut_streams();
            break;
        case fault_kind::application_lost_answer: {
            const std::size_t place = fault.target % world_.options().application_engines;
            // Counted by the engine as the answers are lost.
            engines[world_.options().engines + place]->lose_answers(1 +
                                                                    fault.companion % most_lost);
            return;
        }
        case fault_kind::event_gap:
            engine.lose_events(1 + fault.companion % most_lost_events);
            break;
        default:
            return;
    }
    world_.faults().add(fault.kind);
}

void fault_driver::fault_platform(const planned_fault& fault) {
    simulated_platform& platform = world_.platform();
    virtual_time& time = world_.time();
    if (fault.kind == fault_kind::platform_lost_answer) {
        // Counted by the platform as the answers are lost.
        platform.lose_answers(1 + fault.companion % most_lost);
        return;
    }
    world_.faults().add(fault.kind);
    platform_disturbances_.push_back({0, {}, time.now(), time.now() + fault.length + recovery});
    if (fault.kind == fault_kind::platform_outage) {
        platform.set_outage(true);
        time.after(fault.length, [&platform] { platform.set_outage(false); });
    } else if (fault.kind == fault_kind::platform_slow) {
        platform.set_delay(platform_delay);
        time.after(fault.length, [&platform] { platform.set_delay(base::duration::zero()); });
    } else {
        platform.set_rate(limited_rate);
        time.after(fault.length, [&platform] { platform.set_rate(std::nullopt); });
    }
}

void fault_driver::race_operators(const planned_fault& fault) {
    world_.faults().add(fault_kind::operator_race);
    const cluster_names names;
    const auto edit_price = [names](double price) {
        return [names, price](catalog::catalog& desired) {
            desired.routes.at(names.generation).recompute_price = price;
        };
    };
    const auto first = static_cast<double>(fault.target % 5);
    operators& team = world_.operator_team();
    team.edit(fault.target % world_.routers().size(), "first operator", edit_price(first),
              on_conflict::give_up);
    team.edit(fault.companion % world_.routers().size(), "second operator", edit_price(first + 0.5),
              on_conflict::give_up);
}

void fault_driver::change_weights(const planned_fault& fault) {
    world_.faults().add(fault_kind::weights_change);
    const cluster_names names;
    const base::weights_version version(std::to_string(next_version_++));
    const auto set_version = [names, version](catalog::catalog& desired) {
        desired.models.at(names.model).version = version;
    };
    const auto accepted = [this, names, version](base::revision revision) {
        weights_.push_back({version, revision, world_.time().now()});
        for (const auto& engine : world_.engines()) {
            engine->load_weights({names.model, version}, base::fencing_token(revision.value));
        }
    };
    world_.operator_team().edit(fault.target % world_.routers().size(), "weights operator",
                                set_version, on_conflict::edit_again, accepted);
}

void fault_driver::end_all() {
    ended_ = true;
    world_.carrier().heal_all();
    world_.carrier().settings().loss_share = 0;
    world_.carrier().settings().doubled_share = 0;
    world_.carrier().settings().reordered_share = 0;
    world_.platform().set_outage(false);
    world_.platform().set_delay(base::duration::zero());
    world_.platform().set_rate(std::nullopt);
    world_.platform().lose_no_answers();
    for (const auto& engine : world_.engines()) {
        engine->set_slow_factor(1.0);
        engine->set_refuse_overloaded(false);
        engine->lose_no_answers();
    }
    for (std::size_t index = 0; index < world_.routers().size(); ++index) {
        world_.routers()[index]->resume();
        start_router(index);
    }
}

bool fault_driver::was_disturbed(std::size_t router, base::monotonic_time from,
                                 base::monotonic_time until) const {
    return was_disturbed(router, disturbance_kind::ended, from, until) ||
           was_disturbed(router, disturbance_kind::isolated, from, until);
}

bool fault_driver::was_disturbed(std::size_t router, disturbance_kind kind,
                                 base::monotonic_time from, base::monotonic_time until) const {
    return std::any_of(disturbances_.begin(), disturbances_.end(), [&](const disturbance& held) {
        return held.router == router && held.kind == kind && held.from <= until &&
               from <= held.until;
    });
}

bool fault_driver::was_platform_disturbed(base::monotonic_time from,
                                          base::monotonic_time until) const {
    return std::any_of(
        platform_disturbances_.begin(), platform_disturbances_.end(),
        [&](const disturbance& held) { return held.from <= until && from <= held.until; });
}

}  // namespace ferryroad::bench::simulation
