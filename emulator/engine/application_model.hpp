/// @file
/// Model of an application service as a state machine without I/O. Each call takes a fixed time.
#pragma once

#include "emulator/engine/model_types.hpp"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace ferryroad::emulator {

/// Speed and limit of an emulated application service.
struct application_model_settings {
    base::engine_name name;
    base::duration service_time = std::chrono::milliseconds(5);
    std::uint32_t concurrent_calls = 64;  ///< Further calls are refused as overloaded.
};

/// An admitted call, whose answer is due at `ready_at`.
struct call_ticket {
    attempt_handle attempt;
    base::monotonic_time ready_at{};
};

/// Admits calls, records their executions and finishes them. `now` must not decrease from call to
/// call. Not thread-safe.
class application_model {
  public:
    application_model(application_model_settings settings, base::incarnation process);

    /// Admits the call or refuses it. An attempt id that this process has already admitted is
    /// refused with proof `unknown`, since that attempt may have run.
    outcome<call_ticket> submit(const engine::application_request& request,
                                base::monotonic_time now);
    /// Completes a call whose time is over. @return false if a crash has ended it before.
    bool finish(attempt_handle attempt);

    engine::load_report load() const;

    void crash();
    void restart(base::incarnation process);
    void set_leaving(bool leaving) { leaving_ = leaving; }
    void set_refuse_overloaded(bool refuse) { refuse_overloaded_ = refuse; }
    /// Calls admitted from now on take `factor` times as long.
    void set_slow_factor(double factor) { slow_factor_ = factor; }

    /// @return whether no call is running.
    bool idle() const { return running_.empty(); }
    base::incarnation process() const { return process_; }
    const std::vector<execution_record>& executions() const { return executions_; }

  private:
    std::optional<engine::error> check(const engine::application_request& request) const;

    application_model_settings settings_;
    base::incarnation process_;
    bool down_ = false;
    bool leaving_ = false;
    bool refuse_overloaded_ = false;
    double slow_factor_ = 1.0;
    std::unordered_map<base::attempt_id, attempt_handle>
        known_attempts_;  ///< Admitted by the current process.
    std::unordered_map<attempt_handle, base::attempt_id> running_;
    std::vector<execution_record> executions_;
};

}  // namespace ferryroad::emulator
