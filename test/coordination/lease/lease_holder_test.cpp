/// Tests of one lease holder, event by event, and of the encoding of its row.
#include "ferryroad/coordination/lease/lease_holder.hpp"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <chrono>
#include <string>

namespace {

using namespace ferryroad;
using namespace ferryroad::coordination::lease;
using namespace std::chrono_literals;

const lease_identity self{"router 1", base::incarnation(7)};

struct bench {
    base::seeded_random random{1};
    lease_holder holder{self, lease_settings{}, random};
    base::monotonic_time now{1h};

    bench() { holder.want(true); }
    template <typename Action>
    Action expect() {
        const action wanted = holder.next(now);
        cr_assert(std::holds_alternative<Action>(wanted), "another action (%zu)", wanted.index());
        return std::get<Action>(wanted);
    }
    void answer(const event& happened) { holder.handle(happened, now); }
    /// Runs the holder up to the write that acquires the free lease.
    write_row acquire() {
        expect<read_row>();
        answer(row_read{});
        return expect<write_row>();
    }
};

std::string row_of(const lease_identity& holder, std::uint64_t token) {
    return encode({holder, base::fencing_token(token), 10s, 99});
}

const std::string malformed_rows[] = {
    "",
    "lease1",
    "lease1 ",
    "lease2 1 2 3 1 5 name",
    "lease1 1 2 3 1 5",
    "lease1 x 2 3 1 5 name",
    "lease1 1 2 3 2 5 name",
    "lease1 -1 2 3 1 5 name",
    "lease1 1 99999999999 3 1 5 name",
    "lease1 99999999999999999999 2 3 1 5 name",
};
constexpr std::size_t malformed_count = sizeof(malformed_rows) / sizeof(malformed_rows[0]);

}  // namespace

Test(lease_record, round_trip) {
    for (const lease_record& record :
         {lease_record{self, base::fencing_token(3), 10s, 4},
          lease_record{std::nullopt, base::fencing_token(9), 1500ms, ~std::uint64_t{0}}}) {
        cr_assert(decode(encode(record)) == record);
    }
}

ParameterizedTestParameters(lease_record, malformed) {
    static std::size_t indexes[malformed_count];
    for (std::size_t index = 0; index < malformed_count; ++index) {
        indexes[index] = index;
    }
    return cr_make_param_array(std::size_t, indexes, malformed_count);
}

ParameterizedTest(std::size_t* index, lease_record, malformed) {
    cr_assert_not(decode(malformed_rows[*index]).has_value(), "%s", malformed_rows[*index].c_str());
}

Test(lease_holder, counts_the_lease_from_when_the_write_was_sent) {
    bench test;
    test.acquire();
    test.now += 4s;
    test.answer(write_committed{row_version(1)});
    cr_assert(test.holder.token(test.now) == base::fencing_token(1));
    cr_assert(test.holder.token(test.now + 5s) == base::fencing_token(1));
    cr_assert_not(test.holder.token(test.now + 6s).has_value());
}

Test(lease_holder, an_answer_after_the_end_grants_nothing) {
    bench test;
    test.acquire();
    test.now += 11s;
    test.answer(write_committed{row_version(1)});
    cr_assert_not(test.holder.token(test.now).has_value());
}

Test(lease_holder, a_lost_answer_is_read_back) {
    bench test;
    const write_row sent = test.acquire();
    test.answer(write_lost{});
    test.now += 1s;
    test.expect<read_row>();
    test.answer(row_read{{row_version(1), sent.value}});
    cr_assert(test.holder.token(test.now) == base::fencing_token(1));
    cr_assert_not(test.holder.token(test.now + 9s).has_value(), "counted from the reading back");
}

