/// Which routers receive a router's notices, and which one follows a holder for its block.
#include "ferryroad/relay/peer_group.hpp"

#include <criterion/criterion.h>

#include <set>
#include <string>

using namespace ferryroad;
using namespace ferryroad::relay;
using namespace std::chrono_literals;

namespace {

constexpr base::monotonic_time start{100s};

peer_address router(int number, const std::string& zone = "z1") {
    const std::string digits = std::to_string(1000 + number);
    return {base::router_name("r" + digits),
            base::zone_name(zone),
            {"10.0.0.1", static_cast<std::uint16_t>(1000 + number)}};
}

std::vector<peer_address> routers(int count) {
    std::vector<peer_address> all;
    for (int number = 0; number < count; ++number) {
        all.push_back(router(number, "z" + std::to_string(number % 3)));
    }
    return all;
}

/// @return the groups of all routers of a deployment. Each has got a notice from every other
/// router.
std::vector<peer_group> groups_of(const std::vector<peer_address>& all) {
    std::vector<peer_group> groups;
    for (const peer_address& self : all) {
        peer_group group(self);
        group.declare(all);
        for (const peer_address& other : all) {
            group.record_notice(other, start);
        }
        groups.push_back(std::move(group));
    }
    return groups;
}

}  // namespace

Test(peer_group, a_note_has_address_and_zone) {
    const peer_address peer = router(1);
    cr_assert(decode_peer_note(peer.name, encode_peer_note(peer)) == peer);
    for (const char* bad : {"", "10.0.0.1:5", "name:5 z1", "10.0.0.1:0 z1"}) {
        cr_assert_not(decode_peer_note(peer.name, bad).has_value(), "%s", bad);
    }
}

Test(peer_group, notices_go_to_declared_and_heard_routers) {
    peer_group group(router(0));
    group.declare({router(0), router(1)});
    cr_assert_eq(group.targets(start).size(), 1);
    group.record_notice(router(2), start);
    cr_assert_eq(group.targets(start).size(), 2);
    cr_assert_eq(group.targets(start + 17s).size(), 1);
    group.declare({});
    cr_assert_eq(group.targets(start + 17s).size(), 0);
}

Test(peer_group, a_router_that_is_heard_regularly_stays_known_and_its_new_address_is_used) {
    peer_group group(router(0));
    group.declare({router(0), router(1)});
    for (int second = 0; second < 40; second += 8) {
        group.record_notice(router(2), start + std::chrono::seconds(second));
        cr_assert_eq(group.targets(start + std::chrono::seconds(second + 7)).size(), 2);
    }
    peer_address moved = router(2);
    moved.address.port = 7;
    group.record_notice(moved, start + 40s);
    const auto targets = group.targets(start + 40s);
    cr_assert_eq(std::count(targets.begin(), targets.end(), moved.address), 1);
    cr_assert_eq(targets.size(), 2);
    cr_assert_eq(group.targets(start + 57s).size(), 1);
}

Test(peer_group, targets_are_mutual_and_bounded_in_number) {
    const auto all = routers(370);
    const auto groups = groups_of(all);
    for (std::size_t one = 0; one < all.size(); ++one) {
        const auto targets = groups[one].targets(start);
        cr_assert_lt(targets.size(), peer_group_tunables{}.max_block_size);
        cr_assert_eq(groups[one].block_size(start), targets.size() + 1);
        for (std::size_t other = 0; other < all.size(); ++other) {
            const auto back = groups[other].targets(start);
            const bool sends = std::count(targets.begin(), targets.end(), all[other].address) > 0;
            const bool is_sent = std::count(back.begin(), back.end(), all[one].address) > 0;
            cr_assert_eq(sends, is_sent);
        }
        one += 36;
    }
}

Test(peer_group, blocks_of_a_large_deployment_lie_within_zones) {
    const auto all = routers(51);
    const auto groups = groups_of(all);
    for (std::size_t one = 0; one < all.size(); ++one) {
        cr_assert_eq(groups[one].block_size(start), 17);
        for (const base::endpoint& target : groups[one].targets(start)) {
            const auto other = std::find_if(all.begin(), all.end(), [&](const peer_address& peer) {
                return peer.address == target;
            });
            cr_assert(other->zone == all[one].zone);
        }
    }
}

Test(peer_group, a_small_deployment_is_one_block_over_all_zones) {
    const auto all = routers(20);
    for (const peer_group& group : groups_of(all)) {
        cr_assert_eq(group.block_size(start), 20);
    }
}

Test(peer_group, exactly_one_router_near_a_holder_follows_it) {
    const auto all = routers(7);
    const auto groups = groups_of(all);
    std::set<std::size_t> busy;
    for (int holder = 0; holder < 30; ++holder) {
        const base::engine_name name("e" + std::to_string(holder));
        std::size_t followers = 0;
        for (std::size_t one = 0; one < all.size(); ++one) {
            if (groups[one].follows(name, base::zone_name("z2"), start)) {
                ++followers;
                busy.insert(one);
                cr_assert(all[one].zone == base::zone_name("z2"));
            }
        }
        cr_assert_eq(followers, 1);
    }
    cr_assert_eq(busy.size(), 2);  // Both routers of the zone.
}

