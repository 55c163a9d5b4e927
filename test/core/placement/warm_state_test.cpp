/// Index of cached prompt state: expectations, events, expiry and bounds.
#include "ferryroad/core/placement/warm_state.hpp"

#include <criterion/criterion.h>

using namespace ferryroad;
using namespace ferryroad::core::placement;
using namespace std::chrono_literals;
using core::prefix::key_of;
using core::prefix::part_key;
using core::prefix::scoped_part;

namespace {

constexpr base::monotonic_time start{100s};
const base::engine_name a("a");
const base::engine_name b("b");

std::vector<scoped_part> prompt() {
    return {{key_of("s", "m", "p1"), 100}, {key_of("s", "m", "p2"), 50}};
}

}  // namespace

Test(warm_state, an_expectation_expires_without_an_event) {
    warm_state warm;
    warm.expect(prompt(), a, start);
    cr_assert_eq(warm.tokens_held(prompt(), a, start + 1s), 150);
    cr_assert_eq(warm.tokens_held(prompt(), b, start + 1s), 0);
    warm.follow(a, true);
    cr_assert_eq(warm.tokens_held(prompt(), a, start + 2s), 0);
}

Test(warm_state, a_long_prompt_may_be_confirmed_later) {
    warm_state warm;
    warm.follow(a, true);
    const std::vector<scoped_part> long_prompt = {{key_of("s", "m", "long"), 40000}};
    warm.expect(long_prompt, a, start);
    cr_assert_eq(warm.tokens_held(long_prompt, a, start + 2600ms), 40000);
    cr_assert_eq(warm.tokens_held(long_prompt, a, start + 2800ms), 0);
}

Test(warm_state, all_holders_of_a_prefix_are_known) {
    warm_state warm;
    warm.follow(a, true);
    warm.follow(b, true);
    warm.told(prompt()[0].key, a, 100, start);
    warm.told(prompt()[1].key, a, 20, start);
    warm.told(prompt()[1].key, b, 50, start);  // Not usable without the part before it.
    const std::vector<holding> alone = {{a, 120, true}};
    cr_assert(warm.holdings(prompt(), start) == alone);
    warm.expect({prompt()[0]}, b, start);
    const std::vector<holding> both = {{a, 120, true}, {b, 150, false}};
    cr_assert(warm.holdings(prompt(), start) == both);
    cr_assert(warm.holdings({}, start).empty());
}

Test(warm_state, without_events_an_expectation_lasts_longer) {
    warm_state warm;
    warm.expect(prompt(), a, start);
    cr_assert_eq(warm.tokens_held(prompt(), a, start + 10s), 150);
    cr_assert_eq(warm.tokens_held(prompt(), a, start + 30s), 0);
}

Test(warm_state, events_of_a_followed_holder_are_valid_until_revoked) {
    warm_state warm;
    warm.follow(a, true);
    for (const scoped_part& part : prompt()) {
        warm.told(part.key, a, part.tokens, start);
    }
    cr_assert_eq(warm.tokens_held(prompt(), a, start + 1h), 150);
    warm.told(prompt()[1].key, a, 0, start + 1h);
    cr_assert_eq(warm.tokens_held(prompt(), a, start + 1h), 100);
    warm.told(prompt()[0].key, a, 0, start + 1h);
    cr_assert_eq(warm.tokens_held(prompt(), a, start + 1h), 0);
}

Test(warm_state, a_part_is_not_usable_without_those_before_it) {
    warm_state warm;
    warm.follow(a, true);
    warm.told(prompt()[1].key, a, 50, start);
    cr_assert_eq(warm.tokens_held(prompt(), a, start), 0);
}

Test(warm_state, a_part_held_in_part_ends_the_prefix) {
    warm_state warm;
    warm.follow(a, true);
    warm.told(prompt()[0].key, a, 60, start);
    warm.told(prompt()[1].key, a, 50, start);
    cr_assert_eq(warm.tokens_held(prompt(), a, start), 60);
}

Test(warm_state, a_holder_that_ended_holds_nothing) {
    warm_state warm;
    warm.expect(prompt(), a, start);
    warm.expect(prompt(), b, start);
    warm.forget(a);
    cr_assert_eq(warm.tokens_held(prompt(), a, start), 0);
    cr_assert_eq(warm.tokens_held(prompt(), b, start), 150);
}

Test(warm_state, after_losing_the_event_stream_state_expires) {
    warm_state warm;
    warm.follow(a, true);
    warm.told(prompt()[0].key, a, 100, start);
    warm.follow(a, false);
    cr_assert_eq(warm.tokens_held(prompt(), a, start + 10s), 100);
    cr_assert_eq(warm.tokens_held(prompt(), a, start + 30s), 0);
}

Test(warm_state, scopes_never_mix) {
    cr_assert_neq(key_of("t-1/1", "m", "p").value, key_of("t-2/1", "m", "p").value);
    cr_assert_neq(key_of("s/1", "m", "p").value, key_of("s/2", "m", "p").value);
    cr_assert_neq(key_of("s", "m1", "p").value, key_of("s", "m2", "p").value);
}

Test(warm_state, is_bounded_and_evicts_the_least_recently_used_part) {
    warm_state_tunables tunables;
    tunables.parts = 10;
    warm_state warm(tunables);
    for (int index = 0; index < 100; ++index) {
        warm.expect({{part_key(1000U + static_cast<unsigned>(index)), 1}}, a, start);
        cr_assert_leq(warm.size(), 10);
    }
    cr_assert_eq(warm.tokens_held({{part_key(1000), 1}}, a, start), 0);
    cr_assert_eq(warm.tokens_held({{part_key(1099), 1}}, a, start), 1);
}

Test(warm_state, remembers_a_bounded_number_of_holders) {
    warm_state_tunables tunables;
    tunables.holders = 2;
    warm_state warm(tunables);
    warm.expect(prompt(), a, start);
    warm.expect(prompt(), b, start + 1ms);
    warm.expect(prompt(), base::engine_name("c"), start + 2ms);
    cr_assert_eq(warm.tokens_held(prompt(), a, start + 3ms), 0);
    cr_assert_eq(warm.tokens_held(prompt(), b, start + 3ms), 150);
}

Test(warm_state, full_holders_are_found_if_all_hold_the_first_part) {
    warm_state warm;
    const auto parts = prompt();
    for (int number = 0; number < 240; ++number) {
        const base::engine_name name("e" + std::to_string(number));
        warm.follow(name, true);
        warm.told(parts.front().key, name, parts.front().tokens, start);
    }
    warm.told(parts[1].key, base::engine_name("e0"), parts[1].tokens, start);
    warm.told(parts[1].key, base::engine_name("e239"), parts[1].tokens / 2, start);
    const auto holdings = warm.holdings(parts, start + 1s);
    cr_assert_eq(holdings.size(), 240);
    for (const holding& one : holdings) {
        cr_assert_eq(one.tokens, warm.tokens_held(parts, one.holder, start + 1s));
        cr_assert(one.confirmed);
    }
    cr_assert_eq(warm.tokens_held(parts, base::engine_name("e0"), start + 1s), 150);
    cr_assert_eq(warm.tokens_held(parts, base::engine_name("e239"), start + 1s), 125);
}
