/// Share of the requests that goes to the canary version, and selection of its engines.
#include "ferryroad/core/canary/canary_engines.hpp"
#include "ferryroad/core/canary/exposure_budget.hpp"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <algorithm>
#include <set>
#include <string>
#include <vector>

namespace {

using namespace ferryroad;
using namespace ferryroad::core::canary;

using engines = std::vector<base::engine_name>;

engines named(std::size_t count) {
    engines names;
    for (std::size_t number = 0; number < count; ++number) {
        names.emplace_back("engine-" + std::to_string(number));
    }
    return names;
}

std::set<base::engine_name> set_of(const engines& names) {
    return {names.begin(), names.end()};
}

std::size_t missing_in(const engines& names, const engines& other) {
    const auto in_other = set_of(other);
    return static_cast<std::size_t>(std::count_if(
        names.begin(), names.end(), [&](const auto& name) { return !in_other.contains(name); }));
}

double any_share() {
    return *rc::gen::inRange(1, 21) / 100.0;
}

/// Tolerance for rounding in sums of the share.
constexpr double rounding = 1e-6;

}  // namespace

Test(exposure_budget, never_more_than_the_share) {
    cr_assert(rc::check([] {
        const double share = any_share();
        exposure_budget budget({share, 1});
        for (const int event : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 8))) {
            const base::route_name route("r" + std::to_string(event % 4));
            if (event < 7) {
                budget.take(route);
            } else {
                budget.give_back(route);
            }
            const auto most = share * static_cast<double>(budget.requests());
            RC_ASSERT(static_cast<double>(budget.exposed()) <= most + rounding);
        }
    }));
}

Test(exposure_budget, each_route_gets_its_share_spread_evenly) {
    exposure_budget budget;
    const base::route_name busy("busy");
    const base::route_name rare("rare");
    std::vector<int> at;
    int rare_ones = 0;
    for (int request = 1; request <= 1000; ++request) {
        if (budget.take(busy)) {
            at.push_back(request);
        }
        rare_ones += request % 10 == 0 && budget.take(rare) ? 1 : 0;
    }
    cr_assert_geq(at.size(), 69);
    cr_assert_geq(at.front(), 14);
    for (std::size_t index = 1; index < at.size(); ++index) {
        cr_assert_geq(at[index] - at[index - 1], 14);
    }
    cr_assert_geq(rare_ones, 6);
}

Test(exposure_budget, what_is_given_back_may_be_taken_once_more) {
    exposure_budget budget({0.1, 1});
    const base::route_name route("r");
    while (!budget.take(route)) {
    }
    budget.give_back(route);
    cr_assert_eq(budget.exposed(), 0);
    cr_assert(budget.take(route));
    cr_assert_not(budget.take(route));
    cr_assert_eq(budget.exposed(), 1);
}

Test(select_canary_engines, all_routers_choose_alike_whatever_the_order_of_the_list) {
    cr_assert(rc::check([] {
        engines candidates = named(*rc::gen::inRange<std::size_t>(1, 150));
        const auto order = *rc::gen::arbitrary<std::uint64_t>();
        const auto current = *rc::gen::inRange<std::size_t>(0, 150);
        const double share = any_share();
        const engines chosen = select_canary_engines(order, candidates, current, share);
        std::reverse(candidates.begin(), candidates.end());
        candidates.push_back(candidates.front());
        RC_ASSERT(select_canary_engines(order, candidates, current, share) == chosen);
        RC_ASSERT(!chosen.empty());
        RC_ASSERT(set_of(chosen).size() == chosen.size());
    }));
}

Test(select_canary_engines, when_one_goes_at_most_one_other_enters) {
    cr_assert(rc::check([] {
        engines candidates = named(*rc::gen::inRange<std::size_t>(2, 150));
        const auto order = *rc::gen::arbitrary<std::uint64_t>();
        const auto current = *rc::gen::inRange<std::size_t>(0, 150);
        const engines before = select_canary_engines(order, candidates, current, 0.07);
        const auto gone = *rc::gen::inRange<std::size_t>(0, candidates.size());
        const bool was_chosen = set_of(before).contains(candidates[gone]);
        candidates.erase(candidates.begin() + static_cast<std::ptrdiff_t>(gone));
        const engines after = select_canary_engines(order, candidates, current, 0.07);
        RC_ASSERT(missing_in(after, before) <= (was_chosen ? 1U : 0U));
        RC_ASSERT(missing_in(before, after) == (was_chosen ? 1U : 0U));
    }));
}

Test(select_canary_engines, each_has_about_the_load_of_an_engine_in_force) {
    for (std::size_t current = 1; current <= 200; ++current) {
        const double share = 0.07;
        const auto chosen = select_canary_engines(1, named(current), current, share).size();
        const double each = share / static_cast<double>(chosen);
        const double current_engine_load = (1 - share) / static_cast<double>(current);
        cr_assert_leq(each, 1.25 * current_engine_load + rounding, "%zu", current);
        // With a single canary engine the load may be lower.
        cr_assert(chosen == 1 || each > 0.6 * current_engine_load, "%zu", current);
    }
}

Test(select_canary_engines, none_where_there_are_none_and_all_where_there_are_few) {
    cr_assert(select_canary_engines(1, {}, 100, 0.07).empty());
    cr_assert_eq(select_canary_engines(1, named(2), 100, 0.07).size(), 2);
}

Test(select_canary_engines, each_order_takes_others) {
    std::set<base::engine_name> ever;
    for (std::uint64_t order = 1; order <= 50; ++order) {
        ever.merge(set_of(select_canary_engines(order, named(20), 20, 0.07)));
    }
    cr_assert_geq(ever.size(), 15);
}
