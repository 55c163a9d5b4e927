/// @file
/// Formats server-sent events.
#pragma once

#include <string>
#include <string_view>

namespace ferryroad::caller {

/// @param data must not contain a line break.
/// @return one server-sent event with that data.
inline std::string data_event(std::string_view data) {
    std::string event = "data: ";
    event += data;
    event += "\n\n";
    return event;
}

}  // namespace ferryroad::caller
