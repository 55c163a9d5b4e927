/// @file
/// Model of a model engine as a state machine without I/O: time is passed in and events are
/// returned. The HTTP server and the virtual-time simulator both run it.
#pragma once

#include "emulator/engine/batch_scheduler.hpp"
#include "emulator/engine/event_journal.hpp"
#include "emulator/engine/load_history.hpp"
#include "emulator/engine/model_types.hpp"
#include "emulator/engine/prefix_cache.hpp"

#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

namespace ferryroad::emulator {

/// One engine across the restarts of its process. `now` must not decrease from call to call; each
/// call first runs everything that was due by then. A refusal's `proves` is always correct about
/// whether the attempt ran. Not thread-safe.
class engine_model {
  public:
    /// @param process incarnation of the first process; must be above 0.
    engine_model(engine_model_settings settings, base::incarnation process);
    engine_model(const engine_model&) = delete;
    engine_model& operator=(const engine_model&) = delete;

    /// Admits an attempt or refuses it. An attempt id that this process has already admitted is
    /// refused with proof `unknown`, since that attempt has run or will run.
    outcome<attempt_handle> submit(const engine::generation_request& request,
                                   base::monotonic_time now);
    /// As above with a precomputed prompt summary; `request.prompt` is not read.
    outcome<attempt_handle> submit(const engine::generation_request& request,
                                   prompt_summary summary, base::monotonic_time now);
    /// Sends the attempt's events again from `first_token` on, instead of those of its events that
    /// `advance` has not returned yet.
    outcome<attempt_handle> resume(const base::attempt_id& attempt, std::uint32_t first_token,
                                   base::incarnation expected, base::monotonic_time now);
    /// Cancels an attempt. Does nothing if it is unknown or has ended.
    void cancel(const base::attempt_id& attempt, base::monotonic_time now);
    /// Notes that the attempt has no reader. It is cancelled unless it is resumed within
    /// `engine_model_settings::detached_limit`.
    void detach(attempt_handle attempt, base::monotonic_time now);

    /// Runs everything that is due by `now`. @return the events since the last call, in order.
    std::vector<model_output> advance(base::monotonic_time now);
    /// @return when `advance` next has something to do (an event, a finished order or import), or
    /// `nullopt` if only a further call can cause that.
    std::optional<base::monotonic_time> next_wakeup() const;

    /// @return the load report, whose figures lag by `engine_model_settings::load_lag`.
    engine::load_report load(base::monotonic_time now);
    /// @return the published cache events of the process, from sequence number `from` on.
    engine::cache_event_batch events_since(base::incarnation process, std::uint64_t from,
                                           base::monotonic_time now);
    /// @return when the next unpublished cache event will be published, or `nullopt` if there is
    /// none.
    std::optional<base::monotonic_time> next_event_publication(base::monotonic_time now) const;

    /// @return the number of leading pieces that are cached now.
    std::uint32_t held_pieces(const core::prefix::cache_namespace& scope,
                              const core::prefix::piece_chain& pieces, base::monotonic_time now);
    /// @return the leading pieces that are cached, or `not_found` if there are none.
    outcome<exported_state> export_state(const core::prefix::cache_namespace& scope,
                                         const core::prefix::piece_chain& pieces,
                                         base::monotonic_time now);
    /// Checks the state fetched from `request.source` and accepts it. Its pieces become usable at
    /// the ticket's `ready_at`.
    outcome<import_ticket> import_state(const engine::import_request& request,
                                        const exported_state& state, base::incarnation expected,
                                        base::monotonic_time now);

    /// Accepts an order unless a higher fencing token was seen or `expected` is not the current
    /// incarnation. Model loads begin once the admitted attempts have ended.
    outcome<void> order(const engine::engine_order& order, base::fencing_token token,
                        base::incarnation expected, base::monotonic_time now);

    /// Discards all state but the execution records; the engine is down until `restart`.
    void crash(base::monotonic_time now);
    /// Starts a new process. @param process must be higher than all earlier incarnations.
    void restart(base::incarnation process, base::monotonic_time now);

