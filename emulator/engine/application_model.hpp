/// @file
/// An emulated application service as a pure state machine: each call takes a set time.
#pragma once

#include "emulator/engine/model_types.hpp"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace ferryroad::emulator {

struct application_model_settings {
    base::engine_name name;
    base::duration service_time = std::chrono::milliseconds(5);
    std::uint32_t concurrent_calls = 64;  ///< More are refused as overloaded.
};

/// A call under way: its answer is due at `ready_at`.
struct call_ticket {
    attempt_handle attempt;
    base::monotonic_time ready_at{};
};

/// Admits calls, counts them as executed, finishes them. `now` never falls.
class application_model {
  public:
    application_model(application_model_settings settings, base::incarnation process);

    /// Runs the call, or refuses it. A known attempt id is refused with proof `unknown`.
    outcome<call_ticket> submit(const engine::application_request& request,
                                base::monotonic_time now);
    /// The call's time has come. @return false where a crash took it.
    bool finish(attempt_handle attempt);

    engine::load_report load() const;

    void crash();
    void restart(base::incarnation process);
    void set_leaving(bool leaving) { leaving_ = leaving; }
    void set_refuse_overloaded(bool refuse) { refuse_overloaded_ = refuse; }
    void set_slow_factor(double factor) { slow_factor_ = factor; }

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
    std::unordered_map<base::attempt_id, attempt_handle> known_attempts_;  ///< Of this process.
    std::unordered_map<attempt_handle, base::attempt_id> running_;
    std::vector<execution_record> executions_;
};

}  // namespace ferryroad::emulator
