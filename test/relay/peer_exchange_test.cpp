/// Traffic notices carry what one router knows of load, prompts, weights and holders to the others.
#include "ferryroad/relay/peer_exchange.hpp"

#include "test/http/loopback.hpp"
#include "test/relay/fake_network.hpp"

#include <memory>
#include <vector>

using namespace ferryroad;
using namespace ferryroad::relay;
using namespace ferryroad::relay::test;
using namespace std::chrono_literals;

namespace {

const base::engine_name engine("e1");
const std::vector<core::prefix::scoped_part> parts = {{core::prefix::part_key(7), 6300}};

struct router {
    router(ferryroad::test::loopback& loop, fake_network& network, std::uint16_t port)
        : self{base::router_name("r" + std::to_string(port)),
               base::zone_name("z"),
               {"10.0.0.1", port}},
          transport(network, self.address),
          exchange(
              {loop.scheduler, transport, registry, warm, loads}, self,
              [this](const peer::holder_changes& told) { received_changes.push_back(told); },
              settings()) {
        listed_engine one;
        one.name = engine;
        one.versions["m"] = 1;
        registry.put(one);
        registry.on_newer_weights([this](const auto& name, const auto& model, auto version) {
            exchange.queue_seen_weights({name, model, version});
        });
        transport.on_datagram([this](const base::endpoint& from, std::string_view bytes) {
            exchange.handle_datagram(from, bytes);
        });
        exchange.start();
    }
    static peer_exchange_settings settings() {
        peer_exchange_settings all;
        all.notice_interval = 2ms;
        all.heartbeat_interval = 50ms;
        return all;
    }

    peer_address self;
    fake_transport transport;
    engine_registry registry;
    core::placement::warm_state warm;
    core::placement::engine_load_view loads;
    std::vector<peer::holder_changes> received_changes;
    peer_exchange exchange;
};

struct fixture {
    ferryroad::test::loopback loop;
    fake_network network;
    router first{loop, network, 1};
    router second{loop, network, 2};

    fixture() {
        first.exchange.set_routers({first.self, second.self});
        second.exchange.set_routers({first.self, second.self});
    }
    bool until(std::function<bool()> holds) {
        loop.context.restart();
        return loop.run([&] { return loop.until(holds); });
    }
};

}  // namespace

Test(peer_exchange, a_long_prompt_is_announced_at_once) {
    fixture at;
    const engine_load load(at.first.registry, engine, 9190);
    at.first.exchange.dispatched(engine, parts, 9190);
    const auto now = at.loop.scheduler.now();
    cr_assert(at.second.loads.totals(now).at(engine) ==
              (core::placement::peer_load{1, 9190, false}));
    cr_assert_eq(at.second.warm.tokens_held(parts, engine, now), 6300);
}

Test(peer_exchange, other_load_is_sent_with_the_next_notice_and_removed_again) {
    fixture at;
    {
        const engine_load load(at.first.registry, engine, 100);
        at.first.exchange.dispatched(engine, {}, 100);
        cr_assert_eq(at.network.sent, 0);
        cr_assert(
            at.until([&] { return !at.second.loads.totals(at.loop.scheduler.now()).empty(); }));
    }
    cr_assert(at.until([&] { return at.second.loads.totals(at.loop.scheduler.now()).empty(); }));
}

