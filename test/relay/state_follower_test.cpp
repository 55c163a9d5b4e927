/// One router polls a holder, and the other routers stay up to date even if updates are lost.
#include "ferryroad/relay/state_follower.hpp"

#include "ferryroad/base/random.hpp"
#include "test/http/loopback.hpp"

#include <deque>
#include <set>

using namespace ferryroad;
using namespace ferryroad::relay;
using namespace std::chrono_literals;

namespace {

const engine_target holder{base::engine_name("e1"), {"10.0.0.1", 1}};
const base::zone_name zone("z");

std::vector<core::prefix::scoped_part> part(std::uint64_t number) {
    return {{core::prefix::key_of("s", "m", std::to_string(number)), 10}};
}

/// A holder whose n-th change adds part n.
class fake_holder {
  public:
    runtime::task<std::optional<state_changes>> state_changes_of(engine_target, std::uint64_t since,
                                                                 base::duration) {
        ++polls;
        polled_since.push_back(since);
        if (silent) {
            co_return std::nullopt;
        }
        state_changes answer{epoch, last, since + kept < last, {}};
        for (std::uint64_t number = since + 1; number <= last; ++number) {
            if (number + kept > last) {
                const std::uint64_t tokens = removed.contains(number) ? 0 : 10;
                answer.changes.push_back({number, "s", "m", std::to_string(number), tokens});
            }
        }
        co_return answer;
    }
    std::uint64_t epoch = 7;
    std::uint64_t last = 0;
    std::uint64_t kept = 1000;
    std::set<std::uint64_t> removed;  ///< Changes that remove their part instead.
    std::size_t polls = 0;
    std::vector<std::uint64_t> polled_since;
    bool silent = false;
};

/// A router that polls the holder for others or receives updates from them.
struct router {
    router(ferryroad::test::loopback& on, fake_holder& source, bool responsible,
           bool other_region = false)
        : loop(on),
          is_responsible(responsible),
          is_other_region(other_region),
          follower(loop.scheduler, source, warm,
                   {[this](const auto&, const auto&) { return is_responsible; },
                    [this](peer::holder_changes update) { publish(std::move(update)); },
                    [] { return 2; }, [this](const auto&) { return is_other_region; }},
                   settings()) {
        follower.follow(holder, zone);
    }
    static state_follower_settings settings() {
        state_follower_settings all;
        all.catch_up_pace = 2ms;
        all.wait = 2ms;
        all.short_wait = 2ms;
        all.pace = 2ms;
        all.other_region_pace = 10s;
        all.check_period = 2ms;
        all.update_timeout = 60ms;
        all.first_backoff = 2ms;
        all.max_parts_per_update = 4;
        return all;
    }
    void publish(peer::holder_changes update) {
        published_parts += update.parts.size();
        for (router* other : others) {
            if (random.unit() >= loss) {
                other->follower.learn(update);
            }
        }
    }
    std::uint64_t held(std::uint64_t number) const {
        return warm.tokens_held(part(number), holder.name, loop.scheduler.now());
    }

    ferryroad::test::loopback& loop;
    bool is_responsible;
    bool is_other_region;
    std::size_t published_parts = 0;
    double loss = 0;
    base::seeded_random random{20261202};
    std::vector<router*> others;
    core::placement::warm_state warm;
    state_follower<fake_holder> follower;
};

bool until(ferryroad::test::loopback& loop, std::function<bool()> holds) {
    loop.context.restart();
    return loop.run([&] { return loop.until(holds); });
}

struct fixture {
    ferryroad::test::loopback loop;
    fake_holder source;
    router polling{loop, source, true};
    router receiving{loop, source, false};

    fixture() { polling.others = {&receiving}; }
    bool until(std::function<bool()> holds) { return ::until(loop, std::move(holds)); }
    bool reaches(std::uint64_t last) {
        return until(
            [this, last] { return receiving.held(last) == 10 && polling.held(last) == 10; });
    }
    runtime::task<void> wait(base::duration time) { co_await loop.scheduler.sleep_for(time); }
};

}  // namespace

