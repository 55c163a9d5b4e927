/// @file
/// HTTP interface of the emulated model engine; docs/reference/engine-protocol.md describes it.
#pragma once

#include "emulator/engine/attempt_streams.hpp"
#include "emulator/engine/connection_faults.hpp"
#include "emulator/engine/engine_model.hpp"
#include "emulator/engine/engine_service.hpp"
#include "emulator/engine/notifier.hpp"
#include "ferryroad/http/client.hpp"
#include "ferryroad/runtime/scheduler.hpp"

#include <string>

namespace ferryroad::emulator {

/// Runs the model in real time and sends its events to the connections that read them. Used on the
/// event loop's thread.
class model_service final : public engine_service {
  public:
    /// @param scheduler and @p peers must outlive this object.
    /// @param peers fetches warm state from other engines.
    model_service(runtime::scheduler& scheduler, http::client& peers,
                  engine_model_settings settings, base::incarnation process);

    runtime::task<void> handle(http::request request, http::response_writer& writer) override;
    void apply(const fault_request& request) override;
    void set_leaving(bool leaving) override { model_.set_leaving(leaving); }
    void crash() override;
    void restart(base::incarnation process) override;
    bool idle() const override { return model_.idle(); }
    base::incarnation process() const override { return model_.process(); }
    const std::vector<execution_record>& executions() const override { return model_.executions(); }

  private:
    /// Advances the model whenever something is due. Runs until cancelled.
    runtime::task<void> run_model();
    /// Sends the model's new events to their readers and wakes `run_model`. Called after each
    /// change of the model.
    void dispatch_outputs();

    runtime::task<void> stream(attempt_handle attempt, http::response_writer& writer);
    runtime::task<void> generate(std::string body, http::response_writer& writer);
    runtime::task<void> resume(std::string body, http::response_writer& writer);
    http::response cancel(const std::string& body);
    http::response order(const std::string& body);
    http::response export_state(const std::string& body);
    runtime::task<http::response> import_state(std::string body);
    runtime::task<outcome<exported_state>> fetch_state(engine::import_request request);
    runtime::task<http::response> events(http::request request);

    runtime::scheduler& scheduler_;
    http::client& peers_;
    engine_model model_;
    connection_faults faults_;
    attempt_streams streams_;
    notifier wake_;
};

}  // namespace ferryroad::emulator