Test(lease_holder, waits_for_the_full_duration_from_when_another_hold_was_first_seen) {
    bench test;
    const lease_identity other{"router 2", base::incarnation(1)};
    test.expect<read_row>();
    test.answer(row_read{{row_version(5), row_of(other, 4)}});
    test.now += 9s;
    test.expect<read_row>();  // A poll: the version is unchanged, so the wait continues.
    test.answer(row_read{{row_version(5), row_of(other, 4)}});
    test.now += 1s;
    test.expect<wait_until>();
    test.now += 200ms;
    const write_row taken = test.expect<write_row>();
    cr_assert_eq(taken.expected.value, 5);
    cr_assert(decode(taken.value)->token == base::fencing_token(5));
    test.answer(write_conflicted{{row_version(6), row_of(other, 4)}});
    test.now += 9s;
    cr_assert_not(std::holds_alternative<write_row>(test.holder.next(test.now)),
                  "a renewal starts the wait anew");
}

Test(lease_holder, an_earlier_process_with_the_same_name_is_another_holder) {
    bench test;
    test.expect<read_row>();
    test.answer(row_read{{row_version(5), row_of({self.name, base::incarnation(6)}, 4)}});
    test.expect<wait_until>();
}

Test(lease_holder, stops_acting_before_it_releases) {
    bench test;
    test.acquire();
    test.answer(write_committed{row_version(1)});
    test.holder.want(false);
    cr_assert_not(test.holder.token(test.now).has_value());
    const write_row released = test.expect<write_row>();
    cr_assert_not(decode(released.value)->holder.has_value());
    cr_assert(decode(released.value)->token == base::fencing_token(1), "the token lives on");
    test.answer(write_committed{row_version(2)});
    cr_assert(test.expect<wait_until>().when == base::monotonic_time::max());
}

Test(lease_holder, loses_the_lease_when_another_holder_has_it) {
    bench test;
    test.acquire();
    test.answer(write_committed{row_version(1)});
    test.now += 4s;
    test.expect<write_row>();
    test.answer(write_conflicted{{row_version(2), row_of({"router 2", base::incarnation(1)}, 2)}});
    cr_assert_not(test.holder.token(test.now).has_value());
}

Test(lease_holder, keeps_the_lease_through_refusals_until_it_ends) {
    bench test;
    test.acquire();
    test.answer(write_committed{row_version(1)});
    const base::monotonic_time acquired = test.now;
    while (test.now < acquired + 9s) {
        const action wanted = test.holder.next(test.now);
        if (const auto* wait = std::get_if<wait_until>(&wanted)) {
            test.now = wait->when;
        } else {
            test.answer(refused{});
        }
        cr_assert_eq(test.holder.token(test.now).has_value(), test.now < acquired + 9400ms);
    }
}

Test(lease_holder, a_malformed_row_is_not_overwritten) {
    bench test;
    test.expect<read_row>();
    test.answer(row_read{{row_version(5), "nonsense"}});
    test.expect<wait_until>();
    cr_assert(test.holder.malformed());
}

Test(lease_record, rows_without_a_note_are_still_read) {
    const auto record = decode("lease1 4 10000 99 1 7 router 1");
    cr_assert(record.has_value());
    cr_assert_eq(record->note, 0);
    cr_assert_eq(record->token.value, 4);
    cr_assert(record->holder == self);
    lease_record noted{self, base::fencing_token(4), 10s, 99, 123456};
    cr_assert(decode(encode(noted)) == noted);
}

Test(lease_holder, a_note_is_written_at_once_and_known_only_when_it_is_stored) {
    bench at;
    at.acquire();
    at.answer(write_committed{row_version(1)});
    cr_assert_eq(at.holder.stored_note(at.now), 0U);
    at.holder.set_note(1);
    const auto written = at.expect<write_row>();
    cr_assert_eq(decode(written.value)->note, 1);
    cr_assert_not(at.holder.stored_note(at.now).has_value());
    at.answer(write_lost{});
    cr_assert_not(at.holder.stored_note(at.now).has_value());
    at.now += 1s;
    at.expect<read_row>();
    at.answer(row_read{{row_version(2), written.value}});
    cr_assert_eq(at.holder.stored_note(at.now), 1U);
}