Test(state_follower, peer_receives_changes_without_polling) {
    fixture at;
    at.source.last = 10;
    cr_assert(at.reaches(10));
    at.receiving.is_responsible = false;
    at.source.last = 25;
    cr_assert(at.reaches(25));
    for (std::uint64_t number = 1; number <= 25; ++number) {
        cr_assert_eq(at.receiving.held(number), 10);
    }
}

Test(state_follower, recovers_lost_updates) {
    fixture at;
    at.polling.loss = 0.5;
    for (std::uint64_t last = 10; last <= 200; last += 10) {
        at.source.last = last;
        cr_assert(at.reaches(last));
    }
    // The newest changes are applied at once, lost ones after the next poll.
    const auto holds_all = [&] {
        for (std::uint64_t number = 1; number <= 200; ++number) {
            if (at.receiving.held(number) != 10) {
                return false;
            }
        }
        return true;
    };
    cr_assert(at.until(holds_all));
}

Test(state_follower, polls_a_holder_without_updates) {
    fixture at;
    at.polling.others.clear();
    at.source.last = 5;
    cr_assert(at.reaches(5));
}

Test(state_follower, restarted_holder_holds_nothing) {
    fixture at;
    at.source.last = 10;
    cr_assert(at.reaches(10));
    at.source.epoch = 8;
    at.source.last = 0;
    cr_assert(at.until([&] { return at.receiving.held(10) == 0 && at.polling.held(10) == 0; }));
    at.source.last = 3;
    cr_assert(at.reaches(3));
}

Test(state_follower, late_router_catches_up) {
    fixture at;
    at.source.last = 40;
    cr_assert(at.reaches(40));
    router late(at.loop, at.source, false);
    at.polling.others.push_back(&late);
    cr_assert(at.until([&] { return late.held(1) == 10 && late.held(40) == 10; }));
    at.polling.others.clear();
    late.follower.leave(holder.name);
    cr_assert_eq(late.follower.followed(), 0);
    at.loop.context.restart();
    cr_assert(at.loop.run([&] { return at.wait(20ms); }));
    cr_assert_eq(late.held(40), 0);
}

Test(state_follower, one_router_polls_for_all) {
    fixture at;
    std::vector<std::unique_ptr<router>> more;
    for (int index = 0; index < 5; ++index) {
        more.push_back(std::make_unique<router>(at.loop, at.source, false));
        at.polling.others.push_back(more.back().get());
    }
    at.source.last = 1;
    cr_assert(at.reaches(1));
    const std::size_t before = at.source.polls;
    at.loop.context.restart();
    cr_assert(at.loop.run([&] { return at.wait(200ms); }));
    // At most 100 calls of one router; six routers would make 600.
    cr_assert_leq(at.source.polls - before, 120);
    for (const auto& one : more) {
        one->follower.leave(holder.name);
    }
    at.loop.context.restart();
    cr_assert(at.loop.run([&] { return at.wait(20ms); }));
}

Test(state_follower, starting_router_uses_updates_from_others) {
    ferryroad::test::loopback loop;
    fake_holder source;
    source.last = 9;
    router polling(loop, source, true);
    router receiving(loop, source, false);
    polling.others = {&receiving};
    receiving.follower.leave(holder.name);
    receiving.follower.follow(holder, zone);
    cr_assert(loop.run([&] { return loop.until([&] { return receiving.held(9) == 10; }); }));
    cr_assert_eq(receiving.held(1), 10);
}

Test(state_follower, omits_removed_parts_for_receivers_without_state) {
    ferryroad::test::loopback loop;
    fake_holder source;
    source.last = 6;
    source.removed = {2, 3, 4};
    router polling(loop, source, true);
    router receiving(loop, source, false);
    polling.others = {&receiving};
    cr_assert(loop.run([&] { return loop.until([&] { return receiving.held(6) == 10; }); }));
    cr_assert_eq(polling.published_parts, 3);
    cr_assert_eq(receiving.held(3), 0);
}

