#include "ferryroad/core/admission/retry_window.hpp"

namespace ferryroad::core::admission {

namespace {

/// Requests are counted in this many slots per window and expire by whole slots.
constexpr int slots_per_window = 20;

}  // namespace

void retry_window::record_request(base::monotonic_time now) {
    drop_expired(now);
    if (m_slots.empty() || now - m_slots.back().began >= m_settings.window / slots_per_window) {
        m_slots.push_back({now, 0});
    }
    ++m_slots.back().requests;
    ++m_requests;
}

bool retry_window::try_retry(base::monotonic_time now) {
    drop_expired(now);
    const double allowed = m_settings.reserve + m_settings.share * static_cast<double>(m_requests);
    if (static_cast<double>(m_retries.size()) + 1 > allowed) {
        return false;
    }
    m_retries.push_back(now);
    return true;
}

void retry_window::give_back() {
    if (!m_retries.empty()) {
        m_retries.pop_back();
    }
}

void retry_window::drop_expired(base::monotonic_time now) {
    while (!m_slots.empty() && now - m_slots.front().began >= m_settings.window) {
        m_requests -= m_slots.front().requests;
        m_slots.pop_front();
    }
    while (!m_retries.empty() && now - m_retries.front() >= m_settings.window) {
        m_retries.pop_front();
    }
}

}  // namespace ferryroad::core::admission
