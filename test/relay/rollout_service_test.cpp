/// Orders are sent only under the lease, with its fencing token, and after they were announced.
#include "ferryroad/relay/rollout_service.hpp"

#include "test/relay/fake_upstream.hpp"

#include <algorithm>
#include <functional>
#include <map>

using namespace ferryroad;
using namespace ferryroad::relay;
using namespace ferryroad::relay::test;
using namespace std::chrono_literals;

namespace {

struct fake_lease {
    std::optional<base::fencing_token> current;
    bool acting = false;
    int actions_in_flight = 0;
    std::optional<base::fencing_token> token() const { return acting ? current : std::nullopt; }
    bool held() const { return current.has_value(); }
    void set_intent(bool wanted) { acting = wanted; }
    void begin_action() { ++actions_in_flight; }
    void end_action() { --actions_in_flight; }
};

struct fixture {
    ferryroad::test::loopback loop;
    fake_upstream upstream{loop.scheduler};
    engine_registry registry;
    policy_source policies{policy_staleness_limits{}};
    fake_lease lease;
    rollout_service<fake_upstream, fake_lease> service{
        {loop.scheduler, upstream, registry, policies, lease,
         [this](const rollout_announcement& announcement) {
             orders_at_announcement.push_back(upstream.orders.size());
             announcements.push_back(announcement);
         },
         [this] { return other_loads; }},
        settings()};
    std::map<base::engine_name, core::placement::peer_load> other_loads;
    std::vector<rollout_announcement> announcements;
    std::vector<std::size_t> orders_at_announcement;

    fixture() {
        for (const char* name : {"e1", "e2", "e3"}) {
            listed_engine one;
            one.name.value = name;
            one.versions["m"] = 1;
            registry.put(one);
            upstream.reports[name] = {1, 4, false};
        }
        policies.add_named_version("m", 2);
    }
    static rollout_settings settings() {
        rollout_settings all;
        all.holder = "router-1";
        all.step_interval = 2ms;
        all.rollout.first_poll_delay = 2ms;
        all.rollout.look_period = 2ms;
        all.rollout.longest_writer_wait = 40ms;
        all.rollout.shortest_writer_wait = 10ms;
        return all;
    }
    /// Runs until the condition holds, so that the test does not depend on the machine's speed.
    void run_until(std::function<bool()> condition) {
        loop.context.restart();
        cr_assert(loop.run([&] { return loop.until(condition); }));
    }
    void run_for(base::duration time) {
        loop.context.restart();
        cr_assert(
            loop.run([&]() -> runtime::task<void> { co_await loop.scheduler.sleep_for(time); }));
    }
};

}  // namespace

Test(rollout_service, orders_nothing_without_the_lease) {
    fixture at;
    at.service.start();
    at.run_for(60ms);
    cr_assert(at.upstream.orders.empty());
}

Test(rollout_service, the_first_holder_orders_all_engines_to_load_the_newest_weights) {
    fixture at;
    at.lease.current = base::fencing_token(1);
    at.service.start();
    at.run_until([&] {
        return at.upstream.orders.size() == 3 &&
               at.registry.find(base::engine_name("e2"))->version_of("m") == 2;
    });
    at.run_for(20ms);
    cr_assert_eq(at.upstream.orders.size(), 3);
    for (const weights_order& order : at.upstream.orders) {
        cr_assert(order == (weights_order{"m", 2, 4, running_requests_policy::pause_and_continue,
                                          "router-1", base::fencing_token(1)}));
    }
    cr_assert_eq(at.registry.find(base::engine_name("e2"))->version_of("m"), 2);
}

Test(rollout_service, announces_actions_only_while_there_is_something_to_do) {
    fixture at;
    at.lease.current = base::fencing_token(1);
    at.service.start();
    at.run_until([&] { return at.upstream.orders.size() == 3 && !at.lease.acting; });
    at.policies.add_named_version("m", 3);
    at.run_until([&] { return at.upstream.orders.size() == 6 && !at.lease.acting; });
    at.run_for(20ms);
    cr_assert_eq(at.upstream.orders.size(), 6);
    cr_assert_not(at.lease.acting);
    cr_assert_eq(at.lease.actions_in_flight, 0, "each action that was begun must be ended");
}

