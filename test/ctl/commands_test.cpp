/// Checks ferryctl's output and exit codes against routers on loopback.
#include "ferryroad/ctl/commands.hpp"

#include "ferryroad/ctl/command_line.hpp"
#include "test/operator/running_router.hpp"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <sstream>
#include <variant>

using namespace ferryroad;
using ctl::exit_code;
using operators::testing::running_router;

namespace {

constexpr auto short_limit = std::chrono::milliseconds(50);

struct ending {
    int code = 0;
    std::string out;
    std::string err;

    bool shows(const std::string& text) const {
        return out.find(text) != std::string::npos || err.find(text) != std::string::npos;
    }
};

/// Runs one command line, given as arguments separated by spaces.
ending run(const std::string& line) {
    std::istringstream words(line);
    std::vector<std::string> arguments{"ferryctl"};
    for (std::string word; words >> word;) {
        arguments.push_back(word);
    }
    std::vector<const char*> argv;
    for (const std::string& argument : arguments) {
        argv.push_back(argument.c_str());
    }
    std::ostringstream out;
    std::ostringstream err;
    ending ended;
    const auto read = ctl::read_command_line(static_cast<int>(argv.size()), argv.data(), out, err);
    if (const int* code = std::get_if<int>(&read)) {
        ended.code = *code;
    } else {
        ended.code = static_cast<int>(ctl::run_command(std::get<ctl::options>(read), out, err));
    }
    ended.out = out.str();
    ended.err = err.str();
    return ended;
}

std::string at(const running_router& router) {
    return " --router " + router.address().to_string();
}

const std::string demo_file = FERRYROAD_SOURCE_DIR "/deploy/demo.json";

struct row {
    const char* line;  ///< %s is replaced by the path of the demonstration file, which is in force.
    exit_code code;
    const char* shown;
};

const row rows[] = {
    {"apply -f %s", exit_code::success, "revision 1"},
    {"apply -f %s --expect-revision 1 --output json", exit_code::success, "\"revision\":1"},
    {"apply -f %s --expect-revision 0", exit_code::revision_conflict, "revision 1 is in force"},
    {"apply -f %s --dry-run", exit_code::success, "0 differences to revision 1"},
    {"apply -f /none.json", exit_code::invalid, "/none.json: can't be opened"},
    {"apply", exit_code::invalid, "--file"},
    {"plan -f %s --output json", exit_code::success, "\"differences\":[]"},
    {"get", exit_code::success, "registry-7b"},
    {"get --output json", exit_code::success, "\"tenants\":[{\"name\":\"aire-andino\""},
    {"status", exit_code::success, "engine-1"},
    {"status --output json", exit_code::success, "\"running\":3"},
    {"drain engine-1", exit_code::success, "revision 2"},
    {"drain engine-9", exit_code::not_found, "engine-9"},
    {"confirm 1", exit_code::success, "revision 1 confirmed by the table"},
    {"confirm 7", exit_code::revision_conflict, "revision 1 is held here"},
    {"confirm", exit_code::invalid, "revision"},
    {"explain request-1", exit_code::success, "1.500"},
    {"explain request-9", exit_code::not_found, "no record"},
    {"watch --after 0 --count 1", exit_code::success, "added route/completions"},
    {"watch --after 0 --count 1 --output json", exit_code::success, "\"author\":\"tester\""},
    {"status --router 127.0.0.1:1 --timeout-ms 200", exit_code::unreachable, "no router"},
    {"status --router localhost:1", exit_code::invalid, "expected IP:PORT"},
    {"status --output xml", exit_code::invalid, "--output"},
    {"unknown", exit_code::invalid, "subcommand is required"},
    {"--help", exit_code::success, "Subcommands"},
    {"completion bash", exit_code::success, "complete -F _ferryctl ferryctl"},
};
constexpr std::size_t row_count = sizeof(rows) / sizeof(rows[0]);

}  // namespace

ParameterizedTestParameters(ferryctl, command_table) {
    static std::size_t indexes[row_count];
    for (std::size_t index = 0; index < row_count; ++index) {
        indexes[index] = index;
    }
    return cr_make_param_array(std::size_t, indexes, row_count);
}

ParameterizedTest(std::size_t* index, ferryctl, command_table) {
    const row& expected = rows[*index];
    running_router router;
    cr_assert_eq(run("apply -f " + demo_file + " --author tester" + at(router)).code, 0);
    std::string line = expected.line;
    if (const std::size_t place = line.find("%s"); place != std::string::npos) {
        line.replace(place, 2, demo_file);
    }
    const bool names_router = line.find("--router") != std::string::npos;
    const ending ended = run(line + (names_router ? "" : at(router)));
    cr_assert_eq(ended.code, static_cast<int>(expected.code), "%s: %d %s%s", line.c_str(),
                 ended.code, ended.out.c_str(), ended.err.c_str());
    cr_assert(ended.shows(expected.shown), "%s: %s%s", line.c_str(), ended.out.c_str(),
              ended.err.c_str());
}

Test(ferryctl, what_get_prints_as_a_file_changes_nothing_when_applied) {
    running_router router;
    run("apply -f " + demo_file + at(router));
    const ending file = run("get --as-file" + at(router));
    const ending again = run("apply -f " + demo_file + at(router));
    cr_assert_eq(file.code, 0);
    cr_assert(again.shows("revision 1"));
    cr_assert(file.shows("\"key_sha256\""));
}

Test(ferryctl, a_lost_answer_is_repeated_as_the_same_change) {
    running_router router;
    emulator::platform_faults faults;
    faults.lost_answers = 1;
    router.set_faults(faults);
    const ending ended = run("apply -f " + demo_file + at(router));
    cr_assert_eq(ended.code, 0, "%s", ended.err.c_str());
    cr_assert(ended.shows("revision 1"), "%s", ended.out.c_str());
    cr_assert(run("plan -f " + demo_file + at(router)).shows("0 differences"));
}

Test(ferryctl, a_drain_is_undone) {
    running_router router;
    run("apply -f " + demo_file + at(router));
    run("drain engine-1" + at(router));
    cr_assert(run("get" + at(router)).shows("engine-1"));
    cr_assert(run("drain engine-1 --undo" + at(router)).shows("revision 3"));
    cr_assert(!run("get" + at(router)).shows("engine-1"));
}

Test(ferryctl, the_next_router_answers_when_one_is_gone) {
    running_router gone;
    running_router router;
    const std::string both = at(gone) + at(router);
    gone.stop();
    const ending ended = run("apply -f " + demo_file + both);
    cr_assert_eq(ended.code, 0, "%s", ended.err.c_str());
}

Test(ferryctl, an_outage_ends_with_nothing_changed) {
    running_router router(short_limit);
    emulator::platform_faults faults;
    faults.outage = true;
    router.set_faults(faults);
    const ending ended = run("apply --timeout-ms 1500 -f " + demo_file + at(router));
    cr_assert_eq(ended.code, static_cast<int>(exit_code::unreachable), "%s", ended.err.c_str());
    router.set_faults({});
    cr_assert(run("get" + at(router)).shows("revision 0"));
}
