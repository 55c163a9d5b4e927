/// @file
/// HTTP interface of the emulated application service, which echoes each request's body.
#pragma once

#include "emulator/engine/application_model.hpp"
#include "emulator/engine/connection_faults.hpp"
#include "emulator/engine/engine_service.hpp"
#include "ferryroad/runtime/scheduler.hpp"

namespace ferryroad::emulator {

/// Runs the application model in real time. Used on the event loop's thread.
class application_service final : public engine_service {
  public:
    /// @param scheduler must outlive this object.
    application_service(runtime::scheduler& scheduler, application_model_settings settings,
                        base::incarnation process);

    runtime::task<void> handle(http::request request, http::response_writer& writer) override;
    void apply(const fault_request& request) override;
    void set_leaving(bool leaving) override { model_.set_leaving(leaving); }
    void crash() override { model_.crash(); }
    void restart(base::incarnation process) override { model_.restart(process); }
    bool idle() const override { return model_.idle(); }
    base::incarnation process() const override { return model_.process(); }
    const std::vector<execution_record>& executions() const override { return model_.executions(); }

  private:
    runtime::task<void> call(http::request request, http::response_writer& writer);
    http::response echo(const engine::application_request& request) const;

    runtime::scheduler& scheduler_;
    application_model model_;
    connection_faults faults_;
};

}  // namespace ferryroad::emulator
