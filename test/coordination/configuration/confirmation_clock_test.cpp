/// A revision counts as the newest only if the table or a confirmed peer said so within the limit.
#include "ferryroad/coordination/configuration/confirmation_clock.hpp"

#include <criterion/criterion.h>

using namespace std::chrono_literals;
using ferryroad::base::monotonic_time;
using ferryroad::base::revision;
using ferryroad::coordination::configuration::confirmation_clock;

namespace {

monotonic_time at(ferryroad::base::duration since_start) {
    return monotonic_time(since_start);
}

}  // namespace

Test(confirmation_clock, starts_unconfirmed) {
    cr_assert(!confirmation_clock(10s).confirmed(at(0s)));
}

Test(confirmation_clock, expires_counted_from_the_request) {
    confirmation_clock clock(10s);
    clock.on_head_known(revision(3), at(5s), revision(3));
    cr_assert(clock.confirmed(at(15s)));
    cr_assert(!clock.confirmed(at(16s)));
}

Test(confirmation_clock, a_newer_head_confirms_once_it_is_held) {
    confirmation_clock clock(10s);
    clock.on_head_known(revision(4), at(5s), revision(3));
    cr_assert(!clock.confirmed(at(6s)));
    clock.on_advanced(revision(4));
    cr_assert(clock.confirmed(at(15s)));
    cr_assert(!clock.confirmed(at(16s)));
}

Test(confirmation_clock, an_older_answer_revokes_nothing) {
    confirmation_clock clock(10s);
    clock.on_head_known(revision(3), at(9s), revision(3));
    clock.on_head_known(revision(3), at(2s), revision(3));
    cr_assert(clock.confirmed(at(19s)));
}

Test(confirmation_clock, an_older_head_does_not_hide_a_newer_one) {
    confirmation_clock clock(10s);
    clock.on_head_known(revision(5), at(1s), revision(3));
    clock.on_head_known(revision(4), at(2s), revision(3));
    clock.on_advanced(revision(4));
    cr_assert(!clock.confirmed(at(2s)));
    clock.on_advanced(revision(5));
    cr_assert(clock.confirmed(at(2s)));
}
