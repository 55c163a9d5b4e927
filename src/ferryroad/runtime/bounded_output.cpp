#include "ferryroad/runtime/bounded_output.hpp"

#include <fcntl.h>
#include <unistd.h>

namespace ferryroad::runtime {

bounded_output::bounded_output(int descriptor, line_budget_settings budget, std::size_t most_kept)
    : m_descriptor(descriptor), m_budget(budget), m_most_kept(most_kept) {
    const int flags = ::fcntl(descriptor, F_GETFL);
    if (flags >= 0) {
        ::fcntl(descriptor, F_SETFL, flags | O_NONBLOCK);
    }
}

void bounded_output::write(std::string_view line, bool is_warning, base::monotonic_time now) {
    if (m_budget.admit(is_warning, now)) {
        tell_dropped();
        append(line);
    }
    flush();
}

void bounded_output::append(std::string_view line) {
    if (m_waiting.size() + line.size() > m_most_kept) {
        m_budget.count_dropped();
        return;
    }
    m_waiting.append(line);
}

void bounded_output::tell_dropped() {
    const std::uint64_t dropped = m_budget.take_dropped();
    if (dropped > 0) {
        append(
            "{ \"level\": \"WARN\", \"logger\": \"log\", \"message\": \"lines dropped\", "
            "\"context_map\": { \"lines\": \"" +
            std::to_string(dropped) + "\" } }\n");
    }
}

void bounded_output::flush() {
    while (!m_waiting.empty()) {
        const ::ssize_t written = ::write(m_descriptor, m_waiting.data(), m_waiting.size());
        if (written <= 0) {
            return;  // The reader is slow or gone: later, or never.
        }
        m_waiting.erase(0, static_cast<std::size_t>(written));
    }
}

}  // namespace ferryroad::runtime
