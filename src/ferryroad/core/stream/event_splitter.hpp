/// @file
/// Incremental splitter for server-sent event streams. It reads the ids of events and leaves their
/// bytes unchanged.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ferryroad::core::stream {

/// One complete event.
struct complete_event {
    std::string bytes;                ///< Includes the empty line that ends the event.
    std::optional<std::uint64_t> id;  ///< Nothing if the event has no id or it is not a number.
    bool has_data = false;            ///< Receivers ignore events without a `data` line.

    friend bool operator==(const complete_event&, const complete_event&) = default;
};

/// Not thread-safe.
class event_splitter {
  public:
    /// Adds the next bytes of the stream.
    /// @return the events that `bytes` complete, in order.
    std::vector<complete_event> feed(std::string_view bytes);
    /// @return whether the bytes so far end in the middle of an event.
    bool in_event() const { return !m_pending.empty(); }
    /// @return the number of buffered bytes, so that the caller can limit the size of an event.
    std::size_t buffered_bytes() const { return m_pending.size(); }
    /// @return the memory, in bytes, that the buffer takes.
    std::size_t allocated_bytes() const { return m_pending.capacity(); }

  private:
    std::string m_pending;
};

}  // namespace ferryroad::core::stream
