/// @file
/// Load shedding of streaming requests: decides whether one is refused because its pool's engines
/// are overloaded, and feeds its own latency back into the decisions for later requests.
#pragma once

#include "ferryroad/core/admission/load_shedder.hpp"
#include "ferryroad/relay/relay_plan.hpp"
#include "ferryroad/runtime/scheduler.hpp"

#include <cstdint>
#include <optional>

namespace ferryroad::relay {

/// Admission of one request. Non-streaming requests are never refused and contribute no latency.
/// Used from the event loop's thread; the constructor's arguments must outlive it.
class stream_admission {
  public:
    stream_admission(core::admission::load_shedder& shedder, const runtime::scheduler& scheduler,
                     const relay_plan& plan);
    ~stream_admission() { ended(); }
    stream_admission(const stream_admission&) = delete;
    stream_admission& operator=(const stream_admission&) = delete;

    /// @return whether the request, which has not been sent yet, must be refused. Logs a refusal.
    bool refuses();
    /// @return when the caller may retry: between one and two times the current delay of first
    /// events, to spread retries.
    base::duration retry_after() const;

    /// Records that the request was sent to an engine, before any event was received. May be called
    /// again for a retry.
    void sent();
    /// Records the first event.
    void answered();
    /// Records that the exchange ended, with or without an event.
    void ended();

  private:
    core::admission::load_shedder& m_shedder;
    const runtime::scheduler& m_scheduler;
    const relay_plan& m_plan;
    bool m_is_stream;
    double m_draw;                          ///< From 0 to 1, derived from the request's id.
    std::optional<std::uint64_t> m_number;  ///< At the shedder, until the first event.
};

}  // namespace ferryroad::relay