    // Faults and graceful shutdown.
    void set_leaving(bool leaving) { leaving_ = leaving; }
    void set_refuse_overloaded(bool refuse) { refuse_overloaded_ = refuse; }
    void set_slow_factor(double factor) { scheduler_.set_slow_factor(factor); }
    /// Suspends all progress for `length`.
    void freeze(base::monotonic_time now, base::duration length);
    /// Ends a freeze early.
    void thaw(base::monotonic_time now);
    /// The next `count` cache events are lost.
    void lose_events(std::uint32_t count) { journal_.lose_next(count); }

    const std::vector<execution_record>& executions() const { return executions_; }
    const execution_record& execution(attempt_handle attempt) const;
    base::incarnation process() const { return process_; }
    bool is_down() const { return down_; }
    bool leaving() const { return leaving_; }
    /// @return whether no attempt is queued or running.
    bool idle() const { return scheduler_.idle(); }
    const engine_model_settings& settings() const { return settings_; }

  private:
    /// An attempt of the current process, kept until its resume window has passed.
    struct attempt_entry {
        std::optional<engine::stream_started> started;
        std::optional<engine::stream_end> ended;
        std::uint32_t next_token = 0;
        std::uint32_t end_token = 0;
        std::uint32_t emit_from = 0;  ///< Tokens before this one are not sent.
    };
    struct deadline {
        base::monotonic_time at{};
        attempt_handle attempt;
    };
    struct pending_import {
        base::monotonic_time ready_at{};
        core::prefix::cache_namespace scope;
        core::prefix::piece_chain pieces;
    };
    struct adapter_loading {
        base::monotonic_time ready_at{};
        base::adapter_name adapter;
    };

    scheduler_observer observe_scheduler();
    void on_started(attempt_handle attempt, std::uint32_t cached, base::monotonic_time at);
    void on_token(attempt_handle attempt, std::uint32_t index, base::monotonic_time at);
    void on_finished(attempt_handle attempt, base::monotonic_time at);
    void publish(base::monotonic_time at);

    std::optional<engine::error> check_admission(const engine::generation_request& request,
                                                 const prompt_summary& summary) const;
    std::optional<engine::error> check_capacity() const;
    std::optional<engine::error> check_process(base::incarnation expected) const;
    bool serves(const core::prefix::cache_namespace& scope) const;
    std::uint32_t end_token_of(std::uint32_t max_tokens) const;
    attempt_handle admit(const engine::generation_request& request, prompt_summary summary,
                         base::monotonic_time now);
    void end_attempt(attempt_handle attempt, engine::finish_reason reason, execution_state state,
                     base::monotonic_time at);
    void cancel_attempt(attempt_handle attempt, base::monotonic_time at);
    void replay(attempt_handle attempt, attempt_entry& entry, base::monotonic_time now);

    void run(base::monotonic_time now);
    void run_due(base::monotonic_time at);
    void finish_imports(base::monotonic_time at);
    void finish_orders(base::monotonic_time at);
    void begin_model_load(base::monotonic_time at);
    void cancel_detached(base::monotonic_time at);
    void drop_ended(base::monotonic_time at);
    engine::load_report report(base::monotonic_time at) const;
    std::size_t record_index(attempt_handle attempt) const { return attempt.value - 1; }

    const engine_model_settings settings_;
    base::incarnation process_;
    bool down_ = false;
    bool leaving_ = false;
    bool refuse_overloaded_ = false;
    engine::engine_role role_ = engine::engine_role::general;
    base::model_name model_;
    base::weights_version version_;
    std::vector<base::adapter_name> adapters_;
    base::fencing_token highest_token_;

    prefix_cache cache_;
    event_journal journal_;
    load_history history_;
    batch_scheduler scheduler_;

    std::deque<engine::load_model_order> model_orders_;  ///< The first one is being executed.
    std::optional<base::monotonic_time> model_ready_at_;
    std::vector<adapter_loading> adapter_loads_;
    std::vector<pending_import> imports_;

    std::unordered_map<attempt_handle, attempt_entry> attempts_;
    std::unordered_map<base::attempt_id, attempt_handle>
        known_attempts_;  ///< Admitted by the current process.
    std::vector<deadline> detached_;
    std::deque<deadline> ended_;  ///< Ended attempts, with the times at which they are dropped.
    std::vector<execution_record> executions_;
    std::vector<model_output> outputs_;
};

}  // namespace ferryroad::emulator
