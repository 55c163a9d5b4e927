#include "bench/measure/distribution.hpp"

#include <boost/histogram.hpp>

#include <algorithm>
#include <cmath>
#include <numeric>

namespace ferryroad::bench::measure {

namespace {

namespace histogram = boost::histogram;

constexpr unsigned bin_count = 70;  // Ten a decade.
constexpr double least_seconds = 1e-4;
constexpr double most_seconds = 1e3;

}  // namespace

void distribution::add_all(const distribution& other) {
    samples_.insert(samples_.end(), other.samples_.begin(), other.samples_.end());
}

double distribution::quantile(double share) const {
    if (samples_.empty()) {
        return 0;
    }
    std::vector<double> ordered = samples_;
    const double rank = std::ceil(share * static_cast<double>(ordered.size()));
    const auto index = static_cast<std::size_t>(std::max(rank, 1.0)) - 1;
    const auto place = ordered.begin() + static_cast<std::ptrdiff_t>(index);
    std::nth_element(ordered.begin(), place, ordered.end());
    return *place;
}

double distribution::mean() const {
    if (samples_.empty()) {
        return 0;
    }
    const double sum = std::accumulate(samples_.begin(), samples_.end(), 0.0);
    return sum / static_cast<double>(samples_.size());
}

std::vector<bin> distribution::bins() const {
    using logarithmic = histogram::axis::regular<double, histogram::axis::transform::log>;
    auto counts = histogram::make_histogram(logarithmic(bin_count, least_seconds, most_seconds));
    for (const double sample : samples_) {
        // Samples beyond the axis count in its outermost bins.
        counts(std::clamp(sample, least_seconds, most_seconds * 0.999));
    }
    std::vector<bin> found;
    for (auto&& cell : histogram::indexed(counts)) {
        found.push_back(
            {cell.bin().lower(), cell.bin().upper(), static_cast<std::uint64_t>(*cell)});
    }
    const auto filled = [](const bin& entry) { return entry.count > 0; };
    const auto last = std::find_if(found.rbegin(), found.rend(), filled).base();
    found.erase(last, found.end());
    found.erase(found.begin(), std::find_if(found.begin(), found.end(), filled));
    return found;
}

}  // namespace ferryroad::bench::measure
