/// @file
/// Load figures as they were a set time ago: engines report their load with a lag. Pure.
#pragma once

#include "ferryroad/base/time.hpp"

#include <cstdint>
#include <deque>

namespace ferryroad::emulator {

/// The figures of a load report that are reported with a lag.
struct load_figures {
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::uint64_t queued_prefill_tokens = 0;
    std::uint32_t cached_pieces = 0;
    friend bool operator==(const load_figures&, const load_figures&) = default;
};

/// Recent load figures, kept for as long as the lag requires. Not thread-safe.
class load_history {
  public:
    explicit load_history(base::duration lag) : lag_(lag) {}

    /// @param now must not be before that of an earlier call.
    void record(base::monotonic_time now, const load_figures& figures) {
        if (!samples_.empty() && samples_.back().figures == figures) {
            return;
        }
        samples_.push_back({now, figures});
        while (samples_.size() > 1 && samples_[1].at + lag_ <= now) {
            samples_.pop_front();
        }
    }

    /// @return the figures at `now` minus the lag; all zero before the first record.
    load_figures read(base::monotonic_time now) const {
        load_figures latest;
        for (const sample& candidate : samples_) {
            if (candidate.at + lag_ > now) {
                break;
            }
            latest = candidate.figures;
        }
        return latest;
    }

    void clear() { samples_.clear(); }
    base::duration lag() const { return lag_; }

  private:
    struct sample {
        base::monotonic_time at{};
        load_figures figures;
    };
    base::duration lag_;
    std::deque<sample> samples_;
};

}  // namespace ferryroad::emulator
