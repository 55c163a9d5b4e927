/// Versions only rise; ages are checked at use; weights are outdated since the first newer ones.
#include "ferryroad/relay/policy_source.hpp"

#include <criterion/criterion.h>

using namespace ferryroad;
using namespace ferryroad::relay;
using namespace std::chrono_literals;

namespace {

constexpr base::monotonic_time start{100s};
const std::string model = "m";

core::traffic::declaration version(std::uint64_t number) {
    core::traffic::declaration declared;
    declared.version = number;
    return declared;
}

}  // namespace

Test(policy_source, an_older_declaration_never_replaces_a_newer_one) {
    policy_source source(policy_bounds{});
    cr_assert(source.offer(version(5)));
    cr_assert_not(source.offer(version(5)));
    cr_assert_not(source.offer(version(4)));
    cr_assert_eq(source.current()->version(), 5);
    cr_assert(source.offer(version(9)));
    cr_assert_eq(source.current()->version(), 9);
}

Test(policy_source, keys_hold_while_confirmed_and_no_longer) {
    policy_source source(policy_bounds_for(true, 5s));
    cr_assert_not(source.keys_hold(start));
    source.confirm(start);
    cr_assert(source.keys_hold(start + 2800ms));
    cr_assert_not(source.keys_hold(start + 3s));
    source.confirm(start - 1s);  // An older confirmation takes nothing back.
    cr_assert(source.keys_hold(start + 2800ms));
}

Test(policy_source, keys_hold_for_ever_where_no_confirmation_is_asked_for) {
    policy_source source(policy_bounds_for(false, 5s));
    cr_assert(source.keys_hold(start));
}

Test(policy_source, weights_are_outdated_since_the_first_newer_ones) {
    policy_source source(policy_bounds{});
    source.confirm(start);
    cr_assert(source.name_version(model, 2));
    source.confirm(start + 3s);
    cr_assert(source.name_version(model, 3));
    cr_assert_not(source.name_version(model, 2));
    const version_history& history = source.versions_of(model);
    cr_assert(history.outdated_since(1) == start);
    cr_assert(history.outdated_since(2) == start + 3s);
    cr_assert_not(history.outdated_since(3).has_value());
    cr_assert_not(source.versions_of("other").outdated_since(1).has_value());
}

Test(policy_source, a_long_history_keeps_the_earliest_moment) {
    policy_source source(policy_bounds{});
    for (std::uint64_t number = 2; number < 100; ++number) {
        source.confirm(start + std::chrono::seconds(number));
        source.name_version(model, number);
    }
    cr_assert(source.versions_of(model).outdated_since(1) == start + 2s);
    cr_assert_leq(source.versions_of(model).named().size(), 32);
    cr_assert_eq(source.versions_of(model).newest(), 99);
}

Test(policy_source, what_was_recorded_tells_a_new_process_when_weights_were_named) {
    policy_source source(policy_bounds{});
    source.name_version(model, 2);
    source.name_version(model, 4);
    source.name_version("unrecorded", 2);
    source.learn_naming(model, 2, start);
    source.learn_newer({{model, 2}}, start + 5s);
    cr_assert(source.versions_of(model).outdated_since(1) == start);
    cr_assert(source.versions_of(model).outdated_since(2) == start + 5s);
    cr_assert(source.versions_of("unrecorded").outdated_since(1) == start + 5s);
    source.learn_naming(model, 4, start + 1s);  // What is known better stays.
    cr_assert(source.versions_of(model).outdated_since(2) == start + 5s);
}

Test(policy_source, while_the_record_cant_be_read_weights_are_outdated_since_the_start) {
    policy_source policies{policy_bounds{}};
    policies.name_version("m", 2);
    policies.await_record(start);
    cr_assert(policies.outdated_since("m", 1) == start);
    cr_assert_not(policies.outdated_since("m", 2).has_value());
    policies.learn_naming("m", 2, start - 5s);
    policies.take_record();
    cr_assert(policies.outdated_since("m", 1) == start - 5s);
}

Test(policy_source, versions_between_that_only_the_record_knows_count_too) {
    policy_source source(policy_bounds{});
    source.name_version(model, 4);  // All that a new process is told.
    source.learn_naming(model, 2, start);
    source.learn_naming(model, 3, start + 4s);
    source.learn_naming(model, 4, start + 9s);
    cr_assert(source.versions_of(model).outdated_since(1) == start);
    cr_assert(source.versions_of(model).outdated_since(2) == start + 4s);
    cr_assert(source.versions_of(model).outdated_since(3) == start + 9s);
    source.learn_naming(model, 7, start);  // Newer than what the owner has told.
    cr_assert_eq(source.versions_of(model).newest(), 4);
}

Test(policy_source, a_request_on_old_weights_needs_time_to_begin) {
    cr_assert(outdated_limit_for(8s) < 8s);
    cr_assert(outdated_limit_for(8s) > 7s);
    cr_assert(outdated_limit_for(100ms) == 50ms);
}
