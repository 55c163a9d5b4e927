/// @file
/// Decides how many engines of a model load new weights at once: few, because engines serve nothing
/// while they load and load slower next to each other; more if the remaining engines would
/// otherwise be late.
#pragma once

#include "ferryroad/base/time.hpp"

#include <cstddef>

namespace ferryroad::coordination::rollout {

/// Settings of `rollout_pace`.
struct pace_tunables {
    /// Share of a model's engines that load at once while there is enough time. With a third at
    /// once, each engine took three times as long as with a sixth.
    double usual_share = 0.17;
    /// The same share if the remaining engines would be late.
    double max_share = 0.34;
    /// Estimate of the time from an order to the engine's report that it is done, used before the
    /// first measurement.
    base::duration first_estimate = std::chrono::milliseconds(900);
    /// Weight of the newest measurement in the estimate.
    double newest_weight = 0.3;
};

/// Paces the rollout by measured load times. Not thread-safe.
class rollout_pace {
  public:
    explicit rollout_pace(pace_tunables tunables = {})
        : m_tunables(tunables), m_load_time(tunables.first_estimate) {}

    /// An engine loaded new weights within `took` of its order.
    void loaded(base::duration took);
    /// @return the expected time of a load.
    base::duration load_time() const { return m_load_time; }

    /// @param total number of engines of the model.
    /// @param waiting number of engines still to be ordered.
    /// @param left time until the last of these must have been ordered; may be negative.
    /// @return how many may load at once, at least 1.
    std::size_t allowed(std::size_t total, std::size_t waiting, base::duration left) const;
    /// @return whether the waiting engines would be ordered too late at the usual share.
    bool is_behind_schedule(std::size_t total, std::size_t waiting, base::duration left) const;
    /// @param total number of engines of the model.
    /// @return the maximum number that may load at once, at least 1.
    std::size_t max_loading(std::size_t total) const;
    /// Engines whose orders got no answer may all start to load at the same moment. The share of
    /// engines that may do so grows as time runs out, because an engine without an order can't
    /// serve beyond that time anyway.
    /// @param elapsed_share elapsed fraction of the time allowed for orders; 0 when the weights are
    /// named.
    /// @return how many of the model's engines may be loading or about to load, at least 1.
    std::size_t max_exposed(std::size_t total, double elapsed_share) const;

  private:
    double usual_count(std::size_t total) const;
    double needed(std::size_t waiting, base::duration left) const;

    pace_tunables m_tunables;
    base::duration m_load_time;
};

}  // namespace ferryroad::coordination::rollout
