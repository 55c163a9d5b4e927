/// @file
/// Continuous batching of the emulated engine: each step prefills a chunk, highest priority
/// first, and decodes one token of every sequence whose prefill is done. Performs no I/O and reads
/// no clock.
#pragma once

#include "emulator/engine/model_types.hpp"
#include "emulator/engine/prefix_cache.hpp"

#include <compare>
#include <functional>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace ferryroad::emulator {

/// What the scheduler needs to know of an admitted attempt.
struct sequence_request {
    attempt_handle attempt;
    engine::priority urgency = engine::priority::normal;
    core::prefix::cache_namespace scope;
    core::prefix::piece_chain pieces;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t first_token = 0;
    std::uint32_t end_token = 0;  ///< One past the last token of the answer.
};

/// Callbacks for the scheduler's progress, each with the simulated time of the event.
struct scheduler_observer {
    std::function<void(attempt_handle, std::uint32_t cached_pieces, base::monotonic_time)> started;
    std::function<void(attempt_handle, std::uint32_t index, base::monotonic_time)> token;
    std::function<void(attempt_handle, base::monotonic_time)> finished;
    std::function<void(base::monotonic_time)> stepped;  ///< After each step.
};

/// Current load of the scheduler.
struct scheduler_figures {
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::uint64_t queued_prefill_tokens = 0;
    friend bool operator==(const scheduler_figures&, const scheduler_figures&) = default;
};

/// Schedules sequences and stores their prompts' pieces in a prefix cache that it doesn't own.
/// Not thread-safe.
class batch_scheduler {
  public:
    /// @param settings and @p cache must outlive the scheduler.
    batch_scheduler(const engine_model_settings& settings, prefix_cache& cache,
                    scheduler_observer observer);

    /// Queues a sequence and begins a step if none is running.
    void add(sequence_request request, base::monotonic_time now);
    /// Removes the sequence. @return false if it has already ended.
    bool cancel(attempt_handle attempt);
    /// Ends the step that is due at `next_step()` and begins the next one if there is work.
    /// Requires a running step.
    void step();
    /// @return when the running step ends, or `nullopt` if none is running.
    std::optional<base::monotonic_time> next_step() const;
    /// Drops all sequences without calling the observer.
    void clear();

    /// Steps that begin from now on take `factor` times as long.
    void set_slow_factor(double factor) { slow_factor_ = factor; }
    /// Suspends all progress until `until`; the running step ends correspondingly later.
    void freeze(base::monotonic_time now, base::monotonic_time until);
    /// Ends a freeze early.
    void thaw(base::monotonic_time now);

    bool idle() const { return sequences_.empty(); }
    const scheduler_figures& figures() const { return figures_; }
    double prefill_tokens_per_second() const { return prefill_rate_; }
    double decode_seconds_per_token() const { return decode_seconds_; }

  private:
    /// Order of service: priority first, then arrival.
    struct queue_position {
        engine::priority urgency{};
        std::uint64_t arrival = 0;
        attempt_handle attempt;
        friend bool operator<(const queue_position& left, const queue_position& right) {
            return left.urgency != right.urgency ? left.urgency > right.urgency
                                                 : left.arrival < right.arrival;
        }
    };
    struct sequence {
        sequence_request request;
        queue_position position;
        bool started = false;
        std::uint32_t cached_pieces = 0;
        std::uint32_t pinned_pieces = 0;
        bool chain_broken =
            false;  ///< A piece didn't fit into the cache; the later ones are not stored.
        std::uint32_t prefill_total = 0;
        std::uint32_t prefilled = 0;
        std::uint32_t next_token = 0;
    };
    struct prefill_share {
        attempt_handle attempt;
        std::uint32_t tokens = 0;
    };
    struct running_step {
        base::monotonic_time ends_at{};
        std::vector<prefill_share> prefill;
        std::vector<attempt_handle> decode;
        std::uint32_t prefill_tokens = 0;
        double seconds = 0;
    };

    void begin_step(base::monotonic_time now);
    void plan_prefill(running_step& planned, base::monotonic_time now);
    /// @return the first sequence that needs prefill and isn't in `planned`.
    std::optional<queue_position> next_to_prefill(const std::set<queue_position>& planned) const;
    void start(sequence& started, base::monotonic_time now);
    void finish_prefill(const prefill_share& share, base::monotonic_time now);
    void store_pieces(sequence& filled);
    void decode_one(attempt_handle attempt, base::monotonic_time now);
    void end(attempt_handle attempt);
    void set_prefill_total(sequence& changed, std::uint32_t cached_pieces);
    void update_measured_rates(const running_step& ended);

    const engine_model_settings& settings_;
    prefix_cache& cache_;
    scheduler_observer observer_;
    std::uint32_t piece_tokens_;
    std::unordered_map<attempt_handle, sequence> sequences_;
    std::set<queue_position> waiting_;
    std::set<queue_position> prefilling_;
    std::set<queue_position> decoding_;
    std::optional<running_step> step_;
    std::uint64_t arrivals_ = 0;
    base::monotonic_time frozen_until_{};
    double slow_factor_ = 1.0;
    scheduler_figures figures_;
    double prefill_rate_;
    double decode_seconds_;
};

}  // namespace ferryroad::emulator