// Guards against notices that are larger than a datagram, which the transport does not send.
Test(peer_exchange, loads_that_fill_a_datagram_are_sent) {
    fixture at;
    at.first.exchange.on_known_weights([] {
        std::vector<core::placement::known_weights> many;
        for (int model = 0; model < 6; ++model) {
            many.push_back({"a-model-of-a-long-name-" + std::to_string(model), 1000});
        }
        return many;
    });
    const auto now = at.loop.scheduler.now();
    std::vector<std::unique_ptr<engine_load>> loads;
    for (int number = 0; number < 30; ++number) {
        listed_engine one;
        one.name.value = "i-0123456789-" + std::to_string(number);
        at.first.registry.put(one);
        loads.push_back(
            std::make_unique<engine_load>(at.first.registry, one.name, 100, true, true));
    }
    const base::engine_name storing("i-0123456789-29");
    at.first.registry.add_state_use(storing, std::make_shared<state_use>(state_use{now + 1h}), now);
    std::vector<core::prefix::scoped_part> many_parts(
        60, {core::prefix::part_key(7), std::uint64_t{100}});
    at.first.exchange.dispatched(storing, many_parts, 9190);
    cr_assert(at.second.loads.totals(now).at(storing).state_used_for > 59min);
    cr_assert_gt(at.second.loads.totals(now).size(), 15);
    cr_assert_gt(at.second.warm.tokens_held(many_parts, storing, now), 0);
}

// Guards against an engine that loads newer weights while a request that stores state runs there,
// which its router sent right before a planned stop.
Test(peer_exchange, a_router_that_stops_reports_its_loads_for_the_last_time) {
    fixture at;
    const auto now = at.loop.scheduler.now();
    at.first.registry.add_state_use(engine, std::make_shared<state_use>(state_use{now + 9s}), now);
    at.first.exchange.stop();
    cr_assert(at.second.loads.totals(now + 5s).at(engine).state_used_for > 3s);
}

// Guards against loads that count as current though their router has not heard of newer weights,
// and against versions that are reported for the first models only.
Test(peer_exchange, routers_report_which_weights_they_know_of) {
    fixture at;
    std::uint64_t newest = 1;
    at.first.exchange.on_known_weights([&] {
        std::vector<core::placement::known_weights> all;
        for (int model = 0; model < 6; ++model) {
            all.push_back({"m" + std::to_string(model), newest});
        }
        return all;
    });
    const auto all_current = [&](std::uint64_t version) {
        for (int model = 0; model < 6; ++model) {
            if (!at.second.exchange.reports_are_current("m" + std::to_string(model), version)) {
                return false;
            }
        }
        return true;
    };
    cr_assert(at.until([&] { return at.second.exchange.live_peers() == 1 && all_current(1); }));
    cr_assert_not(at.second.exchange.reports_are_current("m5", 2));
    newest = 2;
    cr_assert(at.until([&] { return all_current(2); }));
}

Test(peer_exchange, newer_weights_are_passed_on_once) {
    fixture at;
    at.first.registry.record_version(engine, "m", 2);
    cr_assert(at.until([&] { return at.second.registry.find(engine)->version_of("m") == 2; }));
    cr_assert_eq(at.first.exchange.notices_malformed(), 0);
}

Test(peer_exchange, limits_of_engines_are_announced_at_once_and_then_with_the_next_notice) {
    fixture at;
    std::vector<peer::stated_engine_limit> told;
    at.second.exchange.on_limit_announced(
        [&](const peer::stated_engine_limit& one, const base::router_name& from) {
            cr_assert(from == at.first.self.name);
            told.push_back(one);
        });
    at.first.exchange.announce_limit({engine, 7, 1.4, {}});
    cr_assert_eq(told.size(), 1);
    cr_assert(told[0] == (peer::stated_engine_limit{engine, 7, 1.4, {}}));
    at.first.exchange.announce_limit({engine, 7, 2.0, {}});
    at.first.exchange.announce_limit({engine, 7, std::nullopt, {}});
    cr_assert_eq(told.size(), 1);
    cr_assert(at.until([&] { return told.size() == 2; }));
    cr_assert_not(told[1].per_second, "the last one of an engine");
}

Test(peer_exchange, lost_paths_are_announced_at_once_and_again_until_they_return) {
    fixture at;
    std::vector<bool> told;
    at.second.exchange.on_paths_announced([&](const base::router_name& from, bool lost) {
        cr_assert(from == at.first.self.name);
        told.push_back(lost);
    });
    at.first.exchange.announce_paths(true);
    cr_assert_eq(told.size(), 1);
    cr_assert(told.back());
    cr_assert(at.until([&] { return told.size() >= 3; }));
    cr_assert(told.back());
    at.first.exchange.announce_paths(false);
    cr_assert_not(told.back());
}

