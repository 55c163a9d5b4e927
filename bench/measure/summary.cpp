#include "bench/measure/summary.hpp"

namespace ferryroad::bench::measure {

namespace {

double share(double part, double whole) {
    return whole > 0 ? part / whole : 0;
}

}  // namespace

std::uint64_t summary::refused_count() const {
    std::uint64_t count = 0;
    for (const auto& [code, refusals] : refused) {
        count += refusals;
    }
    return count;
}

double summary::hit_rate() const {
    return share(static_cast<double>(tokens.cached), static_cast<double>(tokens.total));
}

double summary::wasted_share() const {
    return share(static_cast<double>(tokens.avoidable), static_cast<double>(tokens.total));
}

double summary::requests_per_second() const {
    return share(static_cast<double>(requests), seconds);
}

}  // namespace ferryroad::bench::measure
