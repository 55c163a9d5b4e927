/// An order counts when it reaches its engine, which may be long after the leader of the rollout
/// asked for its right to act: the connection is made first, and the process may stand still. A
/// leader that ends meanwhile left word of the moment at which it had asked. Its successor waited
/// for a turn from then, and its own first order followed the predecessor's last one too soon.
#include "ferryroad/relay/rollout_service.hpp"
#include "test/relay/fake_upstream.hpp"
#include "test/relay/lease_router.hpp"

#include <vector>

using namespace ferryroad;
using namespace ferryroad::relay;
using namespace ferryroad::relay::test;
using namespace std::chrono_literals;

namespace {

constexpr base::duration turn = 1500ms;
/// As long as a connection to an engine may take.
constexpr base::duration slow_way = 300ms;

/// Notes when orders were sent and when they reached their engine.
class distant_upstream : public fake_upstream {
  public:
    distant_upstream(runtime::scheduler& scheduler, base::duration way)
        : fake_upstream(scheduler), m_scheduler(scheduler), m_way(way) {}

    runtime::task<coordination::rollout::order_answer> order(engine_target target,
                                                             weights_order wanted,
                                                             base::duration limit) {
        sent.push_back(m_scheduler.now());
        co_await m_scheduler.sleep_for(m_way);
        arrived.push_back(m_scheduler.now());
        const auto answer =
            co_await fake_upstream::order(std::move(target), std::move(wanted), limit);
        answered.push_back(m_scheduler.now());
        co_return answer;
    }

    std::vector<base::monotonic_time> sent;
    std::vector<base::monotonic_time> arrived;
    std::vector<base::monotonic_time> answered;

  private:
    runtime::scheduler& m_scheduler;
    base::duration m_way;
};

/// A router that brings one engine to newer weights as soon as it leads.
struct leader {
    leader(ferryroad::test::loopback& loop, platform::table& table, std::uint64_t process,
           base::duration way)
        : upstream(loop.scheduler, way),
          contender(loop, table, process, turn),
          service({loop.scheduler, upstream, registry, policies, contender.lease, {}}, settings()) {
        listed_engine one;
        one.name.value = "e1";
        one.versions["m"] = 1;
        registry.put(one);
        upstream.reports["e1"] = {1, 4, false};
        policies.name_version("m", 2);
        service.start();
    }
    static rollout_settings settings() {
        rollout_settings all;
        all.holder = "router";
        all.period = 2ms;
        all.rollout.first_look = 2ms;
        all.rollout.look_period = 2ms;
        return all;
    }
    /// As on a planned stop.
    void stop() {
        service.stop();
        contender.lease.finish();
        contender.leases.stop();
    }

    distant_upstream upstream;
    engine_registry registry;
    policy_source policies{policy_bounds{}};
    lease_router contender;
    rollout_service<distant_upstream, rollout_lease> service;
};

void run_until(ferryroad::test::loopback& loop, std::function<bool()> condition) {
    loop.context.restart();
    cr_assert(loop.run([&] { return loop.until(condition); }));
}

/// @return from the first leader's last order's arrival to that of its successor's first.
base::duration turn_between(ferryroad::test::loopback& loop, const leader& first,
                            const leader& second) {
    run_until(loop, [&] { return !first.upstream.arrived.empty(); });
    run_until(loop, [&] { return !second.upstream.arrived.empty(); });
    return second.upstream.arrived.front() - first.upstream.arrived.back();
}

long milliseconds(base::duration time) {
    return static_cast<long>(base::to_milliseconds(time));
}

}  // namespace

Test(rollout_order_arrival, a_leader_that_ends_while_its_order_is_on_its_way_is_waited_for) {
    ferryroad::test::loopback loop;
    single_row_table table;
    leader first(loop, table, 1, slow_way);
    run_until(loop, [&] { return !first.upstream.sent.empty(); });
    first.stop();
    leader second(loop, table, 2, 0ms);
    const base::duration between = turn_between(loop, first, second);
    cr_assert(between >= turn, "%ld ms", milliseconds(between));
}

Test(rollout_order_arrival, so_is_one_whose_order_has_just_been_answered) {
    ferryroad::test::loopback loop;
    single_row_table table;
    leader first(loop, table, 1, slow_way);
    run_until(loop, [&] { return !first.upstream.answered.empty(); });
    first.stop();
    leader second(loop, table, 2, 0ms);
    const base::duration between = turn_between(loop, first, second);
    cr_assert(between >= turn, "%ld ms", milliseconds(between));
}
