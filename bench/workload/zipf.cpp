#include "bench/workload/zipf.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace ferryroad::bench::workload {

weighted_choice::weighted_choice(const std::vector<double>& weights) : cumulative_(weights.size()) {
    std::partial_sum(weights.begin(), weights.end(), cumulative_.begin());
}

std::size_t weighted_choice::draw(base::random_source& random) const {
    const double point = random.unit() * cumulative_.back();
    const auto found = std::upper_bound(cumulative_.begin(), cumulative_.end(), point);
    const auto index = static_cast<std::size_t>(found - cumulative_.begin());
    return std::min(index, cumulative_.size() - 1);
}

std::vector<double> zipf_weights(std::size_t count, double exponent) {
    std::vector<double> weights(count);
    for (std::size_t index = 0; index < count; ++index) {
        weights[index] = 1.0 / std::pow(static_cast<double>(index + 1), exponent);
    }
    return weights;
}

}  // namespace ferryroad::bench::workload
