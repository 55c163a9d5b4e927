/// Table tests of which reports about a back end take effect, depending on source and timing.
#include "test/router/backends/directory_fixture.hpp"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <functional>

using namespace ferryroad;
using namespace ferryroad::router;
using namespace ferryroad::router::backends;
using namespace ferryroad::router::backends::test;
using engine::error_code;
using platform::machine_state;

namespace {

/// Events that affect a live engine e1 with process 5, and whether it is available afterwards.
struct row {
    const char* name;
    std::function<void(directory_fixture&)> happens;
    bool available;
};

const std::vector<row>& rows() {
    using fixture = directory_fixture;
    static const std::vector<row> table = {
        {"nothing", [](fixture&) {}, true},
        {"list says leaving", [](fixture& b) { b.list(machine_state::leaving); }, false},
        {"engine's answer says leaving",
         [](fixture& b) { b.directory.record_load(e1, report_of(5, true)); }, false},
        {"engine's poll says leaving", [](fixture& b) { b.poll(report_of(5, true)); }, false},
        {"engine refuses as leaving",
         [](fixture& b) { b.directory.record_failure(e1, error_code::refused_leaving); }, false},
        {"a peer says leaving",
         [](fixture& b) { b.directory.record_leaving(e1, base::incarnation(5)); }, false},
        {"a peer says that an older process is leaving",
         [](fixture& b) { b.directory.record_leaving(e1, base::incarnation(4)); }, true},
        {"a peer says that a newer process is leaving",
         [](fixture& b) { b.directory.record_leaving(e1, base::incarnation(6)); }, false},
        {"an operator drains it", [](fixture& b) { b.configuration.drain(pool, {e1}); }, false},
        {"drained, then not",
         [](fixture& b) {
             b.configuration.drain(pool, {e1});
             b.configuration.drain(pool, {});
         },
         true},
        {"leaving by itself, then a stale list says live",
         [](fixture& b) {
             b.directory.record_leaving(e1, base::incarnation(5));
             b.clock.time += 10s;
             b.list();
         },
         false},
        {"list says leaving, then a stale list says live",
         [](fixture& b) {
             b.list(machine_state::leaving);
             b.clock.time += 1s;
             b.list();
             b.poll(report_of(5));
         },
         false},
        {"list says live for long after leaving",
         [](fixture& b) {
             b.list(machine_state::leaving);
             b.clock.time += b.limits.leaving_hold_down;
             b.list();
         },
         true},
        {"list says leaving again and again over the hold",
         [](fixture& b) {
             b.list(machine_state::leaving);
             b.clock.time += b.limits.leaving_hold_down;
             b.list(machine_state::leaving);
             b.clock.time += 1s;
             b.list();
         },
         false},
        {"list says live and a new process answers",
         [](fixture& b) {
             b.list(machine_state::leaving);
             b.list();
             b.poll(report_of(6));
         },
         true},
        {"a new process after one that left",
         [](fixture& b) {
             b.poll(report_of(5, true));
             b.poll(report_of(6));
         },
         true},
        {"left, and a late answer from before says not leaving",
         [](fixture& b) {
             b.directory.record_leaving(e1, base::incarnation(5));
             b.clock.time += 10s;
             b.directory.record_load(e1, report_of(5, false));
         },
         false},
        {"left, and a poll from before says not leaving",
         [](fixture& b) {
             b.directory.record_leaving(e1, base::incarnation(5));
             b.clock.time += 1s;
             b.poll(report_of(5, false), 1500ms);
         },
         false},
        {"left, and long after it says itself that it is not leaving",
         [](fixture& b) {
             b.directory.record_leaving(e1, base::incarnation(5));
             b.clock.time += b.limits.leaving_hold_down;
             b.poll(report_of(5, false));
         },
         true},
        {"an answer of an older process", [](fixture& b) { b.poll(report_of(4)); }, false},
        {"another engine answers at its address",
         [](fixture& b) { b.poll(report_of(9, false, "e2")); }, false},
        {"its address changes", [](fixture& b) { b.list(machine_state::live, 2); }, false},
        {"its address changes and it answers there",
         [](fixture& b) {
             b.list(machine_state::live, 2);
             b.poll(report_of(6), 0ms, 2);
         },
         true},
        {"its address changes and the old one answers",
         [](fixture& b) {
             b.list(machine_state::live, 2);
             b.poll(report_of(5), 0ms, 1);
         },
         false},
        {"missing from one list", [](fixture& b) { b.directory.apply_machine_list({}); }, true},
        {"missing for long",
         [](fixture& b) {
             b.directory.apply_machine_list({});
             b.clock.time += b.limits.missing_timeout;
         },
         false},
        {"no connection",
         [](fixture& b) { b.directory.record_failure(e1, error_code::connect_failed); }, false},
        {"one lost connection",
         [](fixture& b) { b.directory.record_failure(e1, error_code::connection_lost); }, true},
        {"two failures in a row",
         [](fixture& b) {
             b.directory.record_failure(e1, error_code::connection_lost);
             b.directory.record_failure(e1, error_code::timed_out);
         },
         false},
        {"two failures with an answer between",
         [](fixture& b) {
             b.directory.record_failure(e1, error_code::connection_lost);
             b.directory.record_load(e1, report_of(5));
             b.directory.record_failure(e1, error_code::timed_out);
         },
         true},
        {"suspected, then an answer",
         [](fixture& b) {
             b.directory.record_failure(e1, error_code::connect_failed);
             b.directory.record_load(e1, report_of(5));
         },
         false},
        {"suspected, then a poll from before",
         [](fixture& b) {
             b.directory.record_failure(e1, error_code::connect_failed);
             b.poll(report_of(5), 1ms);
         },
         false},
        {"suspected, then a poll",
         [](fixture& b) {
             b.directory.record_failure(e1, error_code::connect_failed);
             b.poll(report_of(5));
         },
         true},
        {"it refuses the incarnation",
         [](fixture& b) { b.directory.record_failure(e1, error_code::refused_incarnation); },
         false},
        {"it refuses the incarnation, then a poll",
         [](fixture& b) {
             b.directory.record_failure(e1, error_code::refused_incarnation);
             b.poll(report_of(6));
         },
         true},
        {"it is overloaded",
         [](fixture& b) { b.directory.record_failure(e1, error_code::refused_overloaded); }, true},
        {"it refuses a bad request",
         [](fixture& b) {
             b.directory.record_failure(e1, error_code::refused_bad_request);
             b.directory.record_failure(e1, error_code::refused_bad_request);
         },
         true},
    };
    return table;
}

}  // namespace