Test(state_follower, state_of_an_unreachable_holder_is_kept_for_a_while) {
    fixture at;
    at.source.last = 1;
    cr_assert(at.reaches(1));
    at.source.silent = true;
    at.polling.others.clear();
    at.loop.context.restart();
    cr_assert(at.loop.run([&] { return at.wait(100ms); }));
    cr_assert_eq(at.polling.held(1), 10);  // The holder may still hold it.
}

Test(state_follower, applies_updates_without_the_earlier_history) {
    ferryroad::test::loopback loop;
    fake_holder source;
    source.silent = true;
    router late(loop, source, false);
    late.follower.learn({holder.name, 7, 30, 31, part(31)});
    cr_assert_eq(late.held(31), 10);
    late.follower.learn({holder.name, 7, 33, 34, part(34)});  // Two changes are missing.
    cr_assert_eq(late.held(34), 10);
    cr_assert_eq(late.held(31), 10);
    late.follower.learn({holder.name, 7, 30, 31, part(30)});  // Late and duplicated.
    cr_assert_eq(late.held(30), 0);
    late.follower.learn({holder.name, 8, 0, 1, part(1)});
    cr_assert_eq(late.held(1), 10);
    cr_assert_eq(late.held(34), 0);
}

Test(state_follower, starting_routers_poll_holders_one_by_one) {
    ferryroad::test::loopback loop;
    fake_holder source;
    source.last = 1;
    core::placement::warm_state warm;
    state_follower_settings settings = router::settings();
    settings.catch_up_pace = 3ms;
    settings.update_timeout = 10s;
    state_follower<fake_holder> follower(loop.scheduler, source, warm,
                                         {[](const auto&, const auto&) { return false; },
                                          [](const peer::holder_changes&) {}, [] { return 10; }},
                                         settings);
    constexpr int holders = 40;
    const base::monotonic_time began = loop.scheduler.now();
    for (int number = 0; number < holders; ++number) {
        const base::engine_name name("e" + std::to_string(number));
        follower.follow({name, {"10.0.0.1", static_cast<std::uint16_t>(number + 1)}}, zone);
    }
    cr_assert(loop.run([&] { return loop.until([&] { return source.polls >= 8; }); }));
    // There are seven pauses of at least half of 30 ms between eight calls.
    cr_assert_geq(loop.scheduler.now() - began, 7 * 15ms);
}

Test(state_follower, checks_many_holders_in_turn) {
    ferryroad::test::loopback loop;
    fake_holder source;
    core::placement::warm_state warm;
    bool follows = false;
    state_follower_settings settings = router::settings();
    settings.holders_per_check = 3;
    settings.update_timeout = 1h;  // Only a change of responsibility starts a poll.
    std::set<std::string> asked;
    state_follower<fake_holder> follower(loop.scheduler, source, warm,
                                         {[&](const base::engine_name& name, const auto&) {
                                              asked.insert(name.value);
                                              return follows;
                                          },
                                          [](const peer::holder_changes&) {}, [] { return 2; }},
                                         settings);
    for (int number = 0; number < 10; ++number) {
        follower.follow({base::engine_name("e" + std::to_string(number)), holder.address}, zone);
    }
    asked.clear();
    cr_assert(until(loop, [&] { return asked.size() == 10; }));
    for (int number = 0; number < 9; ++number) {
        follower.leave(base::engine_name("e" + std::to_string(number)));
    }
    asked.clear();
    cr_assert(until(loop, [&] { return !asked.empty(); }));
    cr_assert(asked == std::set<std::string>{"e9"});
    cr_assert_eq(follower.followed(), 1);
}

