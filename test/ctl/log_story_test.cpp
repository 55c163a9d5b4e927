/// A request's story from logs: its own lines alone, in the order of time.
#include "ferryroad/ctl/log_story.hpp"

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

Test(log_story, takes_only_the_requests_own_lines) {
    std::istringstream log(line("t1", "a1", "one") + "garbage a1\n" + line("t2", "b2", "a1") +
                           "{ \"broken\": a1\n" + "[]a1\n" + line("t3", "a1", "two"));
    const auto story = find_story(log, "a1");
    cr_assert_eq(story.size(), 2);
    cr_assert(story[0] == (story_line{"t1", "INFO", "relay.request", "one", "engine=e1"}));
    cr_assert(story[1].message == "two");
}

Test(log_story, skips_what_a_collector_writes_before_the_object) {
    std::istringstream log("   2.2899 router-1 " + line("t1", "a1", "one"));
    cr_assert_eq(find_story(log, "a1").size(), 1);
}

Test(log_story, prints_in_the_order_of_time) {
    std::istringstream second(line("t2", "a1", "later"));
    std::istringstream first(line("t1", "a1", "sooner"));
    auto story = find_story(second, "a1");
    for (auto& told : find_story(first, "a1")) {
        story.push_back(told);
    }
    std::ostringstream out;
    print_story(story, out);
    const std::string text = out.str();
    cr_assert(text ==
              "t1 INFO relay.request: sooner engine=e1\nt2 INFO relay.request: later engine=e1\n");
}
