/// An order may reach its engine long after the holder of the rollout's lease checked its token:
/// the connection has to be set up first, and the process may be suspended. A holder that stops
/// meanwhile must not write the time of that check into the lease: its successor would count the
/// handover gap from then, and its first order would follow the predecessor's last one too soon.
#include "ferryroad/relay/rollout_service.hpp"
#include "test/relay/fake_upstream.hpp"
#include "test/relay/lease_router.hpp"

#include <vector>

using namespace ferryroad;
using namespace ferryroad::relay;
using namespace ferryroad::relay::test;
using namespace std::chrono_literals;

namespace {

constexpr base::duration handover_gap = 1500ms;
/// Delay of orders; setting up a connection to an engine may take this long.
constexpr base::duration connection_delay = 300ms;

/// Delays orders, and records when they were sent, reached their engine and were answered.
class delayed_upstream : public fake_upstream {
  public:
    delayed_upstream(runtime::scheduler& scheduler, base::duration delay)
        : fake_upstream(scheduler), m_scheduler(scheduler), m_delay(delay) {}

    runtime::task<coordination::rollout::order_answer> order(engine_target target,
                                                             weights_order wanted,
                                                             base::duration limit) {
        sent.push_back(m_scheduler.now());
        co_await m_scheduler.sleep_for(m_delay);
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
    base::duration m_delay;
};

/// A router that orders one engine to load newer weights as soon as it holds the lease.
struct holder_router {
    holder_router(ferryroad::test::loopback& loop, platform::table& table, std::uint64_t process,
                  base::duration delay)
        : upstream(loop.scheduler, delay),
          contender(loop, table, process, handover_gap),
          service({loop.scheduler, upstream, registry, policies, contender.lease, {}}, settings()) {
        listed_engine one;
        one.name.value = "e1";
        one.versions["m"] = 1;
        registry.put(one);
        upstream.reports["e1"] = {1, 4, false};
        policies.add_named_version("m", 2);
        service.start();
    }
    static rollout_settings settings() {
        rollout_settings all;
        all.holder = "router";
        all.step_interval = 2ms;
        all.rollout.first_poll_delay = 2ms;
        all.rollout.look_period = 2ms;
        return all;
    }
    /// Stops as on a planned stop.
    void stop() {
        service.stop();
        contender.lease.finish();
        contender.leases.stop();
    }

    delayed_upstream upstream;
    engine_registry registry;
    policy_source policies{policy_staleness_limits{}};
    lease_router contender;
    rollout_service<delayed_upstream, rollout_lease> service;
};

void run_until(ferryroad::test::loopback& loop, std::function<bool()> condition) {
    loop.context.restart();
    cr_assert(loop.run([&] { return loop.until(condition); }));
}

/// @return the time from the arrival of the first holder's last order to that of the successor's
/// first.
base::duration gap_between(ferryroad::test::loopback& loop, const holder_router& first,
                           const holder_router& second) {
    run_until(loop, [&] { return !first.upstream.arrived.empty(); });
    run_until(loop, [&] { return !second.upstream.arrived.empty(); });
    return second.upstream.arrived.front() - first.upstream.arrived.back();
}

long milliseconds(base::duration time) {
    return static_cast<long>(base::to_milliseconds(time));
}

}  // namespace

Test(rollout_order_arrival, a_holder_that_stops_while_its_order_is_in_flight_is_waited_for) {
    ferryroad::test::loopback loop;
    single_row_table table;
    holder_router first(loop, table, 1, connection_delay);
    run_until(loop, [&] { return !first.upstream.sent.empty(); });
    first.stop();
    holder_router second(loop, table, 2, 0ms);
    const base::duration between = gap_between(loop, first, second);
    cr_assert(between >= handover_gap, "%ld ms", milliseconds(between));
}

Test(rollout_order_arrival, a_holder_that_stops_right_after_an_answer_is_waited_for) {
    ferryroad::test::loopback loop;
    single_row_table table;
    holder_router first(loop, table, 1, connection_delay);
    run_until(loop, [&] { return !first.upstream.answered.empty(); });
    first.stop();
    holder_router second(loop, table, 2, 0ms);
    const base::duration between = gap_between(loop, first, second);
    cr_assert(between >= handover_gap, "%ld ms", milliseconds(between));
}
