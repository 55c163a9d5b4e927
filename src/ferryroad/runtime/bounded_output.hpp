/// @file
/// Log lines to a descriptor without ever waiting for whoever reads it: what can't be written
/// now is kept in a bounded buffer, and what doesn't fit there is dropped and counted.
#pragma once

#include "ferryroad/runtime/line_budget.hpp"

#include <cstddef>
#include <string>
#include <string_view>

namespace ferryroad::runtime {

/// Not thread-safe; its owner locks.
class bounded_output {
  public:
    /// @param descriptor is made non-blocking. @param most_kept bytes that wait at most.
    bounded_output(int descriptor, line_budget_settings budget, std::size_t most_kept);

    /// Writes one line, its end included, or drops it.
    void write(std::string_view line, bool is_warning, base::monotonic_time now);
    /// Writes what waits, as far as that goes now.
    void flush();
    std::size_t waiting_bytes() const { return m_waiting.size(); }

  private:
    void append(std::string_view line);
    void tell_dropped();

    int m_descriptor;
    line_budget m_budget;
    std::size_t m_most_kept;
    std::string m_waiting;
};

}  // namespace ferryroad::runtime
