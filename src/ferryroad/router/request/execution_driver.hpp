/// @file
/// Performs the actions that the execution state machine requests and feeds their results back
/// to it as events.
#pragma once

#include "ferryroad/core/admission/retry_budget.hpp"
#include "ferryroad/core/execution/request_execution.hpp"
#include "ferryroad/engine/client.hpp"
#include "ferryroad/router/claim_registry.hpp"
#include "ferryroad/router/engine_directory.hpp"
#include "ferryroad/router/engine_selector.hpp"
#include "ferryroad/router/request/background_work.hpp"
#include "ferryroad/router/request/call_resolution.hpp"
#include "ferryroad/router/request/request_observer.hpp"
#include "ferryroad/router/request/tunables.hpp"
#include "ferryroad/router/request_types.hpp"
#include "ferryroad/runtime/scheduler.hpp"

#include <boost/asio/error.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/system/system_error.hpp>

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace ferryroad::router {

/// Collaborators of request execution. All must outlive the requests.
struct request_collaborators {
    runtime::scheduler& scheduler;
    engine_directory& directory;
    engine_selector& selector;
    engine::client& engines;
    claim_registry& claims;
    base::router_name self;  ///< This router's name, for the log.
};

/// Everything that a driver has to know about its request.
struct request_context {
    base::request_id request;
    base::monotonic_time arrived{};
    resolved_call resolved;
    selection_query query;
    std::optional<claim_request> claim;  ///< The driver sets its `attempt`.
    core::execution::execution_rules rules;
    std::shared_ptr<core::admission::retry_budget> budget;
    request_tunables limits;
    background_work background;  ///< Counts coroutines that outlive the request.
};

/// Runs one request, from its claim or engine selection to its end. The derived classes
/// `generation_driver` and `application_driver` implement the exchanges with the engine. Used
/// from the event loop's thread only.
class execution_driver {
  public:
    explicit execution_driver(const request_collaborators& collaborators, request_context context);
    virtual ~execution_driver() = default;
    execution_driver(const execution_driver&) = delete;
    execution_driver& operator=(const execution_driver&) = delete;

    /// Runs the request to its end. Exceptions, including those of cancellation, end it early;
    /// they are logged and not propagated. Call `interrupt` afterwards.
    runtime::task<void> drive();

    /// Ends a request that `drive` left unfinished: cancels the attempt at the engine and settles
    /// the claim, both in the background.
    void interrupt();

    /// @return the refusal for the caller, if the request was refused.
    const std::optional<refusal>& refused() const { return refused_; }
    /// @return the recorded outcome, if an earlier request with the same key had finished.
    const std::optional<recorded_outcome>& replayed() const { return replayed_; }
    const core::execution::request_execution& execution() const { return machine_; }
    /// @return statistics of the request. Call this once the request has ended.
    ended_request statistics() const;

  protected:
    /// Sends the attempt to the engine and feeds the result to the state machine.
    virtual runtime::task<void> open_exchange(core::execution::dispatch_attempt action,
                                              engine::engine_target target) = 0;
    /// Reopens the attempt's broken stream and feeds the result to the state machine.
    virtual runtime::task<void> resume_exchange(core::execution::resume_attempt action,
                                                engine::engine_target target) = 0;
    /// Waits for the next event of the open exchange and feeds it to the state machine.
    virtual runtime::task<void> continue_exchange() = 0;
    /// Passes the last received token to the caller. @return false if the caller is gone.
    virtual runtime::task<bool> emit() = 0;
    /// @return the complete answer in the form recorded for callers that repeat the key.
    virtual recorded_outcome complete_outcome() const = 0;

    /// Feeds an event to the state machine and queues the actions that it requests.
    void feed(const core::execution::event& input_event);
    /// Reports a failed exchange to the directory and to the state machine.
    void feed_failure(core::execution::exchange_number exchange, const engine::error& failure);
    /// Processes the engine's report that the current attempt has started.
    void handle_started(const engine::stream_started& started);
    /// Passes a load report of the current engine to the directory.
    void handle_load(const engine::load_report& load);

    /// Awaits an answer of the current engine. If the request may be repeated, stops waiting as
    /// soon as the directory suspects the engine.
    /// @return the answer; nothing if the wait was abandoned because of suspicion.
    template <typename Answer>
    runtime::task<std::optional<Answer>> await_unless_suspected(runtime::task<Answer> answer);
    /// Reports the current exchange as failed because its engine is suspected.
    void abandon_exchange(core::execution::exchange_number exchange);

    base::attempt_id attempt_id_of(core::execution::attempt_number number) const;
    base::duration time_left() const;
    engine::priority urgency() const;
    const request_context& context() const { return context_; }
    const request_collaborators& collaborators() const { return collaborators_; }

  private:
    runtime::task<void> run();
    /// Waits until the directory suspects the engine, or until cancelled.
    runtime::task<void> wait_for_suspicion(base::engine_name engine);
    runtime::task<void> perform(core::execution::action action);
    void perform_now(const core::execution::action& action);
    runtime::task<void> claim();
    runtime::task<void> select(std::vector<base::engine_name> excluded);
    runtime::task<void> import_state();
    runtime::task<void> import_from(engine::engine_target target, engine::import_request request);
    runtime::task<void> dispatch(core::execution::dispatch_attempt action);
    bool still_available(const engine::engine_target& target) const;
    std::uint64_t expected_prefill() const;
    void handle_attempt_end();
    void settle(core::execution::claim_settlement settlement);
    recorded_outcome outcome_to_record(core::execution::claim_settlement settlement) const;

    request_collaborators collaborators_;
    request_context context_;
    core::execution::request_execution machine_;
    std::deque<core::execution::action> pending_actions_;
    selected_engine selected_;
    std::vector<engine::engine_target> targets_;  ///< Target of each attempt, in order.
    std::uint32_t resumes_ = 0;
    bool awaiting_load_report_ = false;  ///< No load report covers the current attempt yet.
    std::optional<refusal> refused_;
    std::optional<recorded_outcome> replayed_;
};

template <typename Answer>
runtime::task<std::optional<Answer>> execution_driver::await_unless_suspected(
    runtime::task<Answer> answer) {
    using boost::asio::experimental::awaitable_operators::operator||;
    if (!context_.rules.repeatable) {
        auto full_answer = co_await std::move(answer);
        co_return std::optional<Answer>(std::move(full_answer));
    }
    auto first = co_await (std::move(answer) || wait_for_suspicion(targets_.back().name));
    const auto cancellation = co_await boost::asio::this_coro::cancellation_state;
    if (cancellation.cancelled() != boost::asio::cancellation_type::none) {
        throw boost::system::system_error(boost::asio::error::operation_aborted);
    }
    if (first.index() != 0) {
        co_return std::nullopt;
    }
    co_return std::optional<Answer>(std::get<0>(std::move(first)));
}

}  // namespace ferryroad::router
