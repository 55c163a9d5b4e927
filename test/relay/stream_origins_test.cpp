/// Tests that a router finds out where a stream began which it never saw, and what it does without
/// knowing.
#include "ferryroad/relay/stream_origins.hpp"

#include "test/http/loopback.hpp"
#include "test/relay/fake_network.hpp"

#include <criterion/criterion.h>

#include <memory>
#include <string>
#include <vector>

using namespace ferryroad;
using namespace ferryroad::relay;
using namespace ferryroad::relay::test;
using namespace std::chrono_literals;
using coordination::stream::software_version;

namespace {

const base::pool_name pool("p");
const base::request_id attempt("first attempt");

listed_engine engine_of(const char* name, const char* software) {
    listed_engine one;
    one.name.value = name;
    one.pool = pool;
    one.address = {"127.0.0.1", 1};
    one.zone.value = "z";
    one.software.value = software;
    return one;
}

struct router {
    router(ferryroad::test::loopback& loop, fake_network& network, const peer_address& address,
           const core::topology::zone_map& zones,
           const stream_origin_settings& changed = settings())
        : self(address),
          transport(network, address.address),
          origins(loop.scheduler, transport, registry, address, zones, changed) {
        transport.on_datagram([this](const base::endpoint& from, std::string_view bytes) {
            origins.handle_datagram(from, bytes);
        });
    }
    static stream_origin_settings settings() {
        stream_origin_settings all;
        all.answer_timeout = 20ms;
        all.far_answer_timeout = 20ms;
        all.list_timeout = 60ms;
        all.list_check_interval = 2ms;
        return all;
    }
    void list(const std::vector<listed_engine>& engines, base::monotonic_time now) {
        registry.replace_all(engines, now);
        origins.engines_changed();
        confirm_list(now);
    }
    void confirm_list(base::monotonic_time as_of) {
        registry.confirm(as_of);
        origins.engines_confirmed(as_of);
    }
    /// From now on datagrams to this router are lost.
    void fall_silent() {
        transport.on_datagram([](const auto&, auto) {});
    }

    peer_address self;
    engine_registry registry;
    fake_transport transport;
    stream_origins origins;
};

/// Routers that list engines of two versions. Every other router is in another zone.
struct fixture {
    ferryroad::test::loopback loop;
    fake_network network;
    std::vector<std::unique_ptr<router>> routers;

    explicit fixture(std::uint16_t size, const core::topology::zone_map& zones = {}) {
        std::vector<peer_address> present;
        for (std::uint16_t port = 1; port <= size; ++port) {
            const peer_address self{base::router_name("r" + std::to_string(port)),
                                    base::zone_name(port % 2 == 0 ? "za" : "zb"),
                                    {"10.0.0.1", port}};
            routers.push_back(std::make_unique<router>(loop, network, self, zones));
            routers.back()->list({engine_of("e1", "v1"), engine_of("e2", "v2")},
                                 loop.scheduler.now());
            present.push_back(self);
        }
        for (const auto& one : routers) {
            one->origins.set_routers(present);
        }
    }
    void begin_stream(std::size_t index) {
        routers[index]->origins.record(attempt, pool, software_version("v2"));
    }
    /// The search of a router whose engine list changes, and is confirmed, while it waits.
    origin_search find_and_list(router& one, std::vector<listed_engine> engines) {
        loop.context.restart();
        loop.scheduler.spawn("list", list_later(one, std::move(engines)));
        return find_at(one);
    }
    runtime::task<void> list_later(router& one, std::vector<listed_engine> engines) {
        co_await loop.scheduler.sleep_for(30ms);
        one.list(engines, loop.scheduler.now());
    }
    origin_search find_at(router& one, const std::optional<base::request_id>& resumed = attempt) {
        origin_search found;
        loop.context.restart();
        const bool ended = loop.run([&]() -> runtime::task<void> {
            relay_call call;
            call.resumed_attempt = resumed;
            call.last_event_id = 3;
            found = co_await one.origins.find(call, pool, loop.scheduler.now() + time_left);
        });
        cr_assert(ended);
        return found;
    }
    base::duration time_left = 5s;  ///< Until the caller's deadline.
    origin_search find(std::size_t index,
                       const std::optional<base::request_id>& resumed = attempt) {
        return find_at(*routers[index], resumed);
    }
};

}  // namespace

Test(stream_origins, every_router_finds_the_version_of_a_stream_whose_router_is_lost) {
    for (const std::uint16_t size : {2, 3, 7, 20}) {
        fixture all(size);
        all.begin_stream(0);
        all.routers[0]->fall_silent();
        for (std::size_t index = 1; index < size; ++index) {
            const origin_search search = all.find(index);
            cr_assert(search.found);
            cr_assert(search.found->origin.software == software_version("v2"));
        }
    }
}

