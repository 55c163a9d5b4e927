/// @file
/// Execution driver for application calls, whose answers are passed through unstreamed.
#pragma once

#include "ferryroad/router/request/execution_driver.hpp"

namespace ferryroad::router {

/// Runs one application call.
class application_driver final : public execution_driver {
  public:
    application_driver(const request_collaborators& collaborators, request_context context,
                       application_call call);

    /// @return the engine's answer. Valid once the request has completed.
    const application_reply& reply() const { return reply_; }

  protected:
    runtime::task<void> open_exchange(core::execution::dispatch_attempt action,
                                      engine::engine_target target) override;
    runtime::task<void> resume_exchange(core::execution::resume_attempt action,
                                        engine::engine_target target) override;
    runtime::task<void> continue_exchange() override;
    runtime::task<bool> emit() override;
    recorded_outcome complete_outcome() const override;

  private:
    engine::application_request request_for(const core::execution::dispatch_attempt& action) const;

    application_call call_;
    application_reply reply_;
};

}  // namespace ferryroad::router