Test(peer_exchange, holder_changes_are_split_over_several_datagrams) {
    fixture at;
    for (std::uint64_t number = 0; number < 10; ++number) {
        peer::holder_changes one{engine, 1, number * 40, number * 40 + 40, {}};
        one.parts.resize(40, parts.front());
        at.first.exchange.queue_holder_changes(one);
    }
    cr_assert(at.until([&] { return at.second.received_changes.size() == 10; }));
    cr_assert_eq(at.second.received_changes.back().next, 400);
}

Test(peer_exchange, an_idle_router_sends_heartbeats) {
    fixture at;
    cr_assert(at.until([&] { return at.first.exchange.live_peers() == 1; }));
    cr_assert(at.until([&] { return at.second.exchange.live_peers() == 1; }));
}

Test(peer_exchange, a_router_that_starts_later_is_known_from_its_notices) {
    fixture at;
    router third(at.loop, at.network, 3);
    third.exchange.set_routers({at.first.self, third.self});
    cr_assert(at.until(
        [&] { return at.first.exchange.live_peers() == 2 && third.exchange.live_peers() == 1; }));
}

Test(peer_exchange, malformed_datagrams_are_counted_and_dropped) {
    fixture at;
    at.network.handlers[at.second.self.address](at.first.self.address, "junk");
    cr_assert_eq(at.second.exchange.notices_malformed(), 1);
    cr_assert_eq(at.second.exchange.live_peers(), 0);
}

Test(peer_exchange, input_before_the_start_is_dropped) {
    ferryroad::test::loopback loop;
    fake_network network;
    engine_registry registry;
    core::placement::warm_state warm;
    core::placement::engine_load_view loads;
    fake_transport transport(network, {"10.0.0.1", 1});
    peer_exchange exchange({loop.scheduler, transport, registry, warm, loads},
                           {base::router_name("r"), base::zone_name("z"), {"10.0.0.1", 1}},
                           [](const peer::holder_changes&) {});
    exchange.set_routers({{base::router_name("q"), base::zone_name("z"), {"10.0.0.1", 2}}});
    exchange.dispatched(engine, parts, 9000);
    exchange.queue_holder_changes({engine, 1, 0, 1, {}});
    cr_assert_eq(network.sent, 0);
}

/// The router that runs a weights rollout notifies all routers at once, those of other blocks (here
/// another zone) included, so that none of them sends requests to an engine that is loading.
Test(peer_exchange, loading_and_loaded_weights_are_announced_to_all_blocks_at_once) {
    fixture at;
    std::vector<std::unique_ptr<router>> others;
    std::vector<peer_address> present{at.first.self, at.second.self};
    for (std::uint16_t port = 3; port < 30; ++port) {
        others.push_back(std::make_unique<router>(at.loop, at.network, port));
        others.back()->self.zone.value = "far";
        present.push_back(others.back()->self);
    }
    at.first.exchange.set_routers(present);
    const router& far = *others.back();
    const auto now = at.loop.scheduler.now();
    at.first.exchange.announce({{{engine, "m", 2, 1200ms}}, {}});
    const known_engine* seen = others.back()->registry.find(engine);
    cr_assert_geq((seen->loading_until - now).count(), base::duration(1200ms).count());
    cr_assert_eq(far.registry.engines().at(engine).version_of("m"), 1);
    at.first.exchange.announce({{}, {{engine, "m", 2}}});
    cr_assert_eq(seen->version_of("m"), 2);
    cr_assert(seen->loading_until == base::monotonic_time{}, "the engine must be available again");
    at.first.exchange.announce({{{engine, "m", 2, 1200ms}}, {}});
    cr_assert(seen->loading_until == base::monotonic_time{},
              "a late announcement of a finished load must be ignored");
}
