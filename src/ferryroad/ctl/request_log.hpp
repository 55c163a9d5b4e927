/// @file
/// Finds and prints the log entries of one request in the logs of several routers.
#pragma once

#include <iosfwd>
#include <string>
#include <string_view>
#include <vector>

namespace ferryroad::ctl {

/// A log line with the id of the request.
struct log_entry {
    std::string timestamp;
    std::string level;
    std::string logger;
    std::string message;
    std::string fields;  ///< `name=value` of the other context fields, in the line's order.

    friend bool operator==(const log_entry&, const log_entry&) = default;
};

/// @param log is read line by line. Text before a line's JSON object, such as a log collector's
/// prefix, is skipped; lines without a JSON object that has a context are ignored.
/// @return the lines whose context has the request id, in the log's order. Thread-safe.
std::vector<log_entry> find_log_entries(std::istream& log, std::string_view request_id);

/// Prints the entries, sorted by timestamp.
void print_log_entries(std::vector<log_entry> entries, std::ostream& out);

}  // namespace ferryroad::ctl
