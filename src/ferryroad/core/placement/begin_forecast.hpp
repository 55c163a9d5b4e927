/// @file
/// Within what time requests of a pool begin at its engines, and from then on end: upper bounds
/// that are learnt from those that did. With them a limit on when a request may begin is kept by
/// where it is sent, and not found out by waiting for it.
#pragma once

#include "ferryroad/base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace ferryroad::core::placement {

struct forecast_tunables {
    /// Tokens that an engine reads in a millisecond, before any was seen to; as in placement.
    double prefill_tokens_per_ms = 35;
    /// Beside reading: the way there, and the batch that runs. Before any request was seen.
    base::duration least_begin = std::chrono::milliseconds(50);
    /// From one token to the next, before any answer was seen: that of large models.
    base::duration token_time = std::chrono::milliseconds(20);
    /// Share of the requests that are to take no longer than the bound.
    double kept_share = 0.95;
    /// A request that took longer raises the bound by this share of it: ten of them in a row make
    /// it nine times as long.
    double rise = 0.25;
    /// An engine is told when to stop only where this many times the bound on the answer's time is
    /// left: what has begun in time is not to be cut.
    double run_margin = 2;
    /// Where only a withdrawal keeps the limit, the time to begin counts this many times: some
    /// engines go on with what waits there after its connection was closed.
    double withdrawn_margin = 1.5;
    /// How many times the first guess a bound may be.
    double least_factor = 0.2;
    double most_factor = 100;
};

/// A bound that a share of the values seen stays below, as a multiple of what was guessed for each.
/// It follows a rise within ten values, a fall within some hundred. Not thread-safe.
class bound_factor {
  public:
    /// @param taken as a multiple of the guess, above 0.
    void record(double taken, const forecast_tunables& tunables);
    double value() const { return m_value; }

  private:
    double m_value = 1;
};

/// What a request means for the engine that gets it.
struct expected_work {
    std::uint64_t tokens_before = 0;  ///< Read there until it begins, its own prompt's included.
    std::uint64_t output_tokens = 0;  ///< The most that it generates.

    friend bool operator==(const expected_work&, const expected_work&) = default;
};

/// How a limit on when a request may begin is kept at one engine.
struct begin_limit {
    base::monotonic_time begin_by{};  ///< What hasn't begun by then is withdrawn.
    /// Its whole answer is expected by then: the engine may be told to stop at that moment, and
    /// will then not begin later, whatever becomes of the withdrawal.
    bool ends_before = false;

    friend bool operator==(const begin_limit&, const begin_limit&) = default;
};

/// Of one pool. Not thread-safe.
class begin_forecast {
  public:
    explicit begin_forecast(forecast_tunables tunables = {}) : m_tunables(tunables) {}

    /// A request's first event came, or hadn't come, `took` after it was sent.
    void began(std::uint64_t tokens_before, base::duration took);
    /// An answer ended `took` after its first event.
    void ended(std::uint64_t output_tokens, base::duration took);

    /// @return within what time after it is sent a request is expected to begin.
    base::duration begins_within(std::uint64_t tokens_before) const;
    /// @return within what time after its first event its answer is expected to end.
    base::duration runs_within(std::uint64_t output_tokens) const;

    /// @param begin_by when the request must have begun.
    /// @return nothing where it is not expected to, so that the engine should not get it.
    std::optional<begin_limit> limit_for(const expected_work& work, base::monotonic_time begin_by,
                                         base::monotonic_time now) const;

  private:
    /// Short prompts wait for the batch, long ones for their reading: each size has its own bound.
    static std::size_t size_class(std::uint64_t tokens);
    /// @return what was learnt of the size, or of those next to it where nothing was.
    double begin_factor(std::size_t size) const;
    base::duration guessed_begin(std::uint64_t tokens_before) const;
    base::duration guessed_run(std::uint64_t output_tokens) const;

    forecast_tunables m_tunables;
    std::map<std::size_t, bound_factor> m_begins;  ///< By size class.
    bound_factor m_runs;
};

}  // namespace ferryroad::core::placement
