/// The splitter returns the same events however the stream is divided into reads.
#include "ferryroad/core/stream/event_splitter.hpp"

#include "ferryroad/base/random.hpp"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <string>

using namespace ferryroad;
using namespace ferryroad::core::stream;

Test(event_splitter, gives_whole_events_with_their_ids) {
    event_splitter splitter;
    const auto events =
        splitter.feed("id: 1\ndata: a\n\nx-weight-versions: 2\nid: 2\ndata: b\n\ndata: c\n\nid: 4");
    cr_assert_eq(events.size(), 3);
    cr_assert_str_eq(events[0].bytes.c_str(), "id: 1\ndata: a\n\n");
    cr_assert_eq(events[0].id, 1U);
    cr_assert_eq(events[1].id, 2U);
    cr_assert_not(events[2].id.has_value());
    cr_assert(splitter.in_event());
    cr_assert_eq(splitter.buffered_bytes(), 5);
}

Test(event_splitter, takes_carriage_returns_and_ids_without_a_space) {
    event_splitter splitter;
    const auto events = splitter.feed("id:7\r\ndata: a\r\n\r\n");
    cr_assert_eq(events.size(), 1);
    cr_assert_eq(events[0].id, 7U);
    cr_assert_not(splitter.in_event());
}

Test(event_splitter, an_id_that_is_no_number_is_none) {
    event_splitter splitter;
    cr_assert_not(splitter.feed("id: x\n\n")[0].id.has_value());
}

Test(event_splitter, comments_are_events_without_data) {
    event_splitter splitter;
    const auto events = splitter.feed(": alive\n\nid: 3\n\ndata\n\nid: 4\r\ndata:a\r\n\r\n");
    cr_assert_eq(events.size(), 4);
    cr_assert_not(events[0].has_data);
    cr_assert_not(events[1].has_data);
    cr_assert(events[2].has_data);
    cr_assert(events[3].has_data);
}

Test(event_splitter, holds_half_an_event_back) {
    event_splitter splitter;
    cr_assert(splitter.feed("id: 1\ndata: half").empty());
    cr_assert(splitter.in_event());
    cr_assert_eq(splitter.feed("\n\n").size(), 1);
}

Test(event_splitter, cuts_change_nothing) {
    const bool held = rc::check("any cuts", [](std::uint64_t seed) {
        base::seeded_random random(seed);
        std::string stream;
        const std::uint64_t count = 1 + random.below(20);
        for (std::uint64_t index = 1; index <= count; ++index) {
            stream += "id: " + std::to_string(index) +
                      "\ndata: " + std::string(random.below(30), 'x') + "\n\n";
        }
        event_splitter whole;
        const auto expected = whole.feed(stream);
        event_splitter pieces;
        std::vector<complete_event> got;
        for (std::size_t at = 0; at < stream.size();) {
            const std::size_t length = 1 + random.below(9);
            for (auto& event : pieces.feed(stream.substr(at, length))) {
                got.push_back(event);
            }
            at += length;
        }
        RC_ASSERT(got == expected);
        RC_ASSERT(got.size() == count);
        RC_ASSERT(!pieces.in_event());
    });
    cr_assert(held);
}
