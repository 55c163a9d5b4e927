/// What routes allow their requests, and what failed dispatches say of engines, row by row.
#include "ferryroad/relay/relay_plan.hpp"

#include <criterion/criterion.h>

using namespace ferryroad;
using namespace ferryroad::relay;
using namespace std::chrono_literals;
using core::execution::failure_kind;
using core::traffic::request_kind;

namespace {

constexpr base::monotonic_time start{100s};

dispatch_failure failure(failure_kind kind, std::optional<std::uint64_t> version = std::nullopt) {
    dispatch_failure one;
    one.kind = kind;
    one.version = version;
    return one;
}

}  // namespace

Test(relay_plan, only_safe_requests_and_resumable_streams_are_repeatable) {
    struct row {
        request_kind kind;
        bool resumable;
        bool repeatable;
    };
    for (const row& each :
         {row{request_kind::safe, false, true}, row{request_kind::unsafe, true, false},
          row{request_kind::streaming, false, false}, row{request_kind::streaming, true, true}}) {
        core::traffic::route on;
        on.kind = each.kind;
        on.resumable = each.resumable;
        cr_assert_eq(is_repeatable(on), each.repeatable);
    }
}

Test(relay_plan, runs_are_limited_by_the_route_and_proofs_allow_a_few_more) {
    core::traffic::route on;
    on.attempts = 2;
    relay_plan plan;
    plan.on = &on;
    driver_tunables tunables;
    tunables.extra_dispatches = 3;
    const auto limits = limits_of(plan, tunables);
    cr_assert_eq(limits.executions, 2);
    cr_assert_eq(limits.attempts, 5);
    cr_assert_not(limits.stale_target_is_free);
}

Test(relay_plan, a_refusal_passes_the_engine_over_longer_where_it_is_loading) {
    const driver_tunables tunables;
    for (const bool outdated : {false, true}) {
        known_engine engine;
        blame(engine, failure(failure_kind::overloaded), outdated, tunables, start);
        const auto pause = outdated ? tunables.loading_pause : tunables.refusal_pause;
        cr_assert(engine.refuses_until == start + pause);
        cr_assert_not(engine.health.suspended(start));
    }
}

Test(relay_plan, another_process_at_the_address_is_passed_over_and_other_weights_are_not) {
    known_engine engine;
    blame(engine, failure(failure_kind::stale_target, 4), false, {}, start);
    cr_assert(engine.refuses_until <= start);
    blame(engine, failure(failure_kind::stale_target), false, {}, start);
    cr_assert(engine.refuses_until > start);
}

Test(relay_plan, what_the_request_is_to_blame_for_leaves_the_engine_alone) {
    known_engine engine;
    blame(engine, failure(failure_kind::rejected), true, {}, start);
    cr_assert(engine.refuses_until <= start);
    cr_assert_not(engine.health.suspended(start));
    blame(engine, failure(failure_kind::withheld), true, {}, start);
    cr_assert(engine.refuses_until <= start);
    cr_assert_not(engine.health.suspended(start));
    blame(engine, failure(failure_kind::unreachable), false, {}, start);
    cr_assert(engine.health.suspended(start));
}
