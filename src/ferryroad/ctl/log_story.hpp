/// @file
/// One request's story from the logs of several routers.
#pragma once

#include <iosfwd>
#include <string>
#include <string_view>
#include <vector>

namespace ferryroad::ctl {

/// A log line that names the request.
struct story_line {
    std::string timestamp;
    std::string level;
    std::string logger;
    std::string message;
    std::string fields;  ///< `name=value` of everything else, in the line's order.

    friend bool operator==(const story_line&, const story_line&) = default;
};

/// @param log lines; what is no JSON object with a context is passed over. A prefix before the
/// object, as collectors write it, is skipped.
/// @return the lines whose context names the request, in the log's order. Thread-safe.
std::vector<story_line> find_story(std::istream& log, std::string_view request_id);

/// Prints the lines in the order of their timestamps.
void print_story(std::vector<story_line> story, std::ostream& out);

}  // namespace ferryroad::ctl
