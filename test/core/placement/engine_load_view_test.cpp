/// Load reports of other routers are summed, replaced by later ones, and expire.
#include "ferryroad/core/placement/engine_load_view.hpp"

#include <criterion/criterion.h>

using namespace ferryroad;
using namespace ferryroad::core::placement;
using namespace std::chrono_literals;

namespace {

constexpr base::monotonic_time start{100s};
const base::engine_name engine("e1");
const base::router_name first("r1");
const base::router_name second("r2");

}  // namespace

Test(engine_load_view, sums_the_reports_of_routers) {
    engine_load_view view;
    view.state(first, {{engine, 2, 700, {}}}, start);
    view.state(second, {{engine, 3, 50, {}}, {base::engine_name("e2"), 1, 0, {}}}, start);
    const auto totals = view.totals(start + 1s);
    cr_assert(totals.at(engine) == (peer_load{5, 750, false}));
    cr_assert_eq(totals.size(), 2);
}

Test(engine_load_view, a_report_replaces_the_senders_previous_one) {
    engine_load_view view;
    view.state(first, {{engine, 2, 700, {}}}, start);
    view.state(first, {}, start);
    cr_assert(view.totals(start).empty());
}

Test(engine_load_view, a_report_expires) {
    engine_load_view view(1500ms);
    view.state(first, {{engine, 2, 700, {}}}, start);
    cr_assert_eq(view.totals(start + 1499ms).size(), 1);
    cr_assert(view.totals(start + 1500ms).empty());
    view.state(second, {{engine, 1, 0, {}}}, start);
    view.forget(second);
    cr_assert(view.totals(start + 1500ms).empty());
}

Test(engine_load_view, a_refusal_lasts_for_the_reported_time) {
    engine_load_view view;
    view.state(first, {{engine, 0, 0, 300ms}}, start);
    cr_assert(view.totals(start + 299ms).at(engine).refuses);
    cr_assert_not(view.totals(start + 300ms).at(engine).refuses);
}

// Guards against an engine that loads newer weights while a request that stores state still runs
// there, because the request's router has crashed and reports nothing any more.
Test(engine_load_view, storing_requests_outlast_the_reports_of_their_router) {
    engine_load_view view(1500ms);
    view.state(first, {{engine, 1, 0, {}, 0, 6s}}, start);
    view.state(second, {{engine, 1, 0, {}, 0, 2s}}, start);
    const auto later = view.totals(start + 3s);
    cr_assert_eq(later.size(), 1);
    cr_assert(later.at(engine) == (peer_load{0, 0, false, 0, 3s}));
    cr_assert(view.totals(start + 6s).empty());
    view.state(first, {}, start + 4s);
    cr_assert(view.totals(start + 4s).empty());
}

// Guards against loads that were reported before their router knew of newer weights: it may have
// sent more requests that store state since.
Test(engine_load_view, loads_are_current_once_their_routers_know_of_the_version) {
    engine_load_view view;
    const std::set<base::router_name> both{first, second};
    view.state(first, {}, start, {{"m", 2}, {"n", 7}});
    view.state(second, {}, start, {{"m", 1}});
    cr_assert_not(view.is_current(both, "m", 2));
    cr_assert(view.is_current({first}, "m", 2));
    cr_assert_not(view.is_current(both, "n", 7));
    view.state(second, {}, start + 1s, {{"m", 3}});
    view.state(second, {}, start + 2s);
    cr_assert(view.is_current(both, "m", 2), "versions need not be repeated");
    cr_assert_not(view.is_current({base::router_name("r3")}, "m", 1));
    cr_assert(view.is_current({}, "m", 2));
}