Test(state_follower, polls_holders_of_other_regions_less_often) {
    ferryroad::test::loopback loop;
    fake_holder near_source;
    fake_holder far_source;
    router near(loop, near_source, true);
    router far(loop, far_source, true, true);
    loop.context.restart();
    cr_assert(loop.run([&] { return loop.until([&] { return near_source.polls > 20; }); }));
    cr_assert_leq(far_source.polls, 1);
}

Test(state_follower, only_the_responsible_router_polls_a_holder_of_another_region) {
    ferryroad::test::loopback loop;
    fake_holder near_source;
    fake_holder far_source;
    router near(loop, near_source, false);
    router far(loop, far_source, false, true);
    // Both routers receive an update that does not begin at their position.
    for (router* one : {&near, &far}) {
        one->follower.learn({holder.name, 7, 40, 45, {part(45).front()}});
    }
    near_source.last = 45;
    far_source.last = 45;
    loop.context.restart();
    cr_assert(loop.run([&] { return loop.until([&] { return near.held(1) == 10; }); }));
    cr_assert_eq(far_source.polls, 0);
    cr_assert_eq(far.held(45), 10);
    // The router becomes responsible for the holder.
    far.is_responsible = true;
    far_source.last = 50;
    loop.context.restart();
    cr_assert(loop.run([&] { return loop.until([&] { return far.held(50) == 10; }); }));
    cr_assert_eq(far_source.polled_since.front(), 45);
}

namespace {

/// One of `routers` routers, responsible for all of `holders` holders.
struct large_block {
    large_block(std::size_t holders, std::size_t routers)
        : follower(loop.scheduler, source, warm,
                   {[](const auto&, const auto&) { return true; },
                    [](const peer::holder_changes&) {}, [routers] { return routers; }},
                   settings()) {
        for (std::size_t number = 0; number < holders; ++number) {
            follower.follow({name(number), holder.address}, zone);
        }
    }
    static state_follower_settings settings() {
        state_follower_settings all = router::settings();
        all.max_holders_per_router = 4;
        all.in_use_timeout = 40ms;
        return all;
    }
    static base::engine_name name(std::size_t number) {
        return base::engine_name("e" + std::to_string(number));
    }
    void run_for(base::duration time) {
        loop.context.restart();
        cr_assert(loop.run([&] { return sleep(time); }));
    }

    ferryroad::test::loopback loop;
    fake_holder source;
    core::placement::warm_state warm;
    state_follower<fake_holder> follower;

  private:
    runtime::task<void> sleep(base::duration time) { co_await loop.scheduler.sleep_for(time); }
};

}  // namespace

Test(state_follower, follows_only_holders_in_use_if_there_are_many) {
    large_block at(200, 2);
    at.run_for(30ms);
    cr_assert_eq(at.source.polls, 0, "no holder is in use");
    at.source.last = 3;
    at.follower.mark_used(large_block::name(7));
    at.run_for(20ms);
    const base::monotonic_time now = at.loop.scheduler.now();
    cr_assert_eq(at.warm.tokens_held(part(3), large_block::name(7), now), 10);
    at.run_for(100ms);
    const std::size_t before = at.source.polls;
    at.run_for(30ms);
    cr_assert_eq(at.source.polls, before, "the holder is no longer in use");
}

Test(state_follower, number_of_polls_is_independent_of_holders_and_routers) {
    std::vector<std::size_t> asked;
    for (const std::size_t scale : {1, 5, 10}) {
        large_block at(200 * scale, 2 * scale);
        for (std::size_t number = 0; number < 5; ++number) {
            at.follower.mark_used(large_block::name(number));
        }
        at.run_for(100ms);
        asked.push_back(at.source.polls);
    }
    cr_assert_gt(asked.front(), 0);
    cr_assert_leq(asked.back(), 2 * asked.front());
}

Test(state_follower, follows_all_holders_if_there_are_few) {
    large_block at(8, 2);
    cr_assert(until(at.loop, [&] { return at.source.polls >= 8; }));
}
