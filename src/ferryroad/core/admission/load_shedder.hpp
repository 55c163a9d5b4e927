/// @file
/// Refuses a share of a pool's requests while its engines answer the others slowly: where engines
/// are short, first come, first served answers nobody in time. The share follows what answers are
/// seen to take of their target, so that no engine's capacity need be known.
#pragma once

#include "ferryroad/base/time.hpp"

#include <cstdint>
#include <map>

namespace ferryroad::core::admission {

/// Measured against each other in design note 0058.
struct shedder_tunables {
    /// Weight of the newest request in the pressure: a router sees some ten requests a second.
    double newest_weight = 0.1;
    /// Part of their targets that answers may take before some requests are refused: long prompts
    /// take that much to read where nothing waits.
    double tolerated = 0.45;
    /// Share refused for each part of the target beyond that.
    double strength = 2.5;
    /// Never more than this, so that a pool whose engines are all slow is still tried.
    double most_refused = 0.7;
    /// Weight of the newest answer in the time that answers take.
    double delay_weight = 0.1;
    /// After a longer pause between two calls this process may have stood still: what waited
    /// meanwhile says nothing of the engines.
    base::duration longest_pause = std::chrono::seconds(1);
};

/// One pool at one router. Pure: events and `now` come in. Not thread-safe.
class load_shedder {
  public:
    explicit load_shedder(shedder_tunables tunables = {}) : m_tunables(tunables) {}

    /// A request was sent. @param target after which its first answer bytes are late.
    /// @return its number, for `answered` and `ended`.
    std::uint64_t sent(base::duration target, base::monotonic_time now);
    /// Its first answer bytes came. A number that isn't known any more changes nothing.
    void answered(std::uint64_t number, base::monotonic_time now);
    /// It ended without any: that says nothing, unless it was late by then.
    void ended(std::uint64_t number, base::monotonic_time now);

    /// @param draw of the request, from 0 to 1. @return whether it is refused.
    bool refuses(double draw, base::monotonic_time now);
    /// @return share of requests refused now.
    double refused_share() const;
    /// @return the part of their targets that first answer bytes take of late, from 0 to 1: what
    /// is late takes all of it.
    double pressure() const { return m_pressure; }
    /// @return what first answer bytes take, of late.
    base::duration delay() const { return m_delay; }

  private:
    struct waiting_request {
        base::monotonic_time sent_at{};
        base::duration target{};
        bool counted_late = false;
    };

    void look(base::monotonic_time now);
    void note(double part);

    shedder_tunables m_tunables;
    std::map<std::uint64_t, waiting_request> m_waiting;
    std::uint64_t m_last_number = 0;
    base::monotonic_time m_looked_at{};
    double m_pressure = 0;
    base::duration m_delay{};
};

}  // namespace ferryroad::core::admission
