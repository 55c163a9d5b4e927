/// @file
/// Choice by fixed weights, and by Zipf's law.
#pragma once

#include "ferryroad/base/random.hpp"

#include <cstddef>
#include <vector>

namespace ferryroad::bench::workload {

/// Draws an index in proportion to its weight.
class weighted_choice {
  public:
    /// @param weights none negative, the sum above 0.
    explicit weighted_choice(const std::vector<double>& weights);

    std::size_t draw(base::random_source& random) const;

  private:
    std::vector<double> cumulative_;
};

/// @return weights of ranks 1 to `count`: 1 / rank^exponent.
std::vector<double> zipf_weights(std::size_t count, double exponent);

}  // namespace ferryroad::bench::workload
