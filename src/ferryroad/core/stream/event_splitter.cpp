#include "ferryroad/core/stream/event_splitter.hpp"

#include <algorithm>
#include <charconv>

namespace ferryroad::core::stream {

namespace {

constexpr std::string_view id_field = "id:";
constexpr std::string_view data_field = "data";

std::optional<std::uint64_t> number_in(std::string_view digits) {
    digits.remove_prefix(digits.starts_with(' ') ? 1 : 0);
    std::uint64_t value = 0;
    const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), value);
    return parsed.ec == std::errc{} ? std::optional(value) : std::nullopt;
}

/// Of several `id` lines, the last one with a number counts.
complete_event parse_event(std::string_view text) {
    complete_event event;
    event.bytes = text;
    while (!text.empty()) {
        const std::string_view line = text.substr(0, text.find('\n'));
        text.remove_prefix(std::min(text.size(), line.size() + 1));
        if (line.starts_with(id_field)) {
            const auto id = number_in(line.substr(id_field.size()));
            event.id = id ? id : event.id;
        }
        event.has_data = event.has_data || line.starts_with(data_field);
    }
    return event;
}

/// @return the position after the first empty line, or npos.
std::size_t end_of_event(std::string_view text) {
    std::size_t line_start = 0;
    for (;;) {
        const std::size_t line_end = text.find('\n', line_start);
        if (line_end == std::string_view::npos) {
            return line_end;
        }
        std::string_view line = text.substr(line_start, line_end - line_start);
        if (line.empty() || line == "\r") {
            return line_end + 1;
        }
        line_start = line_end + 1;
    }
}

}  // namespace

std::vector<complete_event> event_splitter::feed(std::string_view bytes) {
    m_pending.append(bytes);
    std::vector<complete_event> events;
    std::string_view rest = m_pending;
    for (;;) {
        const std::size_t end = end_of_event(rest);
        if (end == std::string_view::npos) {
            break;
        }
        events.push_back(parse_event(rest.substr(0, end)));
        rest.remove_prefix(end);
    }
    m_pending.erase(0, m_pending.size() - rest.size());
    return events;
}

}  // namespace ferryroad::core::stream
