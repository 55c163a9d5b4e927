/// @file
/// How many log lines a second may be written, with a part kept for those that matter most.
#pragma once

#include "ferryroad/base/time.hpp"

#include <cstdint>
#include <utility>

namespace ferryroad::runtime {

struct line_budget_settings {
    std::uint32_t lines_a_second = 600;
    /// Of these, lines that only warnings and errors may take.
    std::uint32_t kept_for_warnings = 200;
};

/// Counts lines in whole seconds. Not thread-safe.
class line_budget {
  public:
    explicit line_budget(line_budget_settings settings) : m_settings(settings) {}

    /// @return whether the line may be written; where not, it is counted as dropped.
    bool admit(bool is_warning, base::monotonic_time now) {
        if (now - m_second >= std::chrono::seconds(1)) {
            m_second = now;
            m_written = 0;
        }
        const std::uint32_t allowed =
            is_warning ? m_settings.lines_a_second
                       : m_settings.lines_a_second - m_settings.kept_for_warnings;
        if (m_written >= allowed) {
            ++m_dropped;
            return false;
        }
        ++m_written;
        return true;
    }
    void count_dropped() { ++m_dropped; }
    /// @return lines dropped since the last call.
    std::uint64_t take_dropped() { return std::exchange(m_dropped, 0); }

  private:
    line_budget_settings m_settings;
    base::monotonic_time m_second{};
    std::uint32_t m_written = 0;
    std::uint64_t m_dropped = 0;
};

}  // namespace ferryroad::runtime
