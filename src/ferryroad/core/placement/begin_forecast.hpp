/// @file
/// Forecast of the time until requests of a pool begin and end at its engines: upper bounds
/// learned from earlier requests. With them, a deadline for the start of a request is considered
/// when its engine is selected, instead of waiting until it has passed. A request begins with its
/// first event.
#pragma once

#include "ferryroad/base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace ferryroad::core::placement {

struct forecast_tunables {
    /// Initial estimate of an engine's prefill rate, in tokens per millisecond; as in placement.
    double prefill_tokens_per_ms = 35;
    /// Initial estimate of the time to begin beside prefill: network latency and the running batch.
    base::duration initial_begin = std::chrono::milliseconds(50);
    /// Initial estimate of the time per output token; that of large models.
    base::duration initial_token_time = std::chrono::milliseconds(20);
    /// Share of the requests that the bound should hold for.
    double target_share = 0.95;
    /// A request above the bound raises it by this share, so that ten in a row multiply it by nine.
    double rise_step = 0.25;
    /// An engine is given a stop time only if this many times the bound on the run time is left, so
    /// that an answer that began in time is not cut off.
    double run_margin = 2;
    /// Factor on the time to begin if only a withdrawal enforces the deadline. Some engines go on
    /// with a queued request after its connection was closed.
    double withdrawal_margin = 1.5;
    /// Limits of a bound as a multiple of the initial estimate.
    double min_factor = 0.2;
    double max_factor = 100;
};

/// Adaptive quantile of observed values, as a factor on the initial estimate of each. It follows an
/// increase within about ten values and a decrease within some hundred. Not thread-safe.
class adaptive_bound {
  public:
    /// @param ratio observed value as a multiple of its initial estimate, above 0.
    void record(double ratio, const forecast_tunables& tunables);
    double value() const { return m_value; }

  private:
    double m_value = 1;
};

/// Expected work of an engine for a request.
struct expected_work {
    /// Tokens that the engine has to prefill before the request begins, including its own prompt.
    std::uint64_t tokens_before = 0;
    std::uint64_t output_tokens = 0;  ///< Maximum number of tokens to generate.

    friend bool operator==(const expected_work&, const expected_work&) = default;
};

/// How a deadline for the start of a request is enforced at one engine.
struct begin_limit {
    base::monotonic_time begin_by{};  ///< A request that has not begun by then is withdrawn.
    /// The complete answer is expected by `begin_by`. The engine can then be given this time as its
    /// stop time, and does not begin later even if the withdrawal fails.
    bool ends_before = false;

    friend bool operator==(const begin_limit&, const begin_limit&) = default;
};

/// Forecast for one pool. Not thread-safe.
class begin_forecast {
  public:
    explicit begin_forecast(forecast_tunables tunables = {}) : m_tunables(tunables) {}

    /// Records that the first event of a request arrived `took` after it was sent, or that it had
    /// not arrived by then.
    void began(std::uint64_t tokens_before, base::duration took);
    /// Records that an answer ended `took` after its first event.
    void ended(std::uint64_t output_tokens, base::duration took);

    /// @return the upper bound on the time from sending a request to its first event.
    base::duration begins_within(std::uint64_t tokens_before) const;
    /// @return the upper bound on the time from the first event of an answer to its end.
    base::duration runs_within(std::uint64_t output_tokens) const;

    /// @param begin_by deadline for the start of the request.
    /// @return how to enforce the deadline; nothing if the request is not expected to begin in
    /// time, so that it should not be sent to the engine.
    std::optional<begin_limit> limit_for(const expected_work& work, base::monotonic_time begin_by,
                                         base::monotonic_time now) const;

  private:
    /// Each size class has its own bound, since short prompts wait for the running batch and long
    /// ones for their prefill.
    static std::size_t size_class(std::uint64_t tokens);
    /// @return the factor learned for the size class, or else for the neighbouring ones.
    double begin_factor(std::size_t size) const;
    base::duration initial_begin_estimate(std::uint64_t tokens_before) const;
    base::duration initial_run_estimate(std::uint64_t output_tokens) const;

    forecast_tunables m_tunables;
    std::map<std::size_t, adaptive_bound> m_begin_bounds;  ///< Keyed by size class.
    adaptive_bound m_run_bound;
};

}  // namespace ferryroad::core::placement
