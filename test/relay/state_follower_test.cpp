/// One router asks a holder and the others keep in step, whatever is lost on the way.
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
        ++asked;
        told_since.push_back(since);
        if (silent) {
            co_return std::nullopt;
        }
        state_changes answer{epoch, last, since + kept < last, {}};
        for (std::uint64_t number = since + 1; number <= last; ++number) {
            if (number + kept > last) {
                const std::uint64_t tokens = gone.contains(number) ? 0 : 10;
                answer.changes.push_back({number, "s", "m", std::to_string(number), tokens});
            }
        }
        co_return answer;
    }
    std::uint64_t epoch = 7;
    std::uint64_t last = 0;
    std::uint64_t kept = 1000;
    std::set<std::uint64_t> gone;  ///< Changes that remove their part instead.
    std::size_t asked = 0;
    std::vector<std::uint64_t> told_since;
    bool silent = false;
};

/// A router that follows the holder for others or learns from them.
struct router {
    router(ferryroad::test::loopback& on, fake_holder& source, bool asks, bool far = false)
        : loop(on),
          follows(asks),
          is_far(far),
          follower(loop.scheduler, source, warm,
                   {[this](const auto&, const auto&) { return follows; },
                    [this](peer::holder_changes told) { tell(std::move(told)); }, [] { return 2; },
                    [this](const auto&) { return is_far; }},
                   settings()) {
        follower.follow(holder, zone);
    }
    static state_follower_settings settings() {
        state_follower_settings all;
        all.catch_up_pace = 2ms;
        all.wait = 2ms;
        all.short_wait = 2ms;
        all.pace = 2ms;
        all.far_pace = 10s;
        all.look_period = 2ms;
        all.news_lifetime = 60ms;
        all.first_backoff = 2ms;
        all.told_parts = 4;
        return all;
    }
    void tell(peer::holder_changes told) {
        told_parts += told.parts.size();
        for (router* other : others) {
            if (random.unit() >= loss) {
                other->follower.learn(told);
            }
        }
    }
    std::uint64_t held(std::uint64_t number) const {
        return warm.tokens_held(part(number), holder.name, loop.scheduler.now());
    }

    ferryroad::test::loopback& loop;
    bool follows;
    bool is_far;
    std::size_t told_parts = 0;
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
    router asking{loop, source, true};
    router learning{loop, source, false};

    fixture() { asking.others = {&learning}; }
    bool until(std::function<bool()> holds) { return ::until(loop, std::move(holds)); }
    bool in_step(std::uint64_t last) {
        return until([this, last] { return learning.held(last) == 10 && asking.held(last) == 10; });
    }
    runtime::task<void> wait(base::duration time) { co_await loop.scheduler.sleep_for(time); }
};

}  // namespace

Test(state_follower, a_peer_learns_without_asking) {
    fixture at;
    at.source.last = 10;
    cr_assert(at.in_step(10));
    at.learning.follows = false;
    at.source.last = 25;
    cr_assert(at.in_step(25));
    for (std::uint64_t number = 1; number <= 25; ++number) {
        cr_assert_eq(at.learning.held(number), 10);
    }
}

Test(state_follower, lost_notices_are_made_good) {
    fixture at;
    at.asking.loss = 0.5;
    for (std::uint64_t last = 10; last <= 200; last += 10) {
        at.source.last = last;
        cr_assert(at.in_step(last));
    }
    // The newest changes count at once, those that were lost a little later.
    const auto holds_all = [&] {
        for (std::uint64_t number = 1; number <= 200; ++number) {
            if (at.learning.held(number) != 10) {
                return false;
            }
        }
        return true;
    };
    cr_assert(at.until(holds_all));
}

Test(state_follower, without_news_a_router_asks_by_itself) {
    fixture at;
    at.asking.others.clear();
    at.source.last = 5;
    cr_assert(at.in_step(5));
}

