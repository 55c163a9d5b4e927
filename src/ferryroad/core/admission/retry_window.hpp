/// @file
/// Retry budget over a sliding window: a share of the window's requests plus a reserve. Unused
/// retries remain available for the length of the window, so that a burst of refusals, for
/// example while engines load new weights, is covered by the quiet time before it.
#pragma once

#include "ferryroad/core/admission/retry_allowance.hpp"

#include <cstdint>
#include <deque>

namespace ferryroad::core::admission {

struct retry_window_settings {
    double share = 0.1;  ///< Retries per request, 0 or more.
    double reserve = 4;  ///< Retries per window beyond the share.
    base::duration window = std::chrono::seconds(10);

    friend bool operator==(const retry_window_settings&, const retry_window_settings&) = default;
};

/// In any window that ends with a retry, the number of retries never exceeds the reserve plus
/// `share` times the number of requests. Not thread-safe.
class retry_window final : public retry_allowance {
  public:
    explicit retry_window(retry_window_settings settings) : m_settings(settings) {}

    void change_settings(retry_window_settings settings) { m_settings = settings; }
    /// Records the arrival of a request.
    void record_request(base::monotonic_time now);

    void record_success() override {}
    bool try_retry(base::monotonic_time now) override;
    void give_back() override;

  private:
    /// Requests that arrived within one part of the window.
    struct slot {
        base::monotonic_time began{};
        std::uint64_t requests = 0;
    };

    /// Drops slots and retries that have left the window.
    void drop_expired(base::monotonic_time now);

    retry_window_settings m_settings;
    std::deque<slot> m_slots;
    std::uint64_t m_requests = 0;  ///< Sum over all slots.
    std::deque<base::monotonic_time> m_retries;
};

}  // namespace ferryroad::core::admission