ParameterizedTestParameters(backend_directory, reports) {
    static std::vector<std::size_t> indexes;
    for (std::size_t index = 0; index < rows().size(); ++index) {
        indexes.push_back(index);
    }
    return cr_make_param_array(std::size_t, indexes.data(), indexes.size());
}

ParameterizedTest(std::size_t* index, backend_directory, reports) {
    const row& expected = rows()[*index];
    directory_fixture fixture;
    fixture.list();
    cr_assert(!fixture.available(), "no process known yet");
    fixture.poll(report_of(5));
    cr_assert(fixture.available());
    expected.happens(fixture);
    cr_assert_eq(fixture.available(), expected.available, "%s", expected.name);
    cr_assert_eq(fixture.directory.available(pool).size(), expected.available ? 1U : 0U, "%s",
                 expected.name);
}

Test(backend_directory, load_is_corrected_by_own_dispatches) {
    directory_fixture fixture;
    fixture.list();
    fixture.poll(report_of(5));
    fixture.directory.record_dispatch(e1, 100);
    fixture.clock.time += 300ms;
    fixture.directory.record_dispatch(e1, 20);
    engine_view seen = *fixture.directory.find(e1);
    cr_assert(seen.own_requests_since == 2U && seen.own_prefill_tokens_since == 120U);
    engine::load_report late = report_of(5);
    late.age = 200ms;
    fixture.directory.record_load(e1, late);
    seen = *fixture.directory.find(e1);
    cr_assert(seen.own_requests_since == 1U && seen.own_prefill_tokens_since == 20U,
              "the report is from between the two");
    fixture.directory.record_end(e1);  // The first dispatch ended; the second is still running.
    cr_assert_eq(fixture.directory.find(e1)->own_requests_since, 1U);
    fixture.directory.record_end(e1);
    cr_assert_eq(fixture.directory.find(e1)->own_requests_since, 0U);
}

Test(backend_directory, leaving_is_reported_once) {
    directory_fixture fixture;
    std::vector<std::uint64_t> reported;
    fixture.directory.on_leaving([&](const base::engine_name& engine, base::incarnation process) {
        cr_assert(engine == e1);
        reported.push_back(process.value);
    });
    fixture.list();
    fixture.poll(report_of(5));
    fixture.directory.record_load(e1, report_of(5, true));
    fixture.poll(report_of(5, true));
    fixture.directory.record_leaving(e1, base::incarnation(5));
    fixture.directory.record_leaving(e1, base::incarnation(4));
    fixture.poll(report_of(6, true));
    cr_assert(reported == std::vector<std::uint64_t>({5, 6}));
}

Test(backend_directory, polls_back_off_and_failures_trigger_a_poll) {
    directory_fixture fixture;
    fixture.list();
    cr_assert_eq(fixture.directory.begin_polls(9).size(), 1U);
    cr_assert(fixture.directory.begin_polls(9).empty(), "one is under way");
    std::vector<std::int64_t> pauses;
    for (int failed = 0; failed < 6; ++failed) {
        fixture.directory.record_poll_failure(e1);
        pauses.push_back(
            base::to_milliseconds(*fixture.directory.next_poll() - fixture.clock.time));
        fixture.clock.time = *fixture.directory.next_poll();
        cr_assert_eq(fixture.directory.begin_polls(9).size(), 1U);
    }
    cr_assert(pauses == std::vector<std::int64_t>({250, 500, 1000, 2000, 4000, 4000}));
    fixture.poll(report_of(5));
    cr_assert(fixture.directory.begin_polls(9).empty());
    fixture.directory.record_failure(e1, error_code::connection_lost);
    cr_assert_eq(fixture.directory.begin_polls(9).size(), 1U);
}
