/// @file
/// Server-sent events.
#pragma once

#include <string>
#include <string_view>

namespace ferryroad::caller {

/// @param data one line. @return one event.
inline std::string data_event(std::string_view data) {
    std::string event = "data: ";
    event += data;
    event += "\n\n";
    return event;
}

}  // namespace ferryroad::caller
