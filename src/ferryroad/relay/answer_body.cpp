#include "ferryroad/relay/answer_body.hpp"

#include "ferryroad/runtime/process_limits.hpp"

#include <algorithm>
#include <utility>

namespace ferryroad::relay {

answer_body::answer_body(std::shared_ptr<runtime::memory_budget> budget, const base::clock& clock,
                         std::size_t max_bytes)
    : m_budget(std::move(budget)), m_max_bytes(max_bytes) {
    if (m_budget) {
        m_memory.emplace(m_budget, clock, nullptr);
    }
}

void answer_body::begin(const http::header_list& head) {
    clear();
    // A string that grows takes up to three times its size while it is copied.
    m_bytes.reserve(std::min(http::content_length(head).value_or(0), m_max_bytes));
}

append_result answer_body::append(std::string_view bytes) {
    m_bytes += bytes;
    if (m_bytes.size() > m_max_bytes) {
        return append_result::too_large;
    }
    return charge(runtime::memory_of(m_bytes)) ? append_result::appended : append_result::no_memory;
}

bool answer_body::charge(std::size_t bytes) {
    return !m_memory || m_memory->grow_to(bytes);
}

std::string answer_body::take() {
    return std::exchange(m_bytes, {});
}

void answer_body::release() {
    if (m_memory) {
        m_memory->release();
    }
}

void answer_body::clear() {
    std::string().swap(m_bytes);  // Assigning an empty string would keep the buffer.
    release();
}

}  // namespace ferryroad::relay