Test(stream_origins, an_origin_is_found_as_long_as_one_replica_is_left) {
    fixture all(7);
    all.begin_stream(0);
    std::size_t kept = 0;
    for (std::size_t index = 1; index < 7; ++index) {
        if (all.routers[index]->origins.kept() > 0 && ++kept < 3) {
            all.routers[index]->fall_silent();
        }
    }
    cr_assert_eq(kept, 3);
    all.routers[0]->fall_silent();
    for (std::size_t index = 1; index < 7; ++index) {
        cr_assert(all.find(index).found);
    }
}

Test(stream_origins, an_origin_that_no_router_knows_is_not_guessed) {
    fixture all(5);
    cr_assert(all.find(2).source == origin_source::unknown);
    cr_assert_not(all.find(2).found);
    cr_assert_not(all.find(2, std::nullopt).found);
}

Test(stream_origins, silent_routers_delay_a_search_by_two_timeouts_at_most) {
    fixture all(7);
    for (std::size_t index = 1; index < 7; ++index) {
        all.routers[index]->fall_silent();
    }
    const base::monotonic_time began = all.loop.scheduler.now();
    cr_assert_not(all.find(0).found);
    cr_assert_lt(base::to_milliseconds(all.loop.scheduler.now() - began), 200);
}

// A process that has just started can't know of engines that left before.
Test(stream_origins, the_only_version_listed_is_taken_by_a_process_that_long_saw_no_other) {
    fixture all(3);
    router& last = *all.routers[2];
    last.list({engine_of("e1", "v1")}, all.loop.scheduler.now());
    cr_assert_not(all.find(2).found, "another version was listed a moment ago");
    fixture restarted(1);
    stream_origin_settings settings = router::settings();
    settings.table.retention = 100ms;
    router fresh(restarted.loop, restarted.network, restarted.routers[0]->self, {}, settings);
    fresh.list({engine_of("e1", "v1")}, restarted.loop.scheduler.now());
    cr_assert_not(restarted.find_at(fresh).found, "the process has just started");
    restarted.loop.context.restart();
    cr_assert(restarted.loop.run([&] { return restarted.loop.scheduler.sleep_for(100ms); }));
    const origin_search found = restarted.find_and_list(fresh, {engine_of("e1", "v1")});
    cr_assert(found.source == origin_source::sole_version);
    cr_assert(found.found->origin.software == software_version("v1"));
}

namespace {

/// A router that has followed a list of engines of one version for longer than origins are kept,
/// and that reaches no other router.
struct router_alone {
    explicit router_alone(const stream_origin_settings& settings = short_retention())
        : one(all.loop, all.network, all.routers[0]->self, {}, settings) {
        one.list({engine_of("e1", "v1")}, all.loop.scheduler.now());
        wait(60ms);
    }
    static stream_origin_settings short_retention() {
        stream_origin_settings changed = router::settings();
        changed.table.retention = 50ms;
        return changed;
    }
    void wait(base::duration time) {
        all.loop.context.restart();
        cr_assert(all.loop.run([&] { return all.loop.scheduler.sleep_for(time); }));
    }

    fixture all{1};
    router one;
};

}  // namespace

// Guards against streams joined from two versions by a router that did not learn in time of the
// engines at which they began.
Test(stream_origins, a_router_with_an_outdated_list_does_not_take_the_only_version_in_it) {
    router_alone cut_off;
    const origin_search search = cut_off.all.find_at(cut_off.one);
    cr_assert_not(search.found);
    cr_assert(search.doubt == origin_doubt::list_not_confirmed);
    router_alone behind;
    const origin_search later =
        behind.all.find_and_list(behind.one, {engine_of("e1", "v1"), engine_of("e2", "v2")});
    cr_assert_not(later.found);
    cr_assert(later.doubt == origin_doubt::several_versions);
}

Test(stream_origins, a_search_ends_at_the_callers_deadline) {
    stream_origin_settings patient = router_alone::short_retention();
    patient.list_timeout = 1h;
    router_alone cut_off(patient);
    cut_off.all.time_left = 25ms;
    const origin_search search = cut_off.all.find_at(cut_off.one);
    cr_assert_not(search.found);
    cr_assert(search.doubt == origin_doubt::list_not_confirmed);
}

// Engines of another version may have come and gone meanwhile.
Test(stream_origins, a_router_that_did_not_follow_the_engines_for_a_while_takes_no_version) {
    router_alone stopped;
    stopped.wait(30ms);
    stopped.one.origins.engines_confirmed(stopped.all.loop.scheduler.now() + 4s);
    const origin_search search = stopped.all.find_and_list(stopped.one, {engine_of("e1", "v1")});
    cr_assert_not(search.found);
    cr_assert(search.doubt == origin_doubt::not_proven);
}

