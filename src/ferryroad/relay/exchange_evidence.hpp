/// @file
/// Reports the outcome and latency of exchanges as evidence on an engine's software version while
/// its pool has a release order.
#pragma once

#include "ferryroad/relay/canary_traffic.hpp"
#include "ferryroad/relay/relay_plan.hpp"
#include "ferryroad/relay/types.hpp"

#include <cstdint>
#include <optional>

namespace ferryroad::relay {

/// Tracks a request's successive exchanges; does nothing while the pool has no order. Exchanges
/// that are cancelled without a call to `answered` or `failed`, because the caller left or the
/// deadline passed, are no evidence. Used from the event loop's thread.
class exchange_evidence {
  public:
    /// @param releases receives the results; may be null.
    explicit exchange_evidence(canary_traffic* releases) : m_releases(releases) {}

    /// Starts a new exchange. The latency of a recently started engine is not used, as such an
    /// engine is slow whatever its software.
    /// @param engine may be null. @param prefill expected time to read the uncached part of the
    /// prompt.
    void begin(const relay_plan& plan, const known_engine* engine, base::duration prefill,
               base::monotonic_time now);
    /// Records an event of the engine's stream.
    void event(base::monotonic_time now);
    /// Records a complete answer. @param status HTTP status of the answer.
    void answered(unsigned status, base::monotonic_time now);
    /// Records a failed exchange. A request that provably did not run is no evidence.
    /// @param streaming whether the engine had begun a stream.
    /// @param own_limit whether a timeout was this router's limit for silent engines and not the
    /// caller's deadline.
    void failed(const dispatch_failure& failure, bool streaming, bool own_limit,
                base::monotonic_time now);
    /// Ends an exchange that is no evidence.
    void discard() { m_result.reset(); }

  private:
    void report_result(base::monotonic_time now);
    /// @param pending whether a further event is awaited.
    /// @return the mean gap between events, or the time to the first event less the prefill time if
    /// there were too few events.
    base::duration latency(bool pending, base::monotonic_time now) const;

    canary_traffic* m_releases;
    std::optional<exchange_result> m_result;  ///< Of the current exchange.
    base::monotonic_time m_began_at{};
    base::duration m_prefill{};
    std::uint32_t m_events = 0;
    base::monotonic_time m_first_event_at{};
    base::monotonic_time m_last_event_at{};
};

}  // namespace ferryroad::relay
