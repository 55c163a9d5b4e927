#include "ferryroad/core/placement/begin_forecast.hpp"

#include <algorithm>
#include <bit>
#include <cmath>
#include <iterator>

namespace ferryroad::core::placement {

void adaptive_bound::record(double ratio, const forecast_tunables& tunables) {
    // The steps up and down cancel out if the target share of the values is below the bound.
    const double rise = 1 + tunables.rise_step;
    const double fall = std::pow(rise, (1 - tunables.target_share) / tunables.target_share);
    const double next = ratio > m_value ? m_value * rise : m_value / fall;
    m_value = std::clamp(next, tunables.min_factor, tunables.max_factor);
}

std::size_t begin_forecast::size_class(std::uint64_t tokens) {
    // Below 256 tokens the running batch determines the time to begin, not the prefill.
    constexpr std::uint64_t smallest = 256;
    return std::bit_width(std::max(tokens, smallest));
}

base::duration begin_forecast::initial_begin_estimate(std::uint64_t tokens_before) const {
    const double prefill_ms = static_cast<double>(tokens_before) / m_tunables.prefill_tokens_per_ms;
    return m_tunables.initial_begin + base::from_seconds(prefill_ms / 1000);
}

base::duration begin_forecast::initial_run_estimate(std::uint64_t output_tokens) const {
    const auto tokens = static_cast<double>(std::max<std::uint64_t>(1, output_tokens));
    return base::from_seconds(base::to_seconds(m_tunables.initial_token_time) * tokens);
}

void begin_forecast::began(std::uint64_t tokens_before, base::duration took) {
    const double estimate = base::to_seconds(initial_begin_estimate(tokens_before));
    m_begin_bounds[size_class(tokens_before)].record(base::to_seconds(took) / estimate, m_tunables);
}

void begin_forecast::ended(std::uint64_t output_tokens, base::duration took) {
    const double estimate = base::to_seconds(initial_run_estimate(output_tokens));
    m_run_bound.record(base::to_seconds(took) / estimate, m_tunables);
}

double begin_forecast::begin_factor(std::size_t size) const {
    const auto above = m_begin_bounds.lower_bound(size);
    if (above == m_begin_bounds.end()) {
        return m_begin_bounds.empty() ? 1 : std::prev(above)->second.value();
    }
    if (above->first == size || above == m_begin_bounds.begin()) {
        return above->second.value();
    }
    // Without samples of its own, a class takes the larger factor of its neighbours.
    return std::max(above->second.value(), std::prev(above)->second.value());
}

base::duration begin_forecast::begins_within(std::uint64_t tokens_before) const {
    const double estimate = base::to_seconds(initial_begin_estimate(tokens_before));
    return base::from_seconds(estimate * begin_factor(size_class(tokens_before)));
}

base::duration begin_forecast::runs_within(std::uint64_t output_tokens) const {
    return base::from_seconds(base::to_seconds(initial_run_estimate(output_tokens)) *
                              m_run_bound.value());
}

std::optional<begin_limit> begin_forecast::limit_for(const expected_work& work,
                                                     base::monotonic_time begin_by,
                                                     base::monotonic_time now) const {
    const base::duration begins = begins_within(work.tokens_before);
    const base::duration left = begin_by - now;
    const double runs = base::to_seconds(runs_within(work.output_tokens)) * m_tunables.run_margin;
    if (begins + base::from_seconds(runs) <= left) {
        return begin_limit{begin_by, true};
    }
    const double cautious_begin = base::to_seconds(begins) * m_tunables.withdrawal_margin;
    if (base::from_seconds(cautious_begin) <= left) {
        return begin_limit{begin_by, false};
    }
    return std::nullopt;
}

}  // namespace ferryroad::core::placement
