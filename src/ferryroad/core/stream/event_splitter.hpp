/// @file
/// Cuts a server-sent event stream into whole events and reads their ids, without touching
/// their bytes. No I/O.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ferryroad::core::stream {

/// One whole event with the empty line that ends it.
struct whole_event {
    std::string bytes;
    std::optional<std::uint64_t> id;  ///< Nothing where the event has none, or no number.

    friend bool operator==(const whole_event&, const whole_event&) = default;
};

/// Not thread-safe.
class event_splitter {
  public:
    /// @return the events that `bytes` complete, in order.
    std::vector<whole_event> feed(std::string_view bytes);
    /// @return whether the bytes so far end in the middle of an event.
    bool in_event() const { return !m_pending.empty(); }
    /// @return bytes held back, for bounds on an event's size.
    std::size_t held_bytes() const { return m_pending.size(); }

  private:
    std::string m_pending;
};

}  // namespace ferryroad::core::stream