Test(state_follower, a_restarted_holder_holds_nothing) {
    fixture at;
    at.source.last = 10;
    cr_assert(at.in_step(10));
    at.source.epoch = 8;
    at.source.last = 0;
    cr_assert(at.until([&] { return at.learning.held(10) == 0 && at.asking.held(10) == 0; }));
    at.source.last = 3;
    cr_assert(at.in_step(3));
}

Test(state_follower, a_router_that_comes_later_catches_up) {
    fixture at;
    at.source.last = 40;
    cr_assert(at.in_step(40));
    router late(at.loop, at.source, false);
    at.asking.others.push_back(&late);
    cr_assert(at.until([&] { return late.held(1) == 10 && late.held(40) == 10; }));
    at.asking.others.clear();
    late.follower.leave(holder.name);
    cr_assert_eq(late.follower.followed(), 0);
    at.loop.context.restart();
    cr_assert(at.loop.run([&] { return at.wait(20ms); }));
    cr_assert_eq(late.held(40), 0);
}

Test(state_follower, one_router_asks_for_all) {
    fixture at;
    std::vector<std::unique_ptr<router>> more;
    for (int index = 0; index < 5; ++index) {
        more.push_back(std::make_unique<router>(at.loop, at.source, false));
        at.asking.others.push_back(more.back().get());
    }
    at.source.last = 1;
    cr_assert(at.in_step(1));
    const std::size_t before = at.source.asked;
    at.loop.context.restart();
    cr_assert(at.loop.run([&] { return at.wait(200ms); }));
    // 100 calls of one router at the most, where six would make 600.
    cr_assert_leq(at.source.asked - before, 120);
    for (const auto& one : more) {
        one->follower.leave(holder.name);
    }
    at.loop.context.restart();
    cr_assert(at.loop.run([&] { return at.wait(20ms); }));
}

Test(state_follower, a_router_that_starts_learns_from_what_others_ask) {
    ferryroad::test::loopback loop;
    fake_holder source;
    source.last = 9;
    router asking(loop, source, true);
    router learning(loop, source, false);
    asking.others = {&learning};
    learning.follower.leave(holder.name);
    learning.follower.follow(holder, zone);
    cr_assert(loop.run([&] { return loop.until([&] { return learning.held(9) == 10; }); }));
    cr_assert_eq(learning.held(1), 10);
}

Test(state_follower, what_came_and_went_is_not_told_to_those_who_know_nothing) {
    ferryroad::test::loopback loop;
    fake_holder source;
    source.last = 6;
    source.gone = {2, 3, 4};
    router asking(loop, source, true);
    router learning(loop, source, false);
    asking.others = {&learning};
    cr_assert(loop.run([&] { return loop.until([&] { return learning.held(6) == 10; }); }));
    cr_assert_eq(asking.told_parts, 3);
    cr_assert_eq(learning.held(3), 0);
}

Test(state_follower, what_is_expected_of_a_silent_holder_lasts_longer) {
    fixture at;
    at.source.last = 1;
    cr_assert(at.in_step(1));
    at.source.silent = true;
    at.asking.others.clear();
    at.loop.context.restart();
    cr_assert(at.loop.run([&] { return at.wait(100ms); }));
    cr_assert_eq(at.asking.held(1), 10);  // It may hold it still.
}

Test(state_follower, what_is_told_counts_although_the_history_is_not_known) {
    ferryroad::test::loopback loop;
    fake_holder source;
    source.silent = true;
    router late(loop, source, false);
    late.follower.learn({holder.name, 7, 30, 31, part(31)});
    cr_assert_eq(late.held(31), 10);
    late.follower.learn({holder.name, 7, 33, 34, part(34)});  // Two changes are lost.
    cr_assert_eq(late.held(34), 10);
    cr_assert_eq(late.held(31), 10);
    late.follower.learn({holder.name, 7, 30, 31, part(30)});  // Comes late, and twice.
    cr_assert_eq(late.held(30), 0);
    late.follower.learn({holder.name, 8, 0, 1, part(1)});
    cr_assert_eq(late.held(1), 10);
    cr_assert_eq(late.held(34), 0);
}