Test(rollout_service, loads_are_announced_before_the_order_and_when_they_end) {
    fixture at;
    at.lease.current = base::fencing_token(1);
    at.service.start();
    const auto loaded = [&] {
        std::size_t count = 0;
        for (const rollout_announcement& announcement : at.announcements) {
            count += announcement.loaded.size();
        }
        return count;
    };
    at.run_until([&] { return loaded() == 3; });
    cr_assert_eq(at.orders_at_announcement.front(), 0,
                 "loads must be announced before the first order");
    const peer::loading_weights& first = at.announcements.front().loading.front();
    cr_assert(first.model == "m" && first.version == 2 && first.ready_in > 0ms);
    at.run_for(20ms);
    cr_assert_eq(loaded(), 3, "each load must be announced once");
}

// Guards against engines of which only the first model was ever ordered to load newer weights.
Test(rollout_service, every_model_of_an_engine_is_ordered_and_reported) {
    fixture at;
    for (const char* name : {"e1", "e2", "e3"}) {
        listed_engine one = at.registry.find(base::engine_name(name))->listed;
        one.versions["n"] = 7;
        at.registry.put(one);
        at.upstream.model_versions[{name, "m"}] = 1;
        at.upstream.model_versions[{name, "n"}] = 7;
    }
    at.lease.current = base::fencing_token(1);
    at.service.start();
    at.run_until([&] { return at.upstream.orders.size() == 3 && !at.lease.acting; });
    at.policies.add_named_version("n", 8);
    at.run_until([&] { return at.upstream.orders.size() == 6 && !at.lease.acting; });
    for (const char* name : {"e1", "e2", "e3"}) {
        const known_engine* engine = at.registry.find(base::engine_name(name));
        cr_assert_eq(engine->version_of("m"), 2);
        cr_assert_eq(engine->version_of("n"), 8);
        cr_assert_eq((at.upstream.model_versions[{name, "n"}]), 8);
    }
}

Test(rollout_service, an_engine_that_runs_writers_of_other_routers_is_ordered_last) {
    fixture at;
    at.lease.current = base::fencing_token(1);
    at.service.start();
    at.run_until([&] { return at.upstream.orders.size() == 3 && !at.lease.acting; });
    at.upstream.engines_ordered.clear();
    at.other_loads[base::engine_name("e1")].pinned_writers = 1;
    at.policies.confirm(at.loop.scheduler.now());
    at.policies.add_named_version("m", 3);
    at.run_until([&] { return at.upstream.orders.size() == 6 && !at.lease.acting; });
    cr_assert_str_eq(at.upstream.engines_ordered.back().c_str(), "e1");
}

namespace {

std::shared_ptr<state_use> use_until(base::monotonic_time end) {
    return std::make_shared<state_use>(state_use{end});
}

/// @return what the first order told the engine to do with its requests.
running_requests_policy told(const fixture& at, const std::string& engine) {
    const auto& ordered = at.upstream.engines_ordered;
    const auto found = std::find(ordered.begin(), ordered.end(), engine);
    cr_assert(found != ordered.end());
    return at.upstream.orders[static_cast<std::size_t>(found - ordered.begin())].running;
}

}  // namespace

// Guards against state that a request stores under the name of older weights after its engine has
// loaded newer ones, whatever became of the request's exchange.
Test(rollout_service, an_engine_whose_storing_requests_may_still_run_drains_before_it_loads) {
    for (const bool own : {true, false}) {
        fixture at;
        const base::engine_name storing("e2");
        if (own) {
            const base::monotonic_time now = at.loop.scheduler.now();
            at.registry.add_state_use(storing, use_until(now + 1h), now);
        } else {
            at.other_loads[storing].state_used_for = 1h;
        }
        at.lease.current = base::fencing_token(1);
        at.policies.confirm(at.loop.scheduler.now());
        at.policies.add_named_version("m", 3);
        at.service.start();
        at.run_until([&] { return at.upstream.orders.size() == 3; });
        cr_expect(told(at, "e2") == running_requests_policy::drain_first);
        cr_expect(told(at, "e1") == running_requests_policy::pause_and_continue);
        cr_expect(told(at, "e3") == running_requests_policy::pause_and_continue);
    }
}

Test(rollout_service, an_engine_is_not_told_to_drain_for_storing_requests_that_have_ended) {
    fixture at;
    const base::monotonic_time now = at.loop.scheduler.now();
    const auto ended = use_until(now + 1h);
    ended->ended = true;
    at.registry.add_state_use(base::engine_name("e1"), ended, now);
    at.registry.add_state_use(base::engine_name("e2"), use_until(now), now);
    at.lease.current = base::fencing_token(1);
    at.service.start();
    at.run_until([&] { return at.upstream.orders.size() == 3; });
    for (const char* name : {"e1", "e2", "e3"}) {
        cr_expect(told(at, name) == running_requests_policy::pause_and_continue, "%s", name);
    }
}
