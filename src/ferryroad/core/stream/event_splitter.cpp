#include "ferryroad/core/stream/event_splitter.hpp"

#include <algorithm>
#include <charconv>

namespace ferryroad::core::stream {

namespace {

constexpr std::string_view id_field = "id:";

/// @return the value of the last `id` line that starts with a number.
std::optional<std::uint64_t> id_of(std::string_view event) {
    std::optional<std::uint64_t> id;
    while (!event.empty()) {
        const std::string_view line = event.substr(0, event.find('\n'));
        event.remove_prefix(std::min(event.size(), line.size() + 1));
        if (!line.starts_with(id_field)) {
            continue;
        }
        std::string_view digits = line.substr(id_field.size());
        digits.remove_prefix(digits.starts_with(' ') ? 1 : 0);
        std::uint64_t value = 0;
        const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), value);
        if (parsed.ec == std::errc{}) {
            id = value;
        }
    }
    return id;
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
        const std::string_view event = rest.substr(0, end);
        events.push_back({std::string(event), id_of(event)});
        rest.remove_prefix(end);
    }
    m_pending.erase(0, m_pending.size() - rest.size());
    return events;
}

}  // namespace ferryroad::core::stream
