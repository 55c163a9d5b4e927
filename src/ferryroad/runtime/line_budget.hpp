/// @file
/// Rate limit for log lines, with a part reserved for warnings and errors.
#pragma once

#include "ferryroad/base/time.hpp"

#include <cstdint>
#include <utility>

namespace ferryroad::runtime {

struct line_budget_settings {
    /// Maximum number of lines in any one-second window.
    std::uint32_t lines_per_second = 600;
    /// Part of `lines_per_second` that is reserved for warnings and errors.
    std::uint32_t reserved_for_warnings = 200;
};

/// Counts lines in fixed one-second windows. Not thread-safe.
class line_budget {
  public:
    explicit line_budget(line_budget_settings settings) : m_settings(settings) {}

    /// @return whether the line may be written; if not, it is counted as dropped.
    bool admit(bool is_warning, base::monotonic_time now) {
        if (now - m_window_start >= std::chrono::seconds(1)) {
            m_window_start = now;
            m_written = 0;
        }
        const std::uint32_t allowed =
            is_warning ? m_settings.lines_per_second
                       : m_settings.lines_per_second - m_settings.reserved_for_warnings;
        if (m_written >= allowed) {
            ++m_dropped;
            return false;
        }
        ++m_written;
        return true;
    }
    /// Counts one line that was admitted, but dropped later.
    void count_dropped() { ++m_dropped; }
    /// @return the number of lines dropped since the last call; resets the count.
    std::uint64_t take_dropped() { return std::exchange(m_dropped, 0); }

  private:
    line_budget_settings m_settings;
    base::monotonic_time m_window_start{};
    std::uint32_t m_written = 0;
    std::uint64_t m_dropped = 0;
};

}  // namespace ferryroad::runtime
