/// Routers agree on the one that counts for a tenant, don't wait long for a silent router, and stay
/// within the limit without it.
#include "ferryroad/relay/quota_datagrams.hpp"

#include "ferryroad/peer/codec.hpp"
#include "ferryroad/quotas/quota_service.hpp"
#include "test/http/loopback.hpp"
#include "test/relay/fake_network.hpp"

#include <criterion/criterion.h>

#include <memory>
#include <string>

using namespace ferryroad;
using namespace ferryroad::relay;
using namespace ferryroad::relay::test;
using namespace std::chrono_literals;

namespace {

const coordination::quota::rate_limit limit{base::revision(1), 1000, 1000};

const core::topology::zone_map zones({{base::zone_name("z"), base::region_name("one")},
                                      {base::zone_name("other"), base::region_name("two")}});

/// A timeout of 20 ms for near routers. Distant ones are waited for much longer than the tests
/// take.
coordination::quota::answer_time_tunables test_answer_times() {
    coordination::quota::answer_time_tunables tunables;
    tunables.least_margin = 20ms;
    tunables.unmeasured_region = 10s;
    tunables.longest = 10s;
    return tunables;
}

struct router {
    router(ferryroad::test::loopback& loop, fake_network& network, std::uint16_t port,
           base::zone_name zone)
        : self{base::router_name("r" + std::to_string(port)), std::move(zone), {"10.0.0.1", port}},
          transport(network, self.address),
          datagrams(
              loop.scheduler, transport, self, zones,
              [this](const auto& asker, const auto& question, const auto&) {
                  return quotas.decide_for(asker, question);
              },
              test_answer_times()),
          quotas(loop.scheduler, self.name,
                 [this](base::router_name home, quotas::quota_ask question) {
                     return datagrams.ask(std::move(home), std::move(question));
                 }) {
        listen();
    }
    void listen() {
        transport.on_datagram([this](const base::endpoint& from, std::string_view bytes) {
            datagrams.handle_datagram(from, bytes);
        });
    }
    /// From now on datagrams to this router are lost.
    void fall_silent() {
        transport.on_datagram([](const auto&, auto) {});
    }

    peer_address self;
    fake_transport transport;
    quota_datagrams datagrams;
    quotas::quota_service quotas;
};

struct fixture {
    ferryroad::test::loopback loop;
    fake_network network;
    std::vector<std::unique_ptr<router>> routers;

    /// @param in_two_regions half of the routers are in another region.
    explicit fixture(std::uint16_t size, bool in_two_regions = false) {
        network.scheduler = &loop.scheduler;
        std::vector<peer_address> present;
        std::vector<base::router_name> names;
        for (std::uint16_t port = 1; port <= size; ++port) {
            const base::zone_name zone(in_two_regions && port % 2 == 0 ? "other" : "z");
            routers.push_back(std::make_unique<router>(loop, network, port, zone));
            present.push_back(routers.back()->self);
            names.push_back(routers.back()->self.name);
        }
        for (const auto& one : routers) {
            one->datagrams.set_routers(present);
            one->quotas.set_routers(names);
            one->quotas.expect_routers(size);
        }
    }
    quotas::quota_decision count(std::size_t index, double amount) {
        quotas::quota_decision decided;
        loop.context.restart();
        const bool ended = loop.run([&]() -> runtime::task<void> {
            decided = co_await routers[index]->quotas.count(base::tenant_name("t"), limit, amount);
        });
        cr_assert(ended);
        return decided;
    }
    /// Asks one router again and again. @return whether it ever answered in time.
    bool ask_until_answered(router& asking, const router& home) {
        loop.context.restart();
        return loop.run([&]() -> runtime::task<void> {
            bool answered = false;
            while (!answered) {
                base::router_name target = home.self.name;
                quotas::quota_ask question{base::tenant_name("t"), 1, limit};
                const auto verdict =
                    co_await asking.datagrams.ask(std::move(target), std::move(question));
                answered = verdict.has_value();
            }
        });
    }
    /// @return the router that counts for the tenant.
    router& home() {
        const auto name = count(0, 1).counted_by;
        for (const auto& one : routers) {
            if (one->self.name == name) {
                return *one;
            }
        }
        cr_assert_fail("no router counted for the tenant");
        return *routers[0];
    }
    std::size_t other_than(const router& home) const { return routers[0].get() == &home ? 1 : 0; }
};

}  // namespace