// A list that is behind may lack the engines of the version that began the stream.
Test(stream_origins, a_sole_version_in_an_outdated_list_is_not_taken) {
    fixture all(2);
    stream_origin_settings settings = router::settings();
    settings.table.retention = 50ms;
    router fresh(all.loop, all.network, all.routers[0]->self, {}, settings);
    fresh.list({engine_of("e1", "v1")}, all.loop.scheduler.now() - 4s);
    all.loop.context.restart();
    cr_assert(all.loop.run([&] { return all.loop.scheduler.sleep_for(60ms); }));
    cr_assert_not(all.find_at(fresh).found);
    fresh.confirm_list(all.loop.scheduler.now());
    cr_assert_not(all.find_at(fresh).found, "the list was not followed without a gap");
    all.loop.context.restart();
    cr_assert(all.loop.run([&] { return all.loop.scheduler.sleep_for(60ms); }));
    cr_assert_not(all.find_at(fresh).found, "the list is older than the search");
    cr_assert(all.find_and_list(fresh, {engine_of("e1", "v1")}).found);
}

// The router has seen one version for longer than origins are kept, as its list is behind.
Test(stream_origins, other_routers_are_asked_before_a_sole_version_is_taken) {
    fixture all(4);
    all.begin_stream(0);
    const peer_address self{base::router_name("r9"), base::zone_name("za"), {"10.0.0.1", 9}};
    stream_origin_settings settings = router::settings();
    settings.table.retention = 10ms;
    router behind(all.loop, all.network, self, {}, settings);
    std::vector<peer_address> present;
    for (const auto& one : all.routers) {
        present.push_back(one->self);
    }
    behind.origins.set_routers(present);
    behind.list({engine_of("e1", "v1")}, all.loop.scheduler.now());
    all.loop.context.restart();
    cr_assert(all.loop.run([&] { return all.loop.scheduler.sleep_for(20ms); }));
    cr_assert(all.find_at(behind).found->origin.software == software_version("v2"));
}

namespace {

runtime::task<void> deliver_later(router& to, base::endpoint from, std::string bytes,
                                  runtime::scheduler& scheduler) {
    co_await scheduler.sleep_for(5ms);
    to.origins.handle_datagram(from, bytes);
}

/// Makes a router receive datagrams late.
void make_late(fixture& all, std::size_t index) {
    router& late = *all.routers[index];
    late.transport.on_datagram([&all, &late](const base::endpoint& from, std::string_view bytes) {
        all.loop.scheduler.spawn("late",
                                 deliver_later(late, from, std::string(bytes), all.loop.scheduler));
    });
}

/// Makes a router answer each query several times, without knowing any origin.
void make_repetitive(fixture& all, std::size_t index) {
    router& one = *all.routers[index];
    one.transport.on_datagram([&one](const base::endpoint& from, std::string_view bytes) {
        constexpr int copies = 4;
        const auto message = peer::decode_stream_origin_message(bytes);
        const auto query = std::get<peer::origin_query>(message->body);
        const peer::origin_answer unknown{query.number, std::nullopt};
        for (int copy = 0; copy < copies; ++copy) {
            one.transport.send(from, peer::encode({one.self.name, unknown}));
        }
    });
}

}  // namespace

// Guards against a search that ends before the router that knows the origin has answered.
Test(stream_origins, repeated_answers_of_a_router_are_not_taken_for_those_of_others) {
    fixture all(4);
    all.begin_stream(0);
    make_late(all, 0);
    std::vector<peer_address> present;
    for (std::size_t index = 0; index < all.routers.size(); ++index) {
        present.push_back(all.routers[index]->self);
        if (index > 0) {
            make_repetitive(all, index);
        }
    }
    const peer_address self{base::router_name("r9"), base::zone_name("za"), {"10.0.0.1", 9}};
    stream_origin_settings patient = router::settings();
    patient.answer_timeout = 1s;
    router asking(all.loop, all.network, self, {}, patient);
    asking.origins.set_routers(present);
    asking.list({engine_of("e1", "v1"), engine_of("e2", "v2")}, all.loop.scheduler.now());
    const origin_search search = all.find_at(asking);
    cr_assert(search.found.has_value());
    cr_assert(search.found->origin.software == software_version("v2"));
}

Test(stream_origins, origins_are_replicated_within_the_region_and_found_from_another) {
    const core::topology::zone_map zones({{base::zone_name("za"), base::region_name("a")},
                                          {base::zone_name("zb"), base::region_name("b")}});
    fixture all(12, zones);
    all.begin_stream(0);
    for (std::size_t index = 1; index < 12; ++index) {
        const bool same_region = all.routers[index]->self.zone == all.routers[0]->self.zone;
        cr_assert(same_region || all.routers[index]->origins.kept() == 0);
    }
    all.routers[0]->fall_silent();
    cr_assert(all.find(1).found);
    cr_assert(all.find(2).found);
}

Test(stream_origins, malformed_datagrams_are_counted) {
    fixture all(1);
    all.routers[0]->origins.handle_datagram({"10.0.0.1", 9}, "not a message");
    cr_assert_eq(all.routers[0]->origins.counters().malformed, 1);
}
