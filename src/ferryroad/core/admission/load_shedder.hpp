/// @file
/// Load shedding for a pool: refuses a share of the requests while its engines answer slowly.
/// Without it, an overloaded first-come-first-served queue answers no request in time. The share
/// is derived from the observed latency relative to its target, so that the capacity of the
/// engines need not be known.
#pragma once

#include "ferryroad/base/time.hpp"

#include <cstdint>
#include <map>

namespace ferryroad::core::admission {

/// Design note 0058 compares settings of these values.
struct shedder_tunables {
    /// Weight of the newest request in `pressure`. A router sees about ten requests per second.
    double newest_weight = 0.1;
    /// Pressure up to which nothing is refused. Prefill of long prompts takes this fraction of the
    /// target even at an idle engine.
    double tolerated_pressure = 0.45;
    /// Increase of the refused share per unit of pressure above `tolerated_pressure`.
    double refused_share_slope = 2.5;
    /// Upper limit of the refused share, so that a pool whose engines are all slow still gets
    /// requests that show when it recovers.
    double max_refused_share = 0.7;
    /// Weight of the newest answer in `delay`.
    double delay_weight = 0.1;
    /// After a longer interval between two calls this process may have been suspended. Requests
    /// that were outstanding meanwhile are not counted against the engines.
    base::duration max_call_interval = std::chrono::seconds(1);
};

/// State for one pool at one router. Does no I/O and reads no clock. Not thread-safe.
class load_shedder {
  public:
    explicit load_shedder(shedder_tunables tunables = {}) : m_tunables(tunables) {}

    /// Records that a request was sent.
    /// @param target time after which its first answer bytes are late; longer than zero.
    /// @return the request's number, for `answered` and `ended`.
    std::uint64_t sent(base::duration target, base::monotonic_time now);
    /// Records that the first answer bytes of a request arrived. Unknown numbers are ignored.
    void answered(std::uint64_t number, base::monotonic_time now);
    /// Records that a request ended without answer bytes. It counts only if it was late by then.
    void ended(std::uint64_t number, base::monotonic_time now);

    /// Forgets all requests and delays, as something other than the engines' load caused them.
    void forget();

    /// @param draw random number of the request, from 0 to 1.
    /// @return whether to refuse the request.
    bool refuses(double draw, base::monotonic_time now);
    /// @return the share of requests to refuse at present, from 0 to 1.
    double refused_share() const;
    /// @return the moving average of the time to the first answer bytes as a fraction of the
    /// target, from 0 to 1. A late request counts as 1.
    double pressure() const { return m_pressure; }
    /// @return the moving average of the time to the first answer bytes.
    base::duration delay() const { return m_delay; }

  private:
    struct outstanding_request {
        base::monotonic_time sent_at{};
        base::duration target{};
        bool counted_late = false;
    };

    /// Counts outstanding requests whose target has passed as late at once, instead of waiting for
    /// their answers.
    void count_late(base::monotonic_time now);
    /// Adds a sample to the pressure.
    void add_sample(double fraction);

    shedder_tunables m_tunables;
    std::map<std::uint64_t, outstanding_request> m_outstanding;
    std::uint64_t m_last_number = 0;
    base::monotonic_time m_last_call{};
    double m_pressure = 0;
    base::duration m_delay{};
};

}  // namespace ferryroad::core::admission
