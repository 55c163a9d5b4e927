/// Sums stay right where reports are lost, duplicated or reordered, and where routers restart.
#include "ferryroad/relay/gathered_reports.hpp"

#include <criterion/criterion.h>

using namespace ferryroad;
using namespace ferryroad::relay;

namespace {

peer::release_report report(const char* router, std::uint64_t process, std::uint32_t answered,
                            const char* route = "r") {
    peer::release_report one;
    one.sender.value = router;
    one.sender_incarnation.value = process;
    auto& counted = one.counts[base::route_name(route)];
    counted.canary.answered = answered;
    counted.canary.failed = answered / 2;
    counted.canary.durations[3] = answered - answered / 2;
    counted.current.answered = 10 * answered;
    return one;
}

}  // namespace

Test(gathered_reports, duplicated_and_reordered_reports_are_ignored) {
    gathered_reports gathered;
    gathered.add(report("a", 1, 6));
    gathered.add(report("a", 1, 8));
    gathered.add(report("a", 1, 6));
    gathered.add(report("a", 1, 8));
    const auto& sum = gathered.sum().at(base::route_name("r"));
    cr_assert_eq(sum.canary.answered, 8);
    cr_assert_eq(sum.canary.failed, 4);
    cr_assert_eq(sum.canary.durations[3], 4);
    cr_assert_eq(sum.current.answered, 80);
}

Test(gathered_reports, counts_of_routers_processes_and_routes_add_up) {
    gathered_reports gathered;
    gathered.add(report("a", 1, 8));
    gathered.add(report("a", 2, 2));
    gathered.add(report("b", 1, 4));
    gathered.add(report("b", 1, 6, "s"));
    cr_assert_eq(gathered.sum().at(base::route_name("r")).canary.answered, 14);
    cr_assert_eq(gathered.sum().at(base::route_name("s")).canary.answered, 6);
}