Test(peer_group, a_silent_router_follows_nothing) {
    peer_group group(router(0));
    group.declare({router(0), router(1), router(2)});
    const base::zone_name zone("z1");
    int before = 0;
    for (int holder = 0; holder < 30; ++holder) {
        group.record_notice(router(1), start);
        const base::engine_name name("e" + std::to_string(holder));
        before += group.follows(name, zone, start) ? 1 : 0;
        cr_assert(group.follows(name, zone, start + 1500ms));
    }
    cr_assert(before > 5 && before < 25);
    cr_assert(group.live(start) == std::set<base::router_name>{router(1).name});
    cr_assert(group.live(start + 1500ms).empty());
}

Test(peer_group, a_router_without_paths_to_engines_follows_nothing_and_another_one_does) {
    const std::vector<peer_address> all = routers(4);
    std::vector<peer_group> groups = groups_of(all);
    const base::engine_name holder("e7");
    const base::zone_name zone("z0");
    std::size_t follower = 0;
    while (!groups[follower].follows(holder, zone, start)) {
        ++follower;
    }
    groups[follower].set_paths_lost(true);
    std::size_t followers = 0;
    for (peer_group& group : groups) {
        group.record_notice(all[follower], start, true);
        followers += group.follows(holder, zone, start) ? 1 : 0;
    }
    cr_assert_not(groups[follower].follows(holder, zone, start));
    cr_assert_eq(followers, 1);
    groups[follower].set_paths_lost(false);
    for (peer_group& group : groups) {
        group.record_notice(all[follower], start);
        cr_assert_eq(group.follows(holder, zone, start), &group == &groups[follower]);
    }
}

Test(peer_group, a_holder_is_followed_from_its_region_where_its_zone_has_no_router) {
    peer_group_tunables regions;
    regions.zones = core::topology::parse_zones({"a1=a", "a2=a", "b1=b"}).zones;
    std::vector<peer_address> all;
    for (int number = 0; number < 9; ++number) {
        all.push_back(router(number, number % 3 == 0 ? "a2" : "b1"));
    }
    for (int holder = 0; holder < 20; ++holder) {
        int following = 0;
        for (const peer_address& self : all) {
            peer_group group(self, regions);
            group.declare(all);
            for (const peer_address& other : all) {
                group.record_notice(other, start);
            }
            const base::engine_name name("e" + std::to_string(holder));
            const bool follows = group.follows(name, base::zone_name("a1"), start);
            cr_assert(!follows || self.zone.value == "a2");
            following += follows ? 1 : 0;
        }
        cr_assert_eq(following, 1);
    }
}

Test(peer_group, a_note_may_have_the_link_capacity) {
    peer_address peer{base::router_name("r"), base::zone_name("z"), {"10.0.0.1", 7000}, {}};
    peer.link = coordination::reading::link_capacity(200);
    cr_assert(decode_peer_note(peer.name, encode_peer_note(peer)) == peer);
    cr_assert(decode_peer_note(peer.name, "10.0.0.1:7000 z x")->link.value == 0);
}

Test(peer_group, exactly_one_router_of_a_block_reports_a_gone_router) {
    std::vector<peer_address> all;
    for (int number = 0; number < 8; ++number) {
        all.push_back({base::router_name("r" + std::to_string(number)),
                       base::zone_name("z"),
                       {"10.0.0.1", static_cast<std::uint16_t>(7000 + number)},
                       {}});
    }
    const base::monotonic_time begin(100s);
    std::size_t told = 0;
    for (std::size_t self = 0; self < 7; ++self) {
        peer_group group(all[self]);
        group.declare(all, begin);
        for (base::duration at = 0s; at <= 13s; at += 1s) {
            group.declare(all, begin + at);
            for (std::size_t other = 0; other < 7; ++other) {
                group.record_notice(all[other], begin + at);
            }
            cr_assert(at > 12s || group.gone(begin + at).empty());
        }
        const auto gone = group.gone(begin + 13s);
        told += gone.size();
        cr_assert(gone.empty() || gone.front() == all[7].name);
    }
    cr_assert_eq(told, 1);
}

Test(peer_group, a_router_is_isolated_when_it_hears_none_of_its_peers) {
    peer_group group(router(0));
    cr_assert_not(group.is_isolated(start), "it has no peers");
    group.declare({router(0), router(1), router(2)});
    cr_assert(group.is_isolated(start));
    group.record_notice(router(2), start);
    cr_assert_not(group.is_isolated(start + 1s));
    cr_assert(group.is_isolated(start + 2s));
}
