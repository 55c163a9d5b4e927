/// @file
/// Continuous batching of the emulated engine: each step prefills a chunk, highest priority
/// first, and decodes one token of every sequence whose prefill is done. Pure.
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

/// One admitted attempt, as the scheduler needs it.
struct sequence_request {
    attempt_handle attempt;
    engine::priority urgency = engine::priority::normal;
    core::prefix::cache_namespace scope;
    core::prefix::piece_chain pieces;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t first_token = 0;
    std::uint32_t end_token = 0;  ///< One past the last token of the answer.
};

/// What the scheduler tells of its steps, at the times they happened.
struct scheduler_observer {
    std::function<void(attempt_handle, std::uint32_t cached_pieces, base::monotonic_time)> started;
    std::function<void(attempt_handle, std::uint32_t index, base::monotonic_time)> token;
    std::function<void(attempt_handle, base::monotonic_time)> finished;
    std::function<void(base::monotonic_time)> stepped;  ///< After each step.
};

struct scheduler_figures {
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::uint64_t queued_prefill_tokens = 0;
    friend bool operator==(const scheduler_figures&, const scheduler_figures&) = default;
};

/// Runs sequences through a prefix cache that it borrows.
class batch_scheduler {
  public:
    /// @param settings and `cache` outlive the scheduler.
    batch_scheduler(const engine_model_settings& settings, prefix_cache& cache,
                    scheduler_observer observer);

    /// Queues a sequence; a step begins at once where none is under way.
    void add(sequence_request request, base::monotonic_time now);
    /// @return false where it has ended before.
    bool cancel(attempt_handle attempt);
    /// Ends the step that is due at `next_step()` and begins another where there is work.
    void step();
    /// @return when the step under way ends.
    std::optional<base::monotonic_time> next_step() const;
    /// Drops all sequences, telling no one.
    void clear();

    /// Steps that begin from now on take `factor` times as long.
    void set_slow_factor(double factor) { slow_factor_ = factor; }
    /// Nothing happens until then.
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
        bool chain_broken = false;  ///< A piece found no room: later ones are not stored.
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
    std::optional<queue_position> next_to_prefill(const std::set<queue_position>& passed) const;
    void start(sequence& started, base::monotonic_time now);
    void finish_prefill(const prefill_share& share, base::monotonic_time now);
    void store_pieces(sequence& filled);
    void decode_one(attempt_handle attempt, base::monotonic_time now);
    void end(attempt_handle attempt);
    void set_prefill_total(sequence& changed, std::uint32_t cached_pieces);
    void measure(const running_step& ended);

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
