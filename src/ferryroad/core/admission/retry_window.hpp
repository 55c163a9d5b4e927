/// @file
/// Retries as a share of the requests of the same window, plus a reserve: what is not used is
/// saved for as long as the window, so that a few refusals in a row, as while engines load new
/// weights, are within the share of a quiet minute.
#pragma once

#include "ferryroad/core/admission/retry_allowance.hpp"

#include <cstdint>
#include <deque>

namespace ferryroad::core::admission {

struct retry_window_settings {
    double share = 0.1;  ///< Retries for each request, 0 or more.
    double reserve = 4;  ///< Retries beyond the share.
    base::duration window = std::chrono::seconds(10);

    friend bool operator==(const retry_window_settings&, const retry_window_settings&) = default;
};

/// In any window that ends with a retry, retries never outnumber the reserve plus the share of
/// the window's requests.
class retry_window final : public retry_allowance {
  public:
    explicit retry_window(retry_window_settings settings) : m_settings(settings) {}

    void change_settings(retry_window_settings settings) { m_settings = settings; }
    /// A request came, that may have to be retried.
    void record_request(base::monotonic_time now);

    void record_success() override {}
    bool try_retry(base::monotonic_time now) override;
    void give_back() override;

  private:
    /// Requests that came within a small part of the window.
    struct slot {
        base::monotonic_time began{};
        std::uint64_t requests = 0;
    };

    void forget(base::monotonic_time now);

    retry_window_settings m_settings;
    std::deque<slot> m_slots;
    std::uint64_t m_requests = 0;  ///< Of all slots.
    std::deque<base::monotonic_time> m_retries;
};

}  // namespace ferryroad::core::admission
