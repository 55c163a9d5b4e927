/// Routers tell each other of the requests under which engines end, and hold such a request back
/// before it is sent. One that waited at an engine by then stayed there, and ended that engine as
/// well when its turn came, with what everybody else had in progress there.
///
/// Why: what a dispatch stands on was looked at until its first byte was written. While the request
/// waited, only the age of the engine's weights was followed; nothing told it of its quarantine.
/// Here the request waited on for the whole second in which it is to be withdrawn, with four of its
/// five seconds left (1.07 s, 3 of 3 runs). With real routers and engines that run one request at a
/// time, 24 such requests ended 78 engines, up to 5 each where 3 make a verdict.
///
/// What shows it now, of one request and digest, each line by itself before:
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

/// Engines that keep all requests waiting, each until its connection is closed.
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
    /// Counts while it lives.
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

struct fixture : relay_fixture {
    waiting_upstream engines{loop.scheduler};
    request_quarantine quarantine{
        loop.scheduler, [](base::endpoint) -> runtime::task<bool> { co_return true; }, {}};
    relay_service<waiting_upstream> holding{
        {loop.scheduler, engines, registry, selection, policies, {}, {}, nullptr, &quarantine},
        settings_of(),
        [this](const relay_plan& plan, const relay_outcome&) { ended.push_back(plan.identity); }};
    std::vector<core::quarantine::request_identity> ended;

    fixture() {
        core::traffic::declaration patient = declared(2);
        for (core::traffic::route& one : patient.routes) {
            one.timeout = 20s;
        }
        policies.offer(std::move(patient));
        policies.confirm(loop.scheduler.now());
    }
    /// @return what the request is known by.
    core::quarantine::request_identity identity_of(relay_call one) {
        one.time_left = 50ms;
        loop.context.restart();
        cr_assert(loop.run([&] { return holding.handle(std::move(one), writer); }));
        return ended.back();
    }
    /// Another router tells of three engines that ended with the request in progress.
    void tell_crashes(const core::quarantine::request_identity& request) {
        const base::monotonic_time now = loop.scheduler.now();
        for (const char* name : {"e7", "e8", "e9"}) {
            quarantine.learn({base::engine_name(name), now, now, {{request, true}}, 0}, "r2");
        }
    }
    /// Sends the request, and has it quarantined as it waits.
    /// @return how many wait at engines some time after that.
    int waiting_after_quarantine(const relay_call& one,
                                 const core::quarantine::request_identity& request) {
        int left = -1;
        loop.context.restart();
        cr_assert(loop.run([&]() -> runtime::task<void> {
            loop.scheduler.spawn("request", holding.handle(one, writer));
            co_await loop.until([&] { return engines.waiting == 1; });
            tell_crashes(request);
            co_await loop.until([&] { return quarantine.find(request) != nullptr; });
            co_await loop.scheduler.sleep_for(withdrawn_within);
            left = engines.waiting;
        }));
        return left;
    }
    /// Of the five seconds that the caller waits.
    static constexpr base::duration withdrawn_within = 1s;
};

}  // namespace

Test(quarantined_while_waiting, a_request_is_withdrawn_from_the_engine_that_it_waits_at) {
    fixture at;
    relay_call bad = at.call("/unsafe/");
    bad.message.body = "bad";
    const auto request = at.identity_of(bad);
    bad.arrived = at.loop.scheduler.now();
    cr_assert_eq(at.waiting_after_quarantine(bad, request), 0);
    cr_assert_eq(at.engines.dispatches.size(), 2, "and is sent to no other");
}
