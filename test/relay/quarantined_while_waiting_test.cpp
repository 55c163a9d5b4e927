/// A request that is quarantined while it waits at an engine must be withdrawn. Guards against
/// checking the quarantine only until the first byte is sent: the waiting request then stayed in
/// the engine's queue and, when its turn came, crashed that engine as well, together with all other
/// requests in progress there. Without the withdrawal, 24 such requests crashed 78 engines, up to 5
/// each, although 3 crashes suffice for a quarantine.
///
/// The router logs these lines for the request:
///
///     request quarantined  digest=... crashes=3
///     withdrawn            digest=... lost=no_quarantine waited_ms=...
///     ended                cause=quarantined status=502
#include "ferryroad/relay/request_quarantine.hpp"
#include "test/relay/fake_upstream.hpp"

#include <criterion/criterion.h>

#include <string>
#include <vector>

using namespace ferryroad;
using namespace ferryroad::relay;
using namespace ferryroad::relay::test;
using namespace std::chrono_literals;

namespace {

/// Engines that keep all requests waiting until their connections are closed.
class waiting_upstream : public fake_upstream {
  public:
    explicit waiting_upstream(runtime::scheduler& scheduler)
        : fake_upstream(scheduler), m_scheduler(scheduler) {}

    runtime::task<runtime::result<opened_answer, dispatch_failure>> open(engine_target target,
                                                                         dispatch sent,
                                                                         base::duration limit) {
        engines.push_back(target.name.value);
        dispatches.push_back(std::move(sent));
        const waiting_request here(waiting);
        co_await m_scheduler.sleep_for(limit);
        co_return failure(core::execution::failure_kind::timed_out,
                          core::execution::failure_proof::unknown);
    }

    int waiting = 0;

  private:
    /// Increments the count for its lifetime.
    class waiting_request {
      public:
        explicit waiting_request(int& count) : m_count(count) { ++m_count; }
        ~waiting_request() { --m_count; }
        waiting_request(const waiting_request&) = delete;
        waiting_request& operator=(const waiting_request&) = delete;

      private:
        int& m_count;
    };

    runtime::scheduler& m_scheduler;
};

struct waiting_fixture : relay_fixture {
    waiting_upstream engines{loop.scheduler};
    request_quarantine quarantine{
        loop.scheduler, [](engine_target) -> runtime::task<bool> { co_return true; }, {}};
    relay_service<waiting_upstream> quarantining_service{
        {loop.scheduler, engines, registry, selection, policies, {}, {}, nullptr, &quarantine},
        settings_of(),
        [this](const relay_plan& plan, const relay_outcome&) { ended.push_back(plan.identity); }};
    std::vector<core::quarantine::request_identity> ended;

    waiting_fixture() {
        core::traffic::declaration long_timeouts = declared(2);
        for (core::traffic::route& one : long_timeouts.routes) {
            one.timeout = 20s;
        }
        policies.offer(std::move(long_timeouts));
        policies.confirm(loop.scheduler.now());
    }
    /// @return the identity of the request, which is sent once.
    core::quarantine::request_identity identity_of(relay_call one) {
        one.time_left = 50ms;
        loop.context.restart();
        cr_assert(loop.run([&] { return quarantining_service.handle(std::move(one), writer); }));
        return ended.back();
    }
    /// Another router reports three engines that crashed with the request in progress.
    void report_crashes(const core::quarantine::request_identity& request) {
        const base::monotonic_time now = loop.scheduler.now();
        for (const char* name : {"e7", "e8", "e9"}) {
            quarantine.learn({base::engine_name(name), now, now, {{request, true}}, 0}, "r2");
        }
    }
    /// Another router reports engines that crashed with different requests with the part.
    void report_crashes(const core::quarantine::part_identity& part) {
        const base::monotonic_time now = loop.scheduler.now();
        std::uint64_t number = 0;
        for (const char* name : {"e7", "e8", "e9"}) {
            ++number;
            quarantine.learn(
                {base::engine_name(name), now, now, {{{{number, 0}}, true, {part}}}, 0}, "r2");
        }
    }
    bool is_quarantined(const core::quarantine::request_identity& request) {
        return quarantine.find(request) != nullptr;
    }
    bool is_quarantined(const core::quarantine::part_identity& part) {
        return quarantine.find_part({part}) != nullptr;
    }
    /// Sends the request and has it, or a part of its prompt, quarantined while it waits.
    /// @return the number of requests that wait at engines `withdrawn_within` later.
    template <typename Identity>
    int waiting_after_quarantine(const relay_call& one, const Identity& suspect) {
        int left = -1;
        loop.context.restart();
        cr_assert(loop.run([&]() -> runtime::task<void> {
            loop.scheduler.spawn("request", quarantining_service.handle(one, writer));
            co_await loop.until([&] { return engines.waiting == 1; });
            report_crashes(suspect);
            co_await loop.until([&] { return is_quarantined(suspect); });
            co_await loop.scheduler.sleep_for(withdrawn_within);
            left = engines.waiting;
        }));
        return left;
    }
    /// Well within the five seconds that the caller waits.
    static constexpr base::duration withdrawn_within = 1s;
};

}  // namespace

Test(quarantined_while_waiting, a_request_is_withdrawn_from_the_engine_that_it_waits_at) {
    waiting_fixture fixture;
    relay_call bad = fixture.call("/unsafe/");
    bad.message.body = "bad";
    const auto request = fixture.identity_of(bad);
    bad.arrived = fixture.loop.scheduler.now();
    cr_assert_eq(fixture.waiting_after_quarantine(bad, request), 0);
    cr_assert_eq(fixture.engines.dispatches.size(), 2, "it must not be sent to another engine");
}

Test(quarantined_while_waiting, a_request_with_a_quarantined_part_is_withdrawn) {
    waiting_fixture fixture;
    relay_call bad = fixture.call("/unsafe/");
    bad.prompt = core::prefix::declared_prompt{"m", {{"all", 10}, {"bad", 10}, {"own", 1}}, 21, 5};
    const auto parts = core::quarantine::parts_of(*bad.prompt);
    cr_assert_eq(fixture.waiting_after_quarantine(bad, parts[1]), 0);
    cr_assert_eq(fixture.engines.dispatches.size(), 1, "it must not be sent to another engine");
}
