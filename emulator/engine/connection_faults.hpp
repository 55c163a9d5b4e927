/// @file
/// Faults of an emulated engine's connections, which the models know nothing of.
#pragma once

#include "emulator/engine/faults.hpp"
#include "emulator/engine/notifier.hpp"
#include "ferryroad/http/server.hpp"
#include "ferryroad/runtime/scheduler.hpp"

#include <cstdint>
#include <optional>

namespace ferryroad::emulator {

/// Holds requests while frozen, loses answers, says when streams are cut.
class connection_faults {
  public:
    /// @param scheduler outlives this.
    explicit connection_faults(runtime::scheduler& scheduler);

    void apply(const fault_request& request);

    /// Returns once the engine isn't frozen.
    runtime::task<void> wait_unfrozen();

    /// Sends the answer, or closes the connection where it is to be lost.
    runtime::task<void> answer(http::response reply, http::response_writer& writer);

    /// @return true where the answer at hand is to be lost; counts it.
    bool take_lost_answer();

    /// @return true where a stream is cut that has brought so many tokens on its connection.
    bool cuts_after(std::uint32_t tokens) const {
        return cut_after_tokens_ && tokens >= *cut_after_tokens_;
    }

  private:
    runtime::scheduler& scheduler_;
    base::monotonic_time frozen_until_{};
    notifier thawed_;
    std::optional<std::uint32_t> cut_after_tokens_;
    std::uint32_t lost_answers_ = 0;
};

/// The faults that both kinds of engine model have.
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
