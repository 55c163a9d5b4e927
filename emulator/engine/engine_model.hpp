/// @file
/// An emulated model engine as a pure state machine: time is passed in, outputs come back.
/// The HTTP shell and the virtual-time simulator both run it.
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

/// One engine name and its successive processes. `now` never falls from call to call; each
/// call first does what was due before it. Refusals are `engine::error` with true proofs.
class engine_model {
  public:
    /// @param process incarnation of the first process, above 0.
    engine_model(engine_model_settings settings, base::incarnation process);
    engine_model(const engine_model&) = delete;
    engine_model& operator=(const engine_model&) = delete;

    /// Admits an attempt or refuses it. An attempt id that this process knows is refused with
    /// proof `unknown`: it did run, or will.
    outcome<attempt_handle> submit(const engine::generation_request& request,
                                   base::monotonic_time now);
    /// The same with the prompt's summary at hand; `request.prompt` is not read.
    outcome<attempt_handle> submit(const engine::generation_request& request,
                                   prompt_summary summary, base::monotonic_time now);
    /// Sends the attempt's events again from `first_token` on; replaces earlier outputs of it
    /// that were not taken yet.
    outcome<attempt_handle> resume(const base::attempt_id& attempt, std::uint32_t first_token,
                                   base::incarnation expected, base::monotonic_time now);
    /// Ends an attempt; unknown or ended ones are left alone.
    void cancel(const base::attempt_id& attempt, base::monotonic_time now);
    /// Nobody reads the attempt's events now: cancelled unless resumed in time.
    void detach(attempt_handle attempt, base::monotonic_time now);

    /// Does all that is due by `now`. @return the events since the last call, in order.
    std::vector<model_output> advance(base::monotonic_time now);
    /// @return when something next happens by itself (an output, an order done, an import
    /// done); nothing where it waits for calls only.
    std::optional<base::monotonic_time> next_wakeup() const;

    engine::load_report load(base::monotonic_time now);
    engine::cache_event_batch events_since(base::incarnation process, std::uint64_t from,
                                           base::monotonic_time now);
    /// @return when the next cache event is published, if one is on its way.
    std::optional<base::monotonic_time> next_event_publication(base::monotonic_time now) const;

    /// @return how many leading pieces are held now.
    std::uint32_t held_pieces(const core::prefix::cache_namespace& scope,
                              const core::prefix::piece_chain& pieces, base::monotonic_time now);
    /// @return the leading pieces held, or `not_found`.
    outcome<exported_state> export_state(const core::prefix::cache_namespace& scope,
                                         const core::prefix::piece_chain& pieces,
                                         base::monotonic_time now);
    /// Checks what came from `request.source`; the pieces are usable at the ticket's time.
    outcome<import_ticket> import_state(const engine::import_request& request,
                                        const exported_state& state, base::incarnation expected,
                                        base::monotonic_time now);

    /// Accepts a fenced order. Model loads begin once the admitted attempts have ended.
    outcome<void> order(const engine::engine_order& order, base::fencing_token token,
                        base::incarnation expected, base::monotonic_time now);

    /// All but the executions is lost; nothing is served until `restart`.
    void crash(base::monotonic_time now);
    /// @param process a higher incarnation than any before.
    void restart(base::incarnation process, base::monotonic_time now);

    // Faults and the planned stop.
    void set_leaving(bool leaving) { leaving_ = leaving; }
    void set_refuse_overloaded(bool refuse) { refuse_overloaded_ = refuse; }
    void set_slow_factor(double factor) { scheduler_.set_slow_factor(factor); }
    void freeze(base::monotonic_time now, base::duration length);
    /// Ends a freeze early.
    void thaw(base::monotonic_time now);
    void lose_events(std::uint32_t count) { journal_.lose_next(count); }

    const std::vector<execution_record>& executions() const { return executions_; }
    const execution_record& execution(attempt_handle attempt) const;
    base::incarnation process() const { return process_; }
    bool is_down() const { return down_; }
    bool leaving() const { return leaving_; }
    /// @return true where no attempt is queued or running.
    bool idle() const { return scheduler_.idle(); }
    const engine_model_settings& settings() const { return settings_; }

  private:
    /// An attempt of this process, kept until its resume window has passed.
    struct attempt_entry {
        std::optional<engine::stream_started> started;
        std::optional<engine::stream_end> ended;
        std::uint32_t next_token = 0;
        std::uint32_t end_token = 0;
        std::uint32_t emit_from = 0;  ///< Tokens before it are not sent.
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
    void forget_ended(base::monotonic_time at);
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

    std::deque<engine::load_model_order> model_orders_;  ///< The first is under way.
    std::optional<base::monotonic_time> model_ready_at_;
    std::vector<adapter_loading> adapter_loads_;
    std::vector<pending_import> imports_;

    std::unordered_map<attempt_handle, attempt_entry> attempts_;
    std::unordered_map<base::attempt_id, attempt_handle> known_attempts_;  ///< Of this process.
    std::vector<deadline> detached_;
    std::deque<deadline> ended_;  ///< Forgotten at these times.
    std::vector<execution_record> executions_;
    std::vector<model_output> outputs_;
};

}  // namespace ferryroad::emulator