Test(lease_holder, knows_when_the_predecessor_had_stopped_at_the_latest) {
    bench at;
    at.expect<read_row>();
    at.answer(row_read{{row_version(5), row_of({"router 2", base::incarnation(3)}, 4)}});
    const base::monotonic_time seen = at.now;
    at.now += 30s;  // The table is unreachable, or this process is paused.
    at.expect<write_row>();
    at.answer(write_committed{row_version(6)});
    cr_assert(at.holder.token(at.now).has_value());
    cr_assert(at.holder.predecessor_end() >= seen + 10s);
    cr_assert(at.holder.predecessor_end() <= seen + 10200ms);
}

Test(lease_holder, a_released_lease_counts_as_held_until_it_was_seen_free) {
    bench at;
    at.expect<read_row>();
    at.answer(
        row_read{{row_version(5), encode({std::nullopt, base::fencing_token(4), 10s, 99, 7})}});
    const base::monotonic_time seen = at.now;
    at.expect<write_row>();
    at.now += 300ms;
    at.answer(write_committed{row_version(6)});
    cr_assert(at.holder.predecessor_end() == seen);
}

Test(lease_holder, the_next_holder_reads_the_note_of_its_predecessor) {
    bench at;
    at.expect<read_row>();
    const lease_record left{std::nullopt, base::fencing_token(4), 10s, 99, 777};
    at.answer(row_read{{row_version(5), encode(left)}});
    at.expect<write_row>();
    at.answer(write_committed{row_version(6)});
    cr_assert_eq(at.holder.token(at.now)->value, 5);
    cr_assert_eq(at.holder.predecessor_note(), 777);
    at.holder.set_note(1);
    at.expect<write_row>();
    at.answer(write_committed{row_version(7)});
    cr_assert_eq(at.holder.predecessor_note(), 777);
}

// Guards against: a holder that took the lease again overwrote the note of the holder before it
// with the one that it had set in an earlier hold.
Test(lease_holder, takes_the_lease_with_the_note_that_its_predecessor_left) {
    bench at;
    at.acquire();
    at.answer(write_committed{row_version(1)});
    at.holder.set_note(111);
    const auto noted = at.expect<write_row>();
    cr_assert_eq(decode(noted.value)->note, 111);
    const lease_record left{std::nullopt, base::fencing_token(2), 10s, 99, 222};
    at.answer(write_conflicted{{row_version(3), encode(left)}});
    at.holder.set_note(333);  // Has no effect: the lease is lost.
    const auto taken = at.expect<write_row>();
    cr_assert_eq(decode(taken.value)->note, 222);
    at.answer(write_committed{row_version(4)});
    cr_assert_eq(at.holder.predecessor_note(), 222);
    at.holder.want(false);
    const auto released = at.expect<write_row>();
    cr_assert_not(decode(released.value)->holder.has_value());
    cr_assert_eq(decode(released.value)->note, 222, "it set none in this hold");
}

Test(lease_holder, a_release_carries_the_note_set_last) {
    bench at;
    at.acquire();
    at.answer(write_committed{row_version(1)});
    at.holder.set_note(5);
    at.holder.want(false);
    cr_assert(at.holder.hold_token() == base::fencing_token(1), "held until it is released");
    cr_assert_eq(decode(at.expect<write_row>().value)->note, 5);
    cr_assert_not(at.holder.hold_token().has_value());
}

Test(lease_holder, a_note_about_to_be_replaced_does_not_count_as_stored) {
    bench at;
    at.acquire();
    at.answer(write_committed{row_version(1)});
    at.holder.set_note(1);
    cr_assert_not(at.holder.stored_note(at.now).has_value());
    at.holder.set_note(0);
    cr_assert_eq(at.holder.stored_note(at.now), 0U);
}
