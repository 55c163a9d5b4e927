#include "ferryroad/ctl/request_log.hpp"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>

#include <algorithm>
#include <istream>
#include <optional>
#include <ostream>
#include <utility>

namespace ferryroad::ctl {

namespace {

namespace json = boost::json;

constexpr std::string_view id_field = "request_id";

std::string text_of(const json::object& object, std::string_view name) {
    const json::value* value = object.if_contains(name);
    return value != nullptr && value->is_string() ? value->get_string().c_str() : "";
}

std::optional<log_entry> read_line(std::string_view line, std::string_view request_id) {
    const std::size_t start = line.find('{');
    if (start == std::string_view::npos || line.find(request_id) == std::string_view::npos) {
        return std::nullopt;
    }
    boost::system::error_code failure;
    const json::value parsed = json::parse(line.substr(start), failure);
    const json::object* object = failure ? nullptr : parsed.if_object();
    const json::value* found = object != nullptr ? object->if_contains("context_map") : nullptr;
    const json::object* context = found != nullptr ? found->if_object() : nullptr;
    if (context == nullptr || text_of(*context, id_field) != request_id) {
        return std::nullopt;
    }
    log_entry parsed_entry{text_of(*object, "timestamp"), text_of(*object, "level"),
                           text_of(*object, "logger"), text_of(*object, "message"), ""};
    for (const auto& entry : *context) {
        const std::string name(entry.key());
        if (name == id_field) {
            continue;
        }
        parsed_entry.fields +=
            (parsed_entry.fields.empty() ? "" : " ") + name + "=" + text_of(*context, name);
    }
    return parsed_entry;
}

}  // namespace

std::vector<log_entry> find_log_entries(std::istream& log, std::string_view request_id) {
    std::vector<log_entry> entries;
    std::string line;
    while (std::getline(log, line)) {
        if (auto parsed_entry = read_line(line, request_id)) {
            entries.push_back(std::move(*parsed_entry));
        }
    }
    return entries;
}

void print_log_entries(std::vector<log_entry> entries, std::ostream& out) {
    std::stable_sort(entries.begin(), entries.end(), [](const log_entry& a, const log_entry& b) {
        return a.timestamp < b.timestamp;
    });
    for (const log_entry& parsed_entry : entries) {
        out << parsed_entry.timestamp << ' ' << parsed_entry.level << ' ' << parsed_entry.logger
            << ": " << parsed_entry.message << ' ' << parsed_entry.fields << '\n';
    }
}

}  // namespace ferryroad::ctl
