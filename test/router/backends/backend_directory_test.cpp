/// Which word about a back end counts, from whom and when, as tables.
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

/// What happens to a live engine e1 of process 5, and whether it may get new work after it.
struct row {
    const char* name;
    std::function<void(directory_bench&)> happens;
    bool available;
};

const std::vector<row>& rows() {
    using bench = directory_bench;
    static const std::vector<row> table = {
        {"nothing", [](bench&) {}, true},
        {"list says leaving", [](bench& b) { b.list(machine_state::leaving); }, false},
        {"engine's answer says leaving",
         [](bench& b) { b.directory.record_load(e1, report_of(5, true)); }, false},
        {"engine's poll says leaving", [](bench& b) { b.poll(report_of(5, true)); }, false},
        {"engine refuses as leaving",
         [](bench& b) { b.directory.record_failure(e1, error_code::refused_leaving); }, false},
        {"a peer says leaving",
         [](bench& b) { b.directory.record_leaving(e1, base::incarnation(5)); }, false},
        {"a peer says that an older process is leaving",
         [](bench& b) { b.directory.record_leaving(e1, base::incarnation(4)); }, true},
        {"a peer says that a newer process is leaving",
         [](bench& b) { b.directory.record_leaving(e1, base::incarnation(6)); }, false},
        {"an operator drains it", [](bench& b) { b.configuration.drain(pool, {e1}); }, false},
        {"drained, then not",
         [](bench& b) {
             b.configuration.drain(pool, {e1});
             b.configuration.drain(pool, {});
         },
         true},
        {"leaving by itself, then a stale list says live",
         [](bench& b) {
             b.directory.record_leaving(e1, base::incarnation(5));
             b.clock.time += 10s;
             b.list();
         },
         false},
        {"list says leaving, then a stale list says live",
         [](bench& b) {
             b.list(machine_state::leaving);
             b.clock.time += 1s;
             b.list();
             b.poll(report_of(5));
         },
         false},
        {"list says live for long after leaving",
         [](bench& b) {
             b.list(machine_state::leaving);
             b.clock.time += b.limits.leaving_hold;
             b.list();
         },
         true},
        {"list says leaving again and again over the hold",
         [](bench& b) {
             b.list(machine_state::leaving);
             b.clock.time += b.limits.leaving_hold;
             b.list(machine_state::leaving);
             b.clock.time += 1s;
             b.list();
         },
         false},
        {"list says live and a new process answers",
         [](bench& b) {
             b.list(machine_state::leaving);
             b.list();
             b.poll(report_of(6));
         },
         true},
        {"a new process after one that left",
         [](bench& b) {
             b.poll(report_of(5, true));
             b.poll(report_of(6));
         },
         true},
        {"left, and a late answer from before says not leaving",
         [](bench& b) {
             b.directory.record_leaving(e1, base::incarnation(5));
             b.clock.time += 10s;
             b.directory.record_load(e1, report_of(5, false));
         },
         false},
        {"left, and a poll from before says not leaving",
         [](bench& b) {
             b.directory.record_leaving(e1, base::incarnation(5));
             b.clock.time += 1s;
             b.poll(report_of(5, false), 1500ms);
         },
         false},
        {"left, and long after it says itself that it is not leaving",
         [](bench& b) {
             b.directory.record_leaving(e1, base::incarnation(5));
             b.clock.time += b.limits.leaving_hold;
             b.poll(report_of(5, false));
         },
         true},
        {"an answer of an older process", [](bench& b) { b.poll(report_of(4)); }, false},
        {"another engine answers at its address",
         [](bench& b) { b.poll(report_of(9, false, "e2")); }, false},
        {"its address changes", [](bench& b) { b.list(machine_state::live, 2); }, false},
        {"its address changes and it answers there",
         [](bench& b) {
             b.list(machine_state::live, 2);
             b.poll(report_of(6), 0ms, 2);
         },
         true},
        {"its address changes and the old one answers",
         [](bench& b) {
             b.list(machine_state::live, 2);
             b.poll(report_of(5), 0ms, 1);
         },
         false},
        {"missing from one list", [](bench& b) { b.directory.apply_list({}); }, true},
        {"missing for long",
         [](bench& b) {
             b.directory.apply_list({});
             b.clock.time += b.limits.missing_hold;
         },
         false},
        {"no connection",
         [](bench& b) { b.directory.record_failure(e1, error_code::connect_failed); }, false},
        {"one lost connection",
         [](bench& b) { b.directory.record_failure(e1, error_code::connection_lost); }, true},
        {"two failures in a row",
         [](bench& b) {
             b.directory.record_failure(e1, error_code::connection_lost);
             b.directory.record_failure(e1, error_code::timed_out);
         },
         false},
        {"two failures with an answer between",
         [](bench& b) {
             b.directory.record_failure(e1, error_code::connection_lost);
             b.directory.record_load(e1, report_of(5));
             b.directory.record_failure(e1, error_code::timed_out);
         },
         true},
        {"suspected, then an answer",
         [](bench& b) {
             b.directory.record_failure(e1, error_code::connect_failed);
             b.directory.record_load(e1, report_of(5));
         },
         false},
        {"suspected, then a poll from before",
         [](bench& b) {
             b.directory.record_failure(e1, error_code::connect_failed);
             b.poll(report_of(5), 1ms);
         },
         false},
        {"suspected, then a poll",
         [](bench& b) {
             b.directory.record_failure(e1, error_code::connect_failed);
             b.poll(report_of(5));
         },
         true},
        {"it refuses the incarnation",
         [](bench& b) { b.directory.record_failure(e1, error_code::refused_incarnation); }, false},
        {"it refuses the incarnation, then a poll",
         [](bench& b) {
             b.directory.record_failure(e1, error_code::refused_incarnation);
             b.poll(report_of(6));
         },
         true},
        {"it is overloaded",
         [](bench& b) { b.directory.record_failure(e1, error_code::refused_overloaded); }, true},
        {"it refuses a bad request",
         [](bench& b) {
             b.directory.record_failure(e1, error_code::refused_bad_request);
             b.directory.record_failure(e1, error_code::refused_bad_request);
         },
         true},
    };
    return table;
}

}  // namespace

