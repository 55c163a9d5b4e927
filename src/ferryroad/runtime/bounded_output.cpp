#include "ferryroad/runtime/bounded_output.hpp"

#include <fcntl.h>
#include <unistd.h>

namespace ferryroad::runtime {

bounded_output::bounded_output(int descriptor, line_budget_settings budget,
                               std::size_t max_buffer_bytes)
    : m_descriptor(descriptor), m_budget(budget), m_max_buffer_bytes(max_buffer_bytes) {
    const int flags = ::fcntl(descriptor, F_GETFL);
    if (flags >= 0) {
        ::fcntl(descriptor, F_SETFL, flags | O_NONBLOCK);
    }
}

void bounded_output::write(std::string_view line, bool is_warning, base::monotonic_time now) {
    if (m_budget.admit(is_warning, now)) {
        report_dropped_lines();
        append(line);
    }
    flush();
}

void bounded_output::append(std::string_view line) {
    if (m_buffer.size() + line.size() > m_max_buffer_bytes) {
        m_budget.count_dropped();
        return;
    }
    m_buffer.append(line);
}

void bounded_output::report_dropped_lines() {
    const std::uint64_t dropped = m_budget.take_dropped();
    if (dropped > 0) {
        append(
            "{ \"level\": \"WARN\", \"logger\": \"log\", \"message\": \"lines dropped\", "
            "\"context_map\": { \"lines\": \"" +
            std::to_string(dropped) + "\" } }\n");
    }
}

void bounded_output::flush() {
    while (!m_buffer.empty()) {
        const ::ssize_t written = ::write(m_descriptor, m_buffer.data(), m_buffer.size());
        if (written <= 0) {
            return;  // The reader is slow or gone; the next flush tries again.
        }
        m_buffer.erase(0, static_cast<std::size_t>(written));
    }
}

}  // namespace ferryroad::runtime
