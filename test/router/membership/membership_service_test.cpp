/// Routers discover each other over the peer transport and agree on the owners of keys.
#include "ferryroad/router/membership/membership_service.hpp"

#include "ferryroad/peer/asio_transport.hpp"
#include "ferryroad/router/membership/live_router_views.hpp"
#include "ferryroad/runtime/asio_scheduler.hpp"
#include "test/router/membership/simulated_peers.hpp"

#include <boost/asio/io_context.hpp>
#include <criterion/criterion.h>

#include <algorithm>

namespace {

using namespace ferryroad;
using namespace ferryroad::router::membership;
using namespace ferryroad::router::membership::test;

std::optional<router_state> state_of(const membership_service& membership, std::size_t index) {
    for (const router_info& router : membership.known()) {
        if (router.name == name_of(index)) {
            return router.state;
        }
    }
    return std::nullopt;
}

}  // namespace

Test(membership_service, routers_agree_on_live_routers_and_key_owners) {
    simulated_peers group(6);
    cr_assert(group.run_until([&] { return group.all_see(6); }));
    std::size_t owned_count = 0;
    for (std::uint64_t key = 0; key < 200; ++key) {
        const auto owners = group.peers[0]->membership.owners_of(key * 0x9e3779b97f4a7c15ULL);
        cr_assert(owners.has_value());
        cr_assert(owners->standby.has_value());
        for (const auto& peer : group.peers) {
            const auto other = peer->membership.owners_of(key * 0x9e3779b97f4a7c15ULL);
            cr_assert(other->owner.name == owners->owner.name);
            cr_assert(other->standby->name == owners->standby->name);
            owned_count += peer->membership.owned_here(key * 0x9e3779b97f4a7c15ULL) ? 1 : 0;
        }
    }
    cr_assert_eq(owned_count, 200);
}

Test(membership_service, the_standby_becomes_owner_when_the_owner_crashes) {
    simulated_peers group(5);
    cr_assert(group.run_until([&] { return group.all_see(5); }));
    const auto before = group.peers[0]->membership.owners_of(42);
    const std::size_t owner = static_cast<std::size_t>(before->owner.name.value.back() - '0');
    int changes = 0;
    const std::size_t viewer = owner == 0 ? 1 : 0;
    group.peers[viewer]->membership.on_change([&] { ++changes; });
    group.crash(owner);
    cr_assert(group.run_until([&] { return group.all_see(4); }));
    const auto after = group.peers[viewer]->membership.owners_of(42);
    cr_assert(after->owner.name == before->standby->name);
    cr_assert_gt(changes, 0);
}

Test(membership_service, a_leaving_router_owns_no_keys) {
    simulated_peers group(4);
    cr_assert(group.run_until([&] { return group.all_see(4); }));
    simulated_peer& leaving = *group.peers[2];
    leaving.scheduler.run([&] { leaving.membership.leave(); });
    cr_assert(group.run_until([&] { return group.all_see(3); }, 5s));
    cr_assert(state_of(group.peers[0]->membership, 2) == router_state::leaving);
    for (std::uint64_t key = 0; key < 100; ++key) {
        cr_assert_not(leaving.membership.owned_here(key));
    }
    leaving.scheduler.run([&] { leaving.membership.stop(); });
    cr_assert(group.run_until(
        [&] { return state_of(group.peers[0]->membership, 2) == router_state::dead; }, 5s));
}

Test(membership_service, a_restarted_process_is_distinguished_from_a_refuted_death) {
    simulated_peers group(3);
    cr_assert(group.run_until([&] { return group.all_see(3); }));
    const liveness_view liveness(group.peers[0]->membership);
    cr_assert_eq(liveness.live_routers(), 3);
    cr_assert_not(liveness.known_dead(name_of(2), base::incarnation(1)));
    cr_assert_not(liveness.known_dead(base::router_name("stranger"), base::incarnation(1)));
    // Partitioned until the others declare it dead, then reconnected: it is still the same process.
    const auto cut = group.network.cut({address_of(2)}, {address_of(0), address_of(1)});
    cr_assert(group.run_until([&] { return liveness.live_routers() == 2; }));
    cr_assert(liveness.known_dead(name_of(2), base::incarnation(1)));
    group.network.heal(cut);
    cr_assert(group.run_until([&] { return group.all_see(3); }));
    cr_assert_not(liveness.known_dead(name_of(2), base::incarnation(1)),
                  "a refuted death was mistaken for a restart");
    group.start(2, 9);
    cr_assert(
        group.run_until([&] { return liveness.known_dead(name_of(2), base::incarnation(1)); }));
    cr_assert_not(liveness.known_dead(name_of(2), base::incarnation(9)));
}

Test(membership_service, revisions_and_leaving_engines_are_gossiped) {
    simulated_peers group(5);
    cr_assert(group.run_until([&] { return group.all_see(5); }));
    group.peers[1]->revision = base::revision(12);
    simulated_peer& reporter = *group.peers[3];
    reporter.scheduler.run([&] {
        reporter.membership.gossip_engine_leaving(base::engine_name("engine-7"),
                                                  base::incarnation(4));
    });
    const auto is_informed = [&](const auto& peer) {
        const bool knows_revision = peer == group.peers[1] ||
                                    std::count(peer->revisions_seen.begin(),
                                               peer->revisions_seen.end(), base::revision(12)) > 0;
        return knows_revision && peer->engines_leaving == std::vector<std::string>{"engine-7/4"};
    };
    cr_assert(group.run_until(
        [&] { return std::all_of(group.peers.begin(), group.peers.end(), is_informed); }, 5s));
}

Test(membership_service, malformed_datagrams_are_counted) {
    simulated_peers group(2);
    cr_assert(group.run_until([&] { return group.all_see(2); }));
    simulated_peer& sender = *group.peers[0];
    sender.scheduler.run([&] { sender.transport.send(address_of(1), "no message"); });
    cr_assert(group.run_until(
        [&] { return group.peers[1]->membership.counters().datagrams_malformed == 1; }));
    cr_assert(group.all_see(2));
}

Test(membership_service, routers_join_and_leave_over_real_sockets) {
    boost::asio::io_context context;
    runtime::asio_scheduler scheduler(context, 1);
    struct router_process {
        peer::asio_transport transport;
        base::endpoint address;
        peer::peer_dispatcher dispatcher;
        membership_service membership;

        router_process(runtime::asio_scheduler& runner, std::size_t index,
                       std::vector<base::endpoint> seeds)
            : transport(runner, {}),
              address(transport.listen({"127.0.0.1", 0})),
              dispatcher(transport, name_of(index), base::incarnation(1)),
              membership({name_of(index), base::incarnation(1), base::zone_name("zone"),
                          base::region_name("region"), address},
                         std::move(seeds), {runner, transport, dispatcher}) {
            membership.start();
        }
    };
    router_process first(scheduler, 0, {});
    router_process second(scheduler, 1, {first.address});
    router_process third(scheduler, 2, {first.address});
    const auto run_until = [&](auto condition) {
        while (!condition()) {
            context.run_one();
        }
    };
    for (router_process* each : {&first, &second, &third}) {
        run_until([&] { return each->membership.live().size() == 3; });
    }
    third.membership.stop();
    run_until([&] { return state_of(first.membership, 2) == router_state::dead; });
}
