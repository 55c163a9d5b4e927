/// The room that an engine is taken to have follows its rejections.
#include "ferryroad/coordination/quota/learned_room.hpp"

#include <criterion/criterion.h>

using namespace ferryroad;
using namespace ferryroad::coordination::quota;
using namespace std::chrono_literals;

namespace {

constexpr base::monotonic_time start{1h};
constexpr std::uint32_t listed = 16;

}  // namespace

Test(learned_room, an_engine_without_rejections_has_the_slots_that_it_lists) {
    cr_assert_eq(learned_room().room(listed, start), listed);
}

Test(learned_room, a_rejection_limits_the_room_to_what_was_in_progress) {
    learned_room room;
    room.record_rejection(listed, 9, start);
    cr_assert_eq(room.room(listed, start), 9);
    room.record_rejection(listed, 9, start);
    cr_assert_eq(room.room(listed, start), 8, "one was rejected beside as many");
}

Test(learned_room, requests_that_are_not_known_of_halve_the_room_at_most) {
    learned_room room;
    room.record_rejection(listed, 1, start);
    cr_assert_eq(room.room(listed, start), 8);
    for (int count = 0; count < 10; ++count) {
        room.record_rejection(listed, 0, start);
    }
    cr_assert_eq(room.room(listed, start), 1, "the engine is tried with one request");
    room.record_rejection(1, 0, start);
    cr_assert_eq(room.room(1, start), 1);
}

Test(learned_room, one_more_request_is_tried_less_often_the_more_often_it_is_rejected) {
    constexpr std::uint32_t few = 4;
    learned_room room;
    room.record_rejection(few, 3, start);
    cr_assert_eq(room.room(few, start + 1999ms), 3);
    cr_assert_eq(room.room(few, start + 2s), 4);
    cr_assert_eq(room.room(few, start + 1h), few);
    room.record_rejection(few, 3, start + 2s);
    cr_assert_eq(room.room(few, start + 5s), 3);
    cr_assert_eq(room.room(few, start + 6s), 4);
}