Test(quota_datagrams, all_routers_ask_the_same_one) {
    fixture at(5);
    const auto first = at.count(0, 1);
    cr_assert(first.verdict.granted);
    for (std::size_t index = 1; index < 5; ++index) {
        cr_assert(at.count(index, 1).counted_by == first.counted_by);
    }
    cr_assert_eq(at.count(0, 1).verdict.askers, 5);
}

Test(quota_datagrams, all_routers_draw_on_the_same_quota) {
    fixture at(3);
    for (std::size_t index = 0; index < 3; ++index) {
        at.count(index, 1);
    }
    cr_assert(at.count(0, 2000).verdict.granted);
    const auto refused = at.count(1, 1);
    cr_assert_not(refused.verdict.granted);
    cr_assert_gt(refused.verdict.retry_after.count(), 0);
}

Test(quota_datagrams, a_single_router_counts_for_itself) {
    fixture at(1);
    cr_assert(at.count(0, 1).counted_by == at.routers[0]->self.name);
    cr_assert_eq(at.network.sent, 0);
}

Test(quota_datagrams, a_silent_home_is_replaced_by_the_next_router) {
    fixture at(3);
    router& home = at.home();
    home.fall_silent();
    const std::size_t asking = at.other_than(home);
    at.count(asking, 1);
    const auto decided = at.count(asking, 1);
    cr_assert(decided.verdict.granted);
    cr_assert_neq(decided.counted_by, home.self.name);
    at.count(asking, 1);
    cr_assert_eq(at.routers[asking]->quotas.asks().asks_unanswered, 3,
                 "a silent router must not be asked again");
}

/// Routers took the routers of other regions for silent, and each region counted for itself.
Test(quota_datagrams, the_answers_of_another_region_are_not_taken_for_silence) {
    fixture at(2, true);
    at.network.delay = 30ms;
    const router& home = at.home();
    const std::size_t asking = at.other_than(home);
    for (int ask = 0; ask < 4; ++ask) {
        cr_assert(at.count(asking, 1).counted_by == home.self.name);
    }
    cr_assert_eq(at.routers[asking]->quotas.asks().asks_unanswered, 0);
}

Test(quota_datagrams, answers_that_are_late_at_first_are_waited_for_later) {
    fixture at(2);
    const router& home = at.home();
    router& asking = *at.routers[at.other_than(home)];
    at.network.delay = 30ms;
    cr_assert(at.ask_until_answered(asking, home));
    cr_assert_gt(asking.datagrams.late_answers(), 0);
}

Test(quota_datagrams, an_isolated_router_grants_at_most_its_own_share) {
    fixture at(3);
    router& home = at.home();
    const std::size_t asking = at.other_than(home);
    for (const auto& one : at.routers) {
        one->fall_silent();
    }
    double granted = 0;
    for (int index = 0; index < 50; ++index) {
        granted += at.count(asking, 100).verdict.granted ? 100 : 0;
    }
    // It may be the next in line to count for the tenant; it then grants the share of one asker.
    cr_assert_lt(granted, 1000);
    cr_assert_gt(granted, 0);
}

Test(quota_datagrams, late_duplicated_and_foreign_answers_are_ignored) {
    fixture at(3);
    router& home = at.home();
    router& asking = *at.routers[at.other_than(home)];
    const auto grant = [](std::uint64_t number, const base::router_name& sender) {
        peer::quota_grant forged{number, {true, {}, 1}};
        return peer::encode(peer::call{sender, base::incarnation(0), forged});
    };
    asking.datagrams.handle_datagram(home.self.address, grant(1, home.self.name));
    asking.datagrams.handle_datagram(home.self.address, "noise");
    asking.datagrams.handle_datagram(
        home.self.address,
        peer::encode(peer::call{home.self.name, base::incarnation(0), peer::empty{}}));
    cr_assert_eq(asking.datagrams.malformed(), 2);
    cr_assert(at.count(at.other_than(home), 1).counted_by == home.self.name);
}
