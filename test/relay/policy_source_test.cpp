/// Policy versions never go back; staleness is checked at use; weights are outdated from the time
/// at which the next newer version may have been named.
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

Test(policy_source, older_declarations_are_ignored) {
    policy_source source(policy_staleness_limits{});
    cr_assert(source.offer(version(5)));
    cr_assert_not(source.offer(version(5)));
    cr_assert_not(source.offer(version(4)));
    cr_assert_eq(source.current()->version(), 5);
    cr_assert(source.offer(version(9)));
    cr_assert_eq(source.current()->version(), 9);
}

Test(policy_source, keys_are_valid_only_while_confirmed) {
    policy_source source(policy_staleness_limits_for(true, 5s));
    cr_assert_not(source.keys_valid(start));
    source.confirm(start);
    cr_assert(source.keys_valid(start + 2800ms));
    cr_assert_not(source.keys_valid(start + 3s));
    source.confirm(start - 1s);  // An older confirmation has no effect.
    cr_assert(source.keys_valid(start + 2800ms));
}

Test(policy_source, keys_stay_valid_if_no_confirmation_is_required) {
    policy_source source(policy_staleness_limits_for(false, 5s));
    cr_assert(source.keys_valid(start));
}

Test(policy_source, weights_are_outdated_from_the_next_newer_version) {
    policy_source source(policy_staleness_limits{});
    source.confirm(start);
    cr_assert(source.add_named_version(model, 2));
    source.confirm(start + 3s);
    cr_assert(source.add_named_version(model, 3));
    cr_assert_not(source.add_named_version(model, 2));
    const version_history& history = source.versions_of(model);
    cr_assert(history.outdated_since(1) == start);
    cr_assert(history.outdated_since(2) == start + 3s);
    cr_assert_not(history.outdated_since(3).has_value());
    cr_assert_not(source.versions_of("other").outdated_since(1).has_value());
}

Test(policy_source, long_history_keeps_the_earliest_time) {
    policy_source source(policy_staleness_limits{});
    for (std::uint64_t number = 2; number < 100; ++number) {
        source.confirm(start + std::chrono::seconds(number));
        source.add_named_version(model, number);
    }
    cr_assert(source.versions_of(model).outdated_since(1) == start + 2s);
    cr_assert_leq(source.versions_of(model).named().size(), 32);
    cr_assert_eq(source.versions_of(model).newest(), 99);
}

Test(policy_source, recorded_namings_set_times_in_a_new_process) {
    policy_source source(policy_staleness_limits{});
    source.add_named_version(model, 2);
    source.add_named_version(model, 4);
    source.add_named_version("unrecorded", 2);
    source.add_recorded_naming(model, 2, start);
    source.raise_unrecorded_namings({{model, 2}}, start + 5s);
    cr_assert(source.versions_of(model).outdated_since(1) == start);
    cr_assert(source.versions_of(model).outdated_since(2) == start + 5s);
    cr_assert(source.versions_of("unrecorded").outdated_since(1) == start + 5s);
    source.add_recorded_naming(model, 4, start + 1s);  // A later lower bound is kept.
    cr_assert(source.versions_of(model).outdated_since(2) == start + 5s);
}

Test(policy_source, weights_count_as_outdated_from_the_start_until_the_record_is_read) {
    policy_source policies{policy_staleness_limits{}};
    policies.add_named_version("m", 2);
    policies.await_record(start);
    cr_assert(policies.outdated_since("m", 1) == start);
    cr_assert_not(policies.outdated_since("m", 2).has_value());
    policies.add_recorded_naming("m", 2, start - 5s);
    policies.finish_record_read();
    cr_assert(policies.outdated_since("m", 1) == start - 5s);
}

Test(policy_source, inserts_versions_known_only_from_the_record) {
    policy_source source(policy_staleness_limits{});
    source.add_named_version(model, 4);  // A new process receives only the newest version.
    source.add_recorded_naming(model, 2, start);
    source.add_recorded_naming(model, 3, start + 4s);
    source.add_recorded_naming(model, 4, start + 9s);
    cr_assert(source.versions_of(model).outdated_since(1) == start);
    cr_assert(source.versions_of(model).outdated_since(2) == start + 4s);
    cr_assert(source.versions_of(model).outdated_since(3) == start + 9s);
}

// Guards against: the owner's row fell back to an older version by a late write, all routers
// restarted, and the newer version, which had been acknowledged, was never loaded again.
Test(policy_source, a_recorded_version_newer_than_the_owners_row_was_named) {
    policy_source source(policy_staleness_limits{});
    source.add_named_version(model, 4);
    source.add_recorded_naming(model, 7, start);
    cr_assert_eq(source.versions_of(model).newest(), 7);
    cr_assert(source.versions_of(model).outdated_since(4) == start);
    source.add_named_version(model, 5);
    cr_assert_eq(source.versions_of(model).newest(), 7);
}

Test(policy_source, outdated_limit_leaves_a_margin_for_messages) {
    cr_assert(outdated_limit_for(8s) < 8s);
    cr_assert(outdated_limit_for(8s) > 7s);
    cr_assert(outdated_limit_for(100ms) == 50ms);
}

Test(policy_source, a_version_seen_at_an_engine_counts_until_it_should_have_been_named) {
    policy_source source(policy_staleness_limits{});
    source.add_named_version(model, 2);
    source.confirm(start);
    cr_assert(source.is_newest(model, 2));
    cr_assert_not(source.is_newest(model, 1));
    cr_assert(source.record_observed_version(model, 3, start + 1s));
    cr_assert_not(source.record_observed_version(model, 3, start + 2s), "known already");
    cr_assert_not(source.is_newest(model, 2));
    cr_assert(source.is_newest(model, 3));
    cr_assert_eq(source.versions_of(model).newest(), 2, "an observation names nothing");
    source.confirm(start + 1s);
    cr_assert_not(source.is_newest(model, 2), "may have been named since");
    source.confirm(start + 2s);
    cr_assert(source.is_newest(model, 2), "it was never named");
    source.add_named_version(model, 3);
    cr_assert_not(source.is_newest(model, 2));
}
