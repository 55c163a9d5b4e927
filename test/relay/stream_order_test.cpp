/// The order of a stream's events, at one engine and where another one, or the same one, continues
/// it. Guards against events that are missing, repeated or joined from two streams.
#include "test/relay/fake_upstream.hpp"

using namespace ferryroad;
using namespace ferryroad::relay;
using namespace ferryroad::relay::test;
using namespace std::chrono_literals;

namespace {

const std::string unnumbered = "data: x\n\n";
const std::string comment = ": alive\n\n";

scripted_answer stream(std::vector<body_step> steps) {
    scripted_answer one;
    one.body = std::move(steps);
    return one;
}

/// A stream of one kind of route: the bodies that engines send for its dispatches in turn, and what
/// the caller receives.
struct stream_row {
    const char* name;
    const char* route;
    std::optional<std::uint64_t> resumed_after;
    std::vector<std::vector<body_step>> engines;
    std::string body;
    bool complete;
};

const stream_row rows[] = {
    // Where the ids of a new stream begin is up to the engine.
    {"begins with 0",
     "/stream/",
     {},
     {{bytes(event(0) + event(1)), body_end}},
     event(0) + event(1),
     true},
    {"begins later",
     "/stream/",
     {},
     {{bytes(event(5) + event(6)), body_end}},
     event(5) + event(6),
     true},
    {"events without id",
     "/stream/",
     {},
     {{bytes(unnumbered + unnumbered), body_end}},
     unnumbered + unnumbered,
     true},
    {"a gap after an event without id",
     "/stream/",
     {},
     {{bytes(event(1) + unnumbered + event(3)), body_end}},
     event(1) + unnumbered,
     false},
    {"resumed one too early", "/resumable/", 7, {{bytes(event(7)), body_end}}, "", false},
    {"resumed one too late", "/resumable/", 7, {{bytes(event(9)), body_end}}, "", false},
    {"resumed from the beginning", "/resumable/", 7, {{bytes(event(1)), body_end}}, "", false},
    {"continued one too early",
     "/resumable/",
     {},
     {{bytes(event(1) + event(2)), body_broken}, {bytes(event(2) + event(3)), body_end}},
     event(1) + event(2),
     false},
    {"continued one too late",
     "/resumable/",
     {},
     {{bytes(event(1) + event(2)), body_broken}, {bytes(event(4)), body_end}},
     event(1) + event(2),
     false},
    {"continued from the beginning",
     "/resumable/",
     {},
     {{bytes(event(1) + event(2)), body_broken}, {bytes(event(1) + event(2)), body_end}},
     event(1) + event(2),
     false},
    {"repeated after the continuation",
     "/resumable/",
     {},
     {{bytes(event(1)), body_broken}, {bytes(event(2) + event(2)), body_end}},
     event(1) + event(2),
     false},
    {"resumed, then continued",
     "/resumable/",
     7,
     {{bytes(event(8)), body_broken}, {bytes(event(9)), body_end}},
     event(8) + event(9),
     true},
    {"broken off after its last event",
     "/resumable/",
     {},
     {{bytes(event(1)), body_broken}, {body_end}},
     event(1),
     true},
    {"broken off in an event, then nothing",
     "/resumable/",
     {},
     {{bytes(event(1) + "id: 2\n"), body_broken}, {body_end}},
     event(1),
     false},
    {"broken off after events without id",
     "/resumable/",
     {},
     {{bytes(unnumbered), body_broken}, {bytes(unnumbered + unnumbered), body_end}},
     unnumbered,
     false},
    {"broken off after an event without id",
     "/resumable/",
     {},
     {{bytes(event(1) + unnumbered), body_broken}, {bytes(unnumbered + event(2)), body_end}},
     event(1) + unnumbered,
     false},
    {"broken off after a later id",
     "/resumable/",
     {},
     {{bytes(unnumbered + event(1)), body_broken}, {bytes(event(2)), body_end}},
     unnumbered + event(1) + event(2),
     true},
    {"broken off after a comment",
     "/resumable/",
     {},
     {{bytes(event(1) + comment), body_broken}, {bytes(event(2)), body_end}},
     event(1) + comment + event(2),
     true},
};

scripted_answer whole(unsigned status) {
    scripted_answer one;
    one.status = status;
    one.stream = false;
    one.body = {bytes("x"), body_end};
    return one;
}

}  // namespace

Test(stream_order, callers_receive_each_event_once_or_a_truncated_stream) {
    for (const stream_row& row : rows) {
        relay_fixture fixture;
        for (const std::vector<body_step>& steps : row.engines) {
            fixture.answer(stream(steps));
        }
        relay_call call = fixture.call(row.route);
        call.last_event_id = row.resumed_after;
        fixture.serve(std::move(call));
        const recorded_writer& got = fixture.writer;
        const bool complete = got.status == 200 && got.final_answers == 1 && !got.aborted;
        cr_expect_eq(complete, row.complete, "%s: status %u", row.name, got.status);
        cr_expect(got.status != 200 || got.body == row.body, "%s: %s", row.name, got.body.c_str());
        cr_expect(got.status == 200 || row.body.empty(), "%s: status %u", row.name, got.status);
    }
}

Test(stream_order, an_engine_continues_its_own_stream_after_the_last_event) {
    relay_fixture fixture;
    fixture.registry.replace_all({relay_fixture::listed("e1")}, fixture.loop.scheduler.now());
    fixture.answer(stream({bytes(event(1) + event(2)), body_broken}));
    fixture.answer(stream({bytes(event(3)), body_end}));
    fixture.serve(fixture.call("/resumable/"));
    cr_assert_eq(fixture.upstream.engines.size(), 2);
    cr_assert(fixture.upstream.engines[0] == fixture.upstream.engines[1]);
    cr_assert_eq(fixture.upstream.dispatches[1].resume_after, 2U);
    cr_assert(fixture.writer.body == event(1) + event(2) + event(3));
    cr_assert_eq(fixture.writer.final_answers, 1);
}

Test(stream_order, an_answer_that_is_no_stream_does_not_end_a_stream) {
    for (const unsigned status : {200U, 204U, 400U, 404U, 429U, 500U}) {
        relay_fixture fixture;
        fixture.answer(stream({bytes(event(1)), body_broken}));
        fixture.answer(whole(status));
        fixture.serve(fixture.call("/resumable/"));
        cr_expect_eq(fixture.upstream.dispatches.size(), 2, "%u", status);
        cr_expect(fixture.writer.aborted, "%u", status);
        cr_expect_eq(fixture.writer.final_answers, 0, "%u", status);
        cr_expect(fixture.writer.body == event(1), "%u", status);
    }
}
