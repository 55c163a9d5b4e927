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
