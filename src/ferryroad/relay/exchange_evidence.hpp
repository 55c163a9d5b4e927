/// @file
/// What one exchange with an engine says of the engine's software, while its pool has an order.
#pragma once

#include "ferryroad/relay/canary_traffic.hpp"
#include "ferryroad/relay/relay_plan.hpp"
#include "ferryroad/relay/types.hpp"

#include <cstdint>
#include <optional>

namespace ferryroad::relay {

/// Follows a request's exchanges one after the other; without an order it does nothing. What is
/// not told to it (the caller left, the time was up) is no evidence. Used from the event loop's
/// thread.
class exchange_evidence {
  public:
    /// @param releases may be null.
    explicit exchange_evidence(canary_traffic* releases) : m_releases(releases) {}

    /// A dispatch begins. Times of an engine that has just started are not taken: it is slow
    /// whatever its software. @param reading expected of the parts of the prompt that aren't warm.
    void begin(const relay_plan& plan, const known_engine* engine, base::duration reading,
               base::monotonic_time now);
    /// An event of the engine's stream came.
    void event(base::monotonic_time now);
    /// The answer ended as the engine meant it to. @param status of the answer.
    void answered(unsigned status, base::monotonic_time now);
    /// @param streaming whether the engine had begun a stream.
    /// @param own_limit whether it failed by a limit of this router's for silent engines, not by
    /// the caller's time.
    void failed(const dispatch_failure& failure, bool streaming, bool own_limit,
                base::monotonic_time now);

  private:
    void tell(base::monotonic_time now);
    /// @param pending whether a further event is waited for.
    base::duration taken(bool pending, base::monotonic_time now) const;

    canary_traffic* m_releases;
    std::optional<exchange_result> m_result;  ///< Of the exchange under way.
    base::monotonic_time m_began_at{};
    base::duration m_reading{};
    std::uint32_t m_events = 0;
    base::monotonic_time m_first_event_at{};
    base::monotonic_time m_last_event_at{};
};

}  // namespace ferryroad::relay
