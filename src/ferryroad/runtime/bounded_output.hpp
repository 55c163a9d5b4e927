/// @file
/// Non-blocking output of log lines to a file descriptor. Lines that can't be written at once are
/// kept in a bounded buffer; lines that don't fit into it are dropped and counted.
#pragma once

#include "ferryroad/runtime/line_budget.hpp"

#include <cstddef>
#include <string>
#include <string_view>

namespace ferryroad::runtime {

/// Writes rate-limited log lines without blocking. Not thread-safe; the owner does the locking.
class bounded_output {
  public:
    /// @param descriptor is made non-blocking.
    /// @param budget limits the lines per second.
    /// @param max_buffer_bytes maximum size of the buffer in bytes.
    bounded_output(int descriptor, line_budget_settings budget, std::size_t max_buffer_bytes);

    /// Writes or buffers one line, or drops it if it exceeds the budget or the buffer.
    /// @param line includes its line end.
    void write(std::string_view line, bool is_warning, base::monotonic_time now);
    /// Writes as much of the buffer as the descriptor accepts without blocking.
    void flush();
    /// @return bytes in the buffer.
    std::size_t buffered_bytes() const { return m_buffer.size(); }

  private:
    void append(std::string_view line);
    /// Appends a line with the number of lines dropped since the last such line, if any.
    void report_dropped_lines();

    int m_descriptor;
    line_budget m_budget;
    std::size_t m_max_buffer_bytes;
    std::string m_buffer;
};

}  // namespace ferryroad::runtime
