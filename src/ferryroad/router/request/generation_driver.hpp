/// @file
/// Drives one generation: a numbered token stream that can be resumed.
#pragma once

#include "ferryroad/router/request/execution_driver.hpp"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace ferryroad::router {

class generation_driver final : public execution_driver {
  public:
    /// @param sink outlives the drive.
    generation_driver(const request_collaborators& with, driver_start start,
                      std::shared_ptr<const std::string> prompt,
                      std::optional<base::idempotency_key> key, token_sink& sink);

    /// @return what the whole answer came to.
    const generation_summary& summary() const { return summary_; }

  protected:
    runtime::task<void> open_exchange(core::execution::dispatch_attempt wanted,
                                      engine::engine_target target) override;
    runtime::task<void> resume_exchange(core::execution::resume_attempt wanted,
                                        engine::engine_target target) override;
    runtime::task<void> continue_exchange() override;
    runtime::task<bool> emit() override;
    recorded_outcome whole_outcome() const override;

  private:
    using opened_stream = engine::result<std::unique_ptr<engine::generation_stream>>;
    using next_event = engine::result<engine::stream_event>;

    engine::generation_request request_for(const core::execution::dispatch_attempt& wanted) const;
    /// @param opened nothing where the engine came under suspicion.
    void take_stream(std::optional<opened_stream> opened,
                     core::execution::exchange_number exchange);
    void take(const engine::stream_started& started);
    void take(engine::stream_token token);
    void take(const engine::stream_end& end);

    std::shared_ptr<const std::string> prompt_;
    std::optional<base::idempotency_key> key_;
    token_sink& sink_;
    std::unique_ptr<engine::generation_stream> stream_;
    core::execution::exchange_number exchange_;
    bool token_seen_ = false;  ///< In the open exchange.
    engine::stream_token received_;
    std::vector<std::string> kept_tokens_;  ///< Only for claimed requests.
    generation_summary summary_;
};

}  // namespace ferryroad::router
