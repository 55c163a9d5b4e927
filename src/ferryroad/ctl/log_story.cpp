#include "ferryroad/ctl/log_story.hpp"

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

std::optional<story_line> read_line(std::string_view line, std::string_view request_id) {
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
    story_line told{text_of(*object, "timestamp"), text_of(*object, "level"),
                    text_of(*object, "logger"), text_of(*object, "message"), ""};
    for (const auto& entry : *context) {
        const std::string name(entry.key());
        if (name == id_field) {
            continue;
        }
        told.fields += (told.fields.empty() ? "" : " ") + name + "=" + text_of(*context, name);
    }
    return told;
}

}  // namespace

std::vector<story_line> find_story(std::istream& log, std::string_view request_id) {
    std::vector<story_line> story;
    std::string line;
    while (std::getline(log, line)) {
        if (auto told = read_line(line, request_id)) {
            story.push_back(std::move(*told));
        }
    }
    return story;
}

void print_story(std::vector<story_line> story, std::ostream& out) {
    std::stable_sort(story.begin(), story.end(), [](const story_line& a, const story_line& b) {
        return a.timestamp < b.timestamp;
    });
    for (const story_line& told : story) {
        out << told.timestamp << ' ' << told.level << ' ' << told.logger << ": " << told.message
            << ' ' << told.fields << '\n';
    }
}

}  // namespace ferryroad::ctl
