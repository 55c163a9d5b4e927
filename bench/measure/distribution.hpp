/// @file
/// A distribution of times: exact quantiles, and bins for plots (Boost.Histogram inside).
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace ferryroad::bench::measure {

/// One bin of a histogram, in seconds.
struct bin {
    double from = 0;
    double to = 0;
    std::uint64_t count = 0;
};

/// Collects samples in seconds. Quantiles are exact; bins rise by a constant factor.
class distribution {
  public:
    /// @param seconds not negative.
    void add(double seconds) { samples_.push_back(seconds); }
    void add_all(const distribution& other);

    std::size_t count() const { return samples_.size(); }
    const std::vector<double>& samples() const { return samples_; }
    /// @param share from 0 to 1. @return the nearest-rank quantile; 0 without samples.
    double quantile(double share) const;
    double mean() const;
    /// @return the bins from the first to the last that holds a sample.
    std::vector<bin> bins() const;

  private:
    std::vector<double> samples_;
};

}  // namespace ferryroad::bench::measure
