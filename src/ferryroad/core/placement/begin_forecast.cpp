#include "ferryroad/core/placement/begin_forecast.hpp"

#include <algorithm>
#include <bit>
#include <cmath>
#include <iterator>

namespace ferryroad::core::placement {

void bound_factor::record(double taken, const forecast_tunables& tunables) {
    // One rise for every so many falls holds the bound where the share to be kept is below it.
    const double rise = 1 + tunables.rise;
    const double fall = std::pow(rise, (1 - tunables.kept_share) / tunables.kept_share);
    const double next = taken > m_value ? m_value * rise : m_value / fall;
    m_value = std::clamp(next, tunables.least_factor, tunables.most_factor);
}

std::size_t begin_forecast::size_class(std::uint64_t tokens) {
    // Below 256 tokens the batch that runs decides, not the reading.
    constexpr std::uint64_t smallest = 256;
    return std::bit_width(std::max(tokens, smallest));
}

base::duration begin_forecast::guessed_begin(std::uint64_t tokens_before) const {
    const double reading_ms = static_cast<double>(tokens_before) / m_tunables.prefill_tokens_per_ms;
    return m_tunables.least_begin + base::from_seconds(reading_ms / 1000);
}

base::duration begin_forecast::guessed_run(std::uint64_t output_tokens) const {
    const auto tokens = static_cast<double>(std::max<std::uint64_t>(1, output_tokens));
    return base::from_seconds(base::to_seconds(m_tunables.token_time) * tokens);
}

void begin_forecast::began(std::uint64_t tokens_before, base::duration took) {
    const double guessed = base::to_seconds(guessed_begin(tokens_before));
    m_begins[size_class(tokens_before)].record(base::to_seconds(took) / guessed, m_tunables);
}

void begin_forecast::ended(std::uint64_t output_tokens, base::duration took) {
    const double guessed = base::to_seconds(guessed_run(output_tokens));
    m_runs.record(base::to_seconds(took) / guessed, m_tunables);
}

double begin_forecast::begin_factor(std::size_t size) const {
    const auto above = m_begins.lower_bound(size);
    if (above == m_begins.end()) {
        return m_begins.empty() ? 1 : std::prev(above)->second.value();
    }
    if (above->first == size || above == m_begins.begin()) {
        return above->second.value();
    }
    // What is slow for smaller and for larger prompts is so for those between.
    return std::max(above->second.value(), std::prev(above)->second.value());
}

base::duration begin_forecast::begins_within(std::uint64_t tokens_before) const {
    const double guessed = base::to_seconds(guessed_begin(tokens_before));
    return base::from_seconds(guessed * begin_factor(size_class(tokens_before)));
}

base::duration begin_forecast::runs_within(std::uint64_t output_tokens) const {
    return base::from_seconds(base::to_seconds(guessed_run(output_tokens)) * m_runs.value());
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
    const double careful = base::to_seconds(begins) * m_tunables.withdrawn_margin;
    if (base::from_seconds(careful) <= left) {
        return begin_limit{begin_by, false};
    }
    return std::nullopt;
}

}  // namespace ferryroad::core::placement
