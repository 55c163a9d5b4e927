/// @file
/// Execution driver for generations, whose answers are resumable streams of numbered tokens.
#pragma once

#include "ferryroad/router/request/execution_driver.hpp"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace ferryroad::router {

/// Runs one generation call.
class generation_driver final : public execution_driver {
  public:
    /// @param sink receives the tokens; must outlive the coroutine of `drive`.
    generation_driver(const request_collaborators& collaborators, request_context context,
                      std::shared_ptr<const std::string> prompt,
                      std::optional<base::idempotency_key> key, token_sink& sink);

    /// @return the summary of the answer. Valid once the request has completed.
    const generation_summary& summary() const { return summary_; }

  protected:
    runtime::task<void> open_exchange(core::execution::dispatch_attempt action,
                                      engine::engine_target target) override;
    runtime::task<void> resume_exchange(core::execution::resume_attempt action,
                                        engine::engine_target target) override;
    runtime::task<void> continue_exchange() override;
    runtime::task<bool> emit() override;
    recorded_outcome complete_outcome() const override;

  private:
    using opened_stream = engine::result<std::unique_ptr<engine::generation_stream>>;
    using next_event = engine::result<engine::stream_event>;

    engine::generation_request request_for(const core::execution::dispatch_attempt& action) const;
    /// Processes the result of opening or resuming a stream.
    /// @param opened nothing if the engine was suspected while waiting.
    void set_stream(std::optional<opened_stream> opened, core::execution::exchange_number exchange);
    void handle(const engine::stream_started& started);
    void handle(engine::stream_token token);
    void handle(const engine::stream_end& end);

    std::shared_ptr<const std::string> prompt_;
    std::optional<base::idempotency_key> key_;
    token_sink& sink_;
    std::unique_ptr<engine::generation_stream> stream_;
    core::execution::exchange_number exchange_;
    bool token_seen_ = false;  ///< Whether the open exchange has delivered a token.
    engine::stream_token received_;
    std::vector<std::string> recorded_tokens_;  ///< Filled only for claimed requests.
    generation_summary summary_;
};

}  // namespace ferryroad::router
