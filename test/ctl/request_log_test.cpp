/// Checks that only the request's own log lines are found, and that they are printed by timestamp.
#include "ferryroad/ctl/request_log.hpp"

#include <criterion/criterion.h>

#include <sstream>
#include <string>

using namespace ferryroad::ctl;

namespace {

std::string line(const std::string& time, const std::string& id, const std::string& message) {
    return R"({ "timestamp": ")" + time +
           R"(", "level": "INFO", "logger": "relay.request", "message": ")" + message +
           R"(", "context_map": { "engine": "e1", "request_id": ")" + id + "\" } }\n";
}

}  // namespace

Test(request_log, finds_only_lines_of_the_request) {
    std::istringstream log(line("t1", "a1", "one") + "garbage a1\n" + line("t2", "b2", "a1") +
                           "{ \"broken\": a1\n" + "[]a1\n" + line("t3", "a1", "two"));
    const auto entries = find_log_entries(log, "a1");
    cr_assert_eq(entries.size(), 2);
    cr_assert(entries[0] == (log_entry{"t1", "INFO", "relay.request", "one", "engine=e1"}));
    cr_assert(entries[1].message == "two");
}

Test(request_log, skips_a_prefix_before_the_json_object) {
    std::istringstream log("   2.2899 router-1 " + line("t1", "a1", "one"));
    cr_assert_eq(find_log_entries(log, "a1").size(), 1);
}

Test(request_log, prints_sorted_by_timestamp) {
    std::istringstream second(line("t2", "a1", "later"));
    std::istringstream first(line("t1", "a1", "sooner"));
    auto entries = find_log_entries(second, "a1");
    for (auto& parsed_entry : find_log_entries(first, "a1")) {
        entries.push_back(parsed_entry);
    }
    std::ostringstream out;
    print_log_entries(entries, out);
    const std::string text = out.str();
    cr_assert(text ==
              "t1 INFO relay.request: sooner engine=e1\nt2 INFO relay.request: later engine=e1\n");
}
