/// @file
/// Carries out what the execution machine asks for and feeds back what happened.
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

/// What requests are served with. All outlive the requests.
struct request_collaborators {
    runtime::scheduler& scheduler;
    engine_directory& directory;
    engine_selector& selector;
    engine::client& engines;
    claim_registry& claims;
    base::router_name self;  ///< For the log.
};

/// What a driver is started with.
struct driver_start {
    base::request_id request;
    base::monotonic_time arrived{};
    resolved_call resolved;
    selection_query query;
    std::optional<claim_request> claim;  ///< Its attempt is filled in by the driver.
    core::execution::execution_rules rules;
    std::shared_ptr<core::admission::retry_budget> budget;
    request_tunables limits;
    background_work background;  ///< What the request leaves behind is counted there.
};

/// One request from its claim or selection to its end. `generation_driver` and
/// `application_driver` speak to the engine.
class execution_driver {
  public:
    explicit execution_driver(const request_collaborators& with, driver_start start);
    virtual ~execution_driver() = default;
    execution_driver(const execution_driver&) = delete;
    execution_driver& operator=(const execution_driver&) = delete;

    /// Runs the request to its end. Exceptions, cancellation's too, end it early and are
    /// kept in; then call `interrupt`.
    runtime::task<void> drive();

    /// Ends a request that `drive` left unfinished: its engine's attempt is cancelled and its
    /// claim settled, both in the background.
    void interrupt();

    /// Where the request was refused.
    const std::optional<refusal>& refused() const { return refused_; }
    /// Where an earlier request with the same key had ended.
    const std::optional<recorded_outcome>& replayed() const { return replayed_; }
    const core::execution::request_execution& execution() const { return machine_; }
    /// @return the figures of the request, once it has ended.
    ended_request figures() const;

  protected:
    /// Sends the attempt; reports by `feed`.
    virtual runtime::task<void> open_exchange(core::execution::dispatch_attempt wanted,
                                              engine::engine_target target) = 0;
    /// Takes the attempt's stream up again; reports by `feed`.
    virtual runtime::task<void> resume_exchange(core::execution::resume_attempt wanted,
                                                engine::engine_target target) = 0;
    /// Waits for the open exchange's next event; reports by `feed`.
    virtual runtime::task<void> continue_exchange() = 0;
    /// Passes the token just received on. @return false where the caller is gone.
    virtual runtime::task<bool> emit() = 0;
    /// @return the whole answer, as kept for callers that repeat the key.
    virtual recorded_outcome whole_outcome() const = 0;

    void feed(const core::execution::event& happened);
    /// Tells the machine of an engine's failure, and the directory.
    void feed_failure(core::execution::exchange_number exchange, const engine::error& failure);
    /// The engine has taken the current attempt and reported its load.
    void note_started(const engine::stream_started& started);
    void note_load(const engine::load_report& load);

    /// Awaits an answer of the current engine. @return nothing where the engine came under
    /// suspicion meanwhile and another may be asked: the answer is given up.
    template <typename Answer>
    runtime::task<std::optional<Answer>> unless_suspected(runtime::task<Answer> answer);
    /// The current exchange was given up for its engine's silence.
    void feed_silence(core::execution::exchange_number exchange);

    base::attempt_id attempt_id_of(core::execution::attempt_number number) const;
    base::duration time_left() const;
    engine::priority urgency() const;
    const driver_start& start() const { return start_; }
    const request_collaborators& with() const { return with_; }

  private:
    runtime::task<void> run();
    /// Ends once the engine is suspected, or by cancellation.
    runtime::task<void> wait_for_suspicion(base::engine_name engine);
    runtime::task<void> perform(core::execution::action wanted);
    void perform_now(const core::execution::action& wanted);
    runtime::task<void> claim();
    runtime::task<void> select(std::vector<base::engine_name> excluded);
    runtime::task<void> import_state();
    runtime::task<void> import_from(engine::engine_target target, engine::import_request wanted);
    runtime::task<void> dispatch(core::execution::dispatch_attempt wanted);
    bool still_available(const engine::engine_target& target) const;
    std::uint64_t expected_prefill() const;
    void note_attempt_end();
    void settle(core::execution::claim_settlement settlement);
    recorded_outcome outcome_to_record(core::execution::claim_settlement settlement) const;

    request_collaborators with_;
    driver_start start_;
    core::execution::request_execution machine_;
    std::deque<core::execution::action> pending_;
    selected_engine selected_;
    std::vector<engine::engine_target> targets_;  ///< Of each attempt, in order.
    std::uint32_t resumes_ = 0;
    bool load_awaited_ = false;  ///< The current attempt shows in no load report yet.
    std::optional<refusal> refused_;
    std::optional<recorded_outcome> replayed_;
};

template <typename Answer>
runtime::task<std::optional<Answer>> execution_driver::unless_suspected(
    runtime::task<Answer> answer) {
    using boost::asio::experimental::awaitable_operators::operator||;
    if (!start_.rules.repeatable) {
        auto whole = co_await std::move(answer);
        co_return std::optional<Answer>(std::move(whole));
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
