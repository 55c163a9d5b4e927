/// @file
/// How long to wait for the answer of another router. Routers differ in distance and speed, so the
/// time is estimated for each router from its answers, as TCP estimates its retransmission timeout
/// (RFC 6298).
#pragma once

#include "ferryroad/base/ids.hpp"
#include "ferryroad/base/time.hpp"

#include <map>
#include <vector>

namespace ferryroad::coordination::quota {

/// A router that is asked, and whether it is in another region than the one that asks.
struct asked_router {
    base::router_name name;
    bool in_other_region = false;

    friend bool operator==(const asked_router&, const asked_router&) = default;
};

struct answer_time_tunables {
    /// An answer is waited for this much longer than it is expected to take, at least: several
    /// round trips between zones.
    base::duration least_margin = std::chrono::milliseconds(40);
    /// Timeout for a router of another region until its first answer. A round trip to the far side
    /// of the earth takes as long.
    base::duration unmeasured_region = std::chrono::milliseconds(200);
    /// Longest timeout: a small part of the time that callers wait.
    base::duration longest = std::chrono::milliseconds(400);
    /// Weight of a new answer in the mean time, and in the mean deviation from it.
    double time_weight = 1.0 / 8;
    double deviation_weight = 1.0 / 4;
    /// Mean deviations beyond the mean time until an answer counts as missing.
    double deviations = 4;
};

/// Pure: depends only on the recorded answers. Not thread-safe.
class answer_times {
  public:
    explicit answer_times(answer_time_tunables tunables = {}) : m_tunables(tunables) {}

    /// Replaces the list of routers. What is known of those that remain is kept.
    void set_routers(const std::vector<asked_router>& present);
    /// Records an answer, also one that came after its timeout: the next ones may take as long.
    /// @param took since the question was sent.
    void record(const base::router_name& router, base::duration took);
    /// @return how long to wait for an answer of the router.
    base::duration timeout(const base::router_name& router) const;

  private:
    struct estimate {
        bool in_other_region = false;
        bool measured = false;
        double seconds = 0;    ///< Mean time of an answer.
        double deviation = 0;  ///< Mean deviation from it, in seconds.
    };

    answer_time_tunables m_tunables;
    std::map<base::router_name, estimate> m_estimates;
};

}  // namespace ferryroad::coordination::quota
