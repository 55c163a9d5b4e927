/// @file
/// Faults of an emulated engine's connections, which its models don't simulate.
#pragma once

#include "emulator/engine/faults.hpp"
#include "emulator/engine/notifier.hpp"
#include "ferryroad/http/server.hpp"
#include "ferryroad/runtime/scheduler.hpp"

#include <cstdint>
#include <optional>

namespace ferryroad::emulator {

/// Delays requests while the engine is frozen, drops answers and decides when streams are cut.
/// Used on the event loop's thread.
class connection_faults {
  public:
    /// @param scheduler must outlive this object.
    explicit connection_faults(runtime::scheduler& scheduler);

    /// Changes the faults in force as the request asks.
    void apply(const fault_request& request);

    /// Waits until the engine isn't frozen; returns at once if it isn't.
    runtime::task<void> wait_unfrozen();

    /// Sends the answer, or closes the connection instead if the answer is to be lost.
    runtime::task<void> answer(http::response reply, http::response_writer& writer);

    /// Counts down the answers to lose. @return whether the current answer is to be lost.
    bool consume_lost_answer();

    /// @return whether to cut a stream that has sent `tokens` tokens on its connection.
    bool must_cut_after(std::uint32_t tokens) const {
        return cut_after_tokens_ && tokens >= *cut_after_tokens_;
    }

  private:
    runtime::scheduler& scheduler_;
    base::monotonic_time frozen_until_{};
    notifier thawed_;
    std::optional<std::uint32_t> cut_after_tokens_;
    std::uint32_t lost_answers_ = 0;
};

/// Applies the faults that both engine models support.
template <typename Model>
void apply_model_faults(Model& model, const fault_request& request) {
    if (request.clear) {
        model.set_slow_factor(1);
        model.set_leaving(false);
        model.set_refuse_overloaded(false);
    }
    if (request.slow_factor) {
        model.set_slow_factor(*request.slow_factor);
    }
    if (request.leaving) {
        model.set_leaving(*request.leaving);
    }
    if (request.refuse_overloaded) {
        model.set_refuse_overloaded(*request.refuse_overloaded);
    }
}

}  // namespace ferryroad::emulator
