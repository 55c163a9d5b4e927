/// Selection of the state store for a prompt, and which state is worth saving.
#include "ferryroad/core/placement/state_stores.hpp"

#include <criterion/criterion.h>

#include <map>
#include <string>

using namespace ferryroad;
using namespace ferryroad::core;
using namespace ferryroad::core::placement;

namespace {

std::vector<traffic::state_store> some_stores() {
    return {{{"10.0.0.1", 9}, base::zone_name("z1")},
            {{"10.0.0.2", 9}, base::zone_name("z2")},
            {{"10.0.0.3", 9}, base::zone_name("z3")}};
}

prefix::declared_prompt prompt_of(const std::string& shared, const std::string& own) {
    return {"m", {{"root", 2500}, {shared, 3800}, {own, 2900}}, 9200, 20};
}

}  // namespace

Test(state_stores, prompts_are_spread_over_all_stores) {
    const auto stores = some_stores();
    std::map<std::string, int> prompts;
    for (int index = 0; index < 300; ++index) {
        const auto prompt = prompt_of("p" + std::to_string(index), "own");
        ++prompts[select_store(stores, prompt)->address.to_string()];
    }
    cr_assert_eq(prompts.size(), 3);
    for (const auto& [address, count] : prompts) {
        cr_assert_gt(count, 60, "%s", address.c_str());
    }
}

Test(state_stores, requests_with_the_same_shared_parts_meet_in_any_order_of_stores) {
    auto stores = some_stores();
    const std::string first = select_store(stores, prompt_of("p", "own-1"))->address.to_string();
    std::swap(stores.front(), stores.back());
    cr_assert(select_store(stores, prompt_of("p", "own-2"))->address.to_string() == first);
}

Test(state_stores, nothing_is_named_without_stores_or_shared_parts) {
    cr_assert_null(select_store({}, prompt_of("p", "own")));
    const prefix::declared_prompt alone{"m", {{"own", 100}}, 100, 5};
    cr_assert_null(select_store(some_stores(), alone));
}

Test(state_stores, cached_state_is_not_saved) {
    cr_assert(is_worth_saving({6300, 0, 2900}));
    cr_assert(is_worth_saving({6300, 2500, 2900}));
    cr_assert_not(is_worth_saving({6300, 6300, 2900}));
    cr_assert_not(is_worth_saving({6300, 9000, 0}));
}

Test(state_stores, a_short_shared_prefix_with_a_long_last_part_is_not_saved) {
    cr_assert_not(is_worth_saving({200, 0, 628}));
    cr_assert(is_worth_saving({6300, 0, 6300}));
    cr_assert_not(is_worth_saving({6300, 0, 6301}));
}

// Guards against engines that are held up from loading newer weights for state of little use.
Test(state_stores, requests_that_cannot_be_moved_save_no_small_state) {
    const std::uint64_t least = least_pinned_tokens;
    cr_assert(is_worth_saving({least, 0, 100, true}));
    cr_assert_not(is_worth_saving({least, 1, 100, true}), "the newly computed tokens count");
    cr_assert(is_worth_saving({least, 1, 100, false}));
}
