/// @file
/// Drives one application call: a whole answer, passed through.
#pragma once

#include "ferryroad/router/request/execution_driver.hpp"

namespace ferryroad::router {

class application_driver final : public execution_driver {
  public:
    application_driver(const request_collaborators& with, driver_start start,
                       application_call call);

    /// @return the engine's answer, where the request is complete.
    const application_reply& reply() const { return reply_; }

  protected:
    runtime::task<void> open_exchange(core::execution::dispatch_attempt wanted,
                                      engine::engine_target target) override;
    runtime::task<void> resume_exchange(core::execution::resume_attempt wanted,
                                        engine::engine_target target) override;
    runtime::task<void> continue_exchange() override;
    runtime::task<bool> emit() override;
    recorded_outcome whole_outcome() const override;

  private:
    engine::application_request request_for(const core::execution::dispatch_attempt& wanted) const;

    application_call call_;
    application_reply reply_;
};

}  // namespace ferryroad::router
