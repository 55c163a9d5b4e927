/// Tests of the reports and asks to the router that counts the slots of an engine.
#include "ferryroad/quotas/slot_service.hpp"

#include "test/http/loopback.hpp"

#include <criterion/criterion.h>

#include <string>
#include <vector>

using namespace ferryroad;
using namespace std::chrono_literals;
using quotas::quota_ask;
using quotas::quota_verdict;
using quotas::slot_use;

namespace {

const base::router_name self("r0");
const base::router_name other("r1");
const base::region_name here("here");
const base::region_name there("there");

/// The service of a router whose asks reach the other one, which doesn't answer unless told to.
struct fixture {
    ferryroad::test::loopback loop;
    std::vector<quota_ask> received;
    bool answers = false;
    quotas::slot_service service{loop.scheduler, self, [this](base::router_name, quota_ask ask) {
                                     return receive(std::move(ask));
                                 }};

    fixture() { service.set_routers({self, other}, {{self, here}, {other, there}}); }

    runtime::task<std::optional<quota_verdict>> receive(quota_ask ask) {
        received.push_back(std::move(ask));
        co_return answers ? std::optional(quota_verdict{true}) : std::nullopt;
    }
    /// @return the decision on a request to an engine of the other router's region.
    std::optional<quotas::slot_decision> acquire() {
        std::optional<quotas::slot_decision> decision;
        loop.context.restart();
        const bool ended = loop.run([&]() -> runtime::task<void> {
            quotas::located_engine engine{base::engine_name("e"), there};
            decision = co_await service.acquire(std::move(engine), slot_use{}, 0ms);
        });
        cr_assert(ended);
        return decision;
    }
    bool report() {
        bool answered = false;
        loop.context.restart();
        const bool ended = loop.run([&]() -> runtime::task<void> {
            quotas::located_engine engine{base::engine_name("e"), there};
            answered = co_await service.report(std::move(engine), slot_use{});
        });
        cr_assert(ended);
        return answered;
    }
    void exclude_home() {
        for (int ask = 0; ask < 3; ++ask) {
            cr_assert_not(acquire().has_value());
        }
        cr_assert_not(acquire()->verdict.decided);
        received.clear();
    }
};

}  // namespace

Test(slot_service, the_home_of_an_engine_is_in_its_region) {
    fixture routers;
    routers.answers = true;
    const auto decision = routers.acquire();
    cr_assert(decision && decision->verdict.granted);
    cr_assert(decision->counted_by == other);
}

/// Such a home granted slots again that routers used whom its answers did not reach in time.
Test(slot_service, slots_in_use_are_reported_to_a_home_that_does_not_answer) {
    fixture routers;
    routers.exclude_home();
    cr_assert_not(routers.report());
    cr_assert_eq(routers.received.size(), 1);
}

Test(slot_service, a_home_that_answers_a_report_is_asked_again_at_once) {
    fixture routers;
    routers.exclude_home();
    routers.answers = true;
    cr_assert(routers.report());
    const auto decision = routers.acquire();
    cr_assert(decision && decision->verdict.granted);
}
