/// @file
/// How many engines of a model take new weights at once: few, because they serve nothing
/// meanwhile and load slower beside one another; more where the rest would come too late.
#pragma once

#include "ferryroad/base/time.hpp"

#include <cstddef>

namespace ferryroad::coordination::rollout {

struct pace_tunables {
    /// Share of a model's engines that load at once where time allows. Measured: a third at
    /// once took each engine three times as long as a sixth.
    double usual_share = 0.17;
    /// The same where the rest would come too late.
    double most_share = 0.34;
    /// From an order to the engine's word that it is carried out, before any was measured.
    base::duration first_estimate = std::chrono::milliseconds(900);
    /// Weight of the newest measurement in the estimate.
    double newest_weight = 0.3;
};

/// Not thread-safe.
class rollout_pace {
  public:
    explicit rollout_pace(pace_tunables tunables = {})
        : m_tunables(tunables), m_load_time(tunables.first_estimate) {}

    /// An engine took new weights within `took` of its order.
    void loaded(base::duration took);
    /// @return the time that a load is expected to take.
    base::duration load_time() const { return m_load_time; }

    /// @param total engines of the model. @param waiting those still to be ordered.
    /// @param left until the last of these must have been ordered, may be negative.
    /// @return how many may load at once, at least 1.
    std::size_t allowed(std::size_t total, std::size_t waiting, base::duration left) const;
    /// @return whether those waiting would be ordered too late at the usual share.
    bool hurries(std::size_t total, std::size_t waiting, base::duration left) const;
    /// @param total engines of the model. @return how many may load at once at the most, at
    /// least 1.
    std::size_t most(std::size_t total) const;
    /// Engines whose order got no answer may all begin to load at the same moment. Their share
    /// grows as time runs out: an engine without an order serves no longer than that lasts anyway.
    /// @param elapsed_share of the time to order, that is over: 0 at the naming.
    /// @return how many of the model's engines may load or be about to, at least 1.
    std::size_t most_exposed(std::size_t total, double elapsed_share) const;

  private:
    double usual(std::size_t total) const;
    double needed(std::size_t waiting, base::duration left) const;

    pace_tunables m_tunables;
    base::duration m_load_time;
};

}  // namespace ferryroad::coordination::rollout