Test(state_follower, routers_that_start_together_ask_holders_one_after_the_other) {
    ferryroad::test::loopback loop;
    fake_holder source;
    source.last = 1;
    core::placement::warm_state warm;
    state_follower_settings settings = router::settings();
    settings.catch_up_pace = 3ms;
    settings.news_lifetime = 10s;
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
    cr_assert(loop.run([&] { return loop.until([&] { return source.asked >= 8; }); }));
    // Seven pauses of at least half of 30 ms lie between eight calls.
    cr_assert_geq(loop.scheduler.now() - began, 7 * 15ms);
}

Test(state_follower, of_many_holders_each_is_looked_at_in_turn) {
    ferryroad::test::loopback loop;
    fake_holder source;
    core::placement::warm_state warm;
    bool follows = false;
    state_follower_settings settings = router::settings();
    settings.look_holders = 3;
    settings.news_lifetime = 1h;  // Only the change of the follower starts an ask.
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

Test(state_follower, a_holder_of_another_region_is_asked_less_often) {
    ferryroad::test::loopback loop;
    fake_holder near_source;
    fake_holder far_source;
    router near(loop, near_source, true);
    router far(loop, far_source, true, true);
    loop.context.restart();
    cr_assert(loop.run([&] { return loop.until([&] { return near_source.asked > 20; }); }));
    cr_assert_leq(far_source.asked, 1);
}

Test(state_follower, the_history_of_a_far_holder_is_not_asked_for_by_all) {
    ferryroad::test::loopback loop;
    fake_holder near_source;
    fake_holder far_source;
    router near(loop, near_source, false);
    router far(loop, far_source, false, true);
    // A peer tells both of changes whose beginning they missed.
    for (router* one : {&near, &far}) {
        one->follower.learn({holder.name, 7, 40, 45, {part(45).front()}});
    }
    near_source.last = 45;
    far_source.last = 45;
    loop.context.restart();
    cr_assert(loop.run([&] { return loop.until([&] { return near.held(1) == 10; }); }));
    cr_assert_eq(far_source.asked, 0);
    cr_assert_eq(far.held(45), 10);
    // It becomes the one that follows the holder.
    far.follows = true;
    far_source.last = 50;
    loop.context.restart();
    cr_assert(loop.run([&] { return loop.until([&] { return far.held(50) == 10; }); }));
    cr_assert_eq(far_source.told_since.front(), 45);
}

namespace {

/// One of `routers` that share `holders`, all of them its own.
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
        all.followed_share = 4;
        all.use_lifetime = 40ms;
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

Test(state_follower, of_many_holders_those_in_use_are_followed) {
    large_block at(200, 2);
    at.run_for(30ms);
    cr_assert_eq(at.source.asked, 0, "none is in use");
    at.source.last = 3;
    at.follower.used(large_block::name(7));
    at.run_for(20ms);
    const base::monotonic_time now = at.loop.scheduler.now();
    cr_assert_eq(at.warm.tokens_held(part(3), large_block::name(7), now), 10);
    at.run_for(100ms);
    const std::size_t before = at.source.asked;
    at.run_for(30ms);
    cr_assert_eq(at.source.asked, before, "it is in use no more");
}

Test(state_follower, what_is_asked_does_not_grow_with_holders_or_routers) {
    std::vector<std::size_t> asked;
    for (const std::size_t scale : {1, 5, 10}) {
        large_block at(200 * scale, 2 * scale);
        for (std::size_t number = 0; number < 5; ++number) {
            at.follower.used(large_block::name(number));
        }
        at.run_for(100ms);
        asked.push_back(at.source.asked);
    }
    cr_assert_gt(asked.front(), 0);
    cr_assert_leq(asked.back(), 2 * asked.front());
}

Test(state_follower, of_few_holders_all_are_followed) {
    large_block at(8, 2);
    cr_assert(until(at.loop, [&] { return at.source.asked >= 8; }));
}
