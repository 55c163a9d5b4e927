/// @file
/// The figures of one run, from real processes or from virtual time.
#pragma once

#include "bench/measure/distribution.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace ferryroad::bench::measure {

/// Tokens of prompts over all attempts that an engine began.
struct prompt_tokens {
    std::uint64_t total = 0;      ///< In whole pieces, the only ones that caches hold.
    std::uint64_t cached = 0;     ///< Of these, needed no prefill.
    std::uint64_t avoidable = 0;  ///< Recomputed although some live engine held them.
};

struct summary {
    std::string label;  ///< For example the policy.
    std::uint64_t requests = 0;
    std::uint64_t complete = 0;
    std::uint64_t cut = 0;     ///< Connection lost before the end, or an answer past the limit.
    std::uint64_t failed = 0;  ///< Streams that ended with an error event.
    std::uint64_t wrong = 0;   ///< Answers other than the one right answer.
    /// Refusals by the error's code.
    std::map<std::string, std::uint64_t> refused;
    double seconds = 0;  ///< From the first request to the last answer.
    prompt_tokens tokens;
    distribution first_token;  ///< Generations that streamed.
    distribution token_gap;    ///< Between a stream's tokens.

    std::uint64_t refused_count() const;
    /// @return share of the prompts' tokens that needed no prefill, 0 to 1.
    double hit_rate() const;
    /// @return share of the prompts' tokens that were recomputed although held, 0 to 1.
    double wasted_share() const;
    double requests_per_second() const;
};

}  // namespace ferryroad::bench::measure