ParameterizedTestParameters(backend_directory, words) {
    static std::vector<std::size_t> indexes;
    for (std::size_t index = 0; index < rows().size(); ++index) {
        indexes.push_back(index);
    }
    return cr_make_param_array(std::size_t, indexes.data(), indexes.size());
}

ParameterizedTest(std::size_t* index, backend_directory, words) {
    const row& expected = rows()[*index];
    directory_bench bench;
    bench.list();
    cr_assert(!bench.available(), "no process known yet");
    bench.poll(report_of(5));
    cr_assert(bench.available());
    expected.happens(bench);
    cr_assert_eq(bench.available(), expected.available, "%s", expected.name);
    cr_assert_eq(bench.directory.available(pool).size(), expected.available ? 1U : 0U, "%s",
                 expected.name);
}

Test(backend_directory, load_is_corrected_by_own_dispatches) {
    directory_bench bench;
    bench.list();
    bench.poll(report_of(5));
    bench.directory.record_dispatch(e1, 100);
    bench.clock.time += 300ms;
    bench.directory.record_dispatch(e1, 20);
    engine_view seen = *bench.directory.find(e1);
    cr_assert(seen.own_requests_since == 2U && seen.own_prefill_tokens_since == 120U);
    engine::load_report late = report_of(5);
    late.age = 200ms;
    bench.directory.record_load(e1, late);
    seen = *bench.directory.find(e1);
    cr_assert(seen.own_requests_since == 1U && seen.own_prefill_tokens_since == 20U,
              "the report is from between the two");
    bench.directory.record_end(e1);  // the first one's end: the second is still under way
    cr_assert_eq(bench.directory.find(e1)->own_requests_since, 1U);
    bench.directory.record_end(e1);
    cr_assert_eq(bench.directory.find(e1)->own_requests_since, 0U);
}

Test(backend_directory, news_of_leaving_is_told_once) {
    directory_bench bench;
    std::vector<std::uint64_t> told;
    bench.directory.on_leaving([&](const base::engine_name& engine, base::incarnation process) {
        cr_assert(engine == e1);
        told.push_back(process.value);
    });
    bench.list();
    bench.poll(report_of(5));
    bench.directory.record_load(e1, report_of(5, true));
    bench.poll(report_of(5, true));
    bench.directory.record_leaving(e1, base::incarnation(5));
    bench.directory.record_leaving(e1, base::incarnation(4));
    bench.poll(report_of(6, true));
    cr_assert(told == std::vector<std::uint64_t>({5, 6}));
}

Test(backend_directory, polls_back_off_and_failures_hurry_them) {
    directory_bench bench;
    bench.list();
    cr_assert_eq(bench.directory.begin_polls(9).size(), 1U);
    cr_assert(bench.directory.begin_polls(9).empty(), "one is under way");
    std::vector<std::int64_t> pauses;
    for (int failed = 0; failed < 6; ++failed) {
        bench.directory.record_poll_failure(e1);
        pauses.push_back(base::to_milliseconds(*bench.directory.next_poll() - bench.clock.time));
        bench.clock.time = *bench.directory.next_poll();
        cr_assert_eq(bench.directory.begin_polls(9).size(), 1U);
    }
    cr_assert(pauses == std::vector<std::int64_t>({250, 500, 1000, 2000, 4000, 4000}));
    bench.poll(report_of(5));
    cr_assert(bench.directory.begin_polls(9).empty());
    bench.directory.record_failure(e1, error_code::connection_lost);
    cr_assert_eq(bench.directory.begin_polls(9).size(), 1U);
}
