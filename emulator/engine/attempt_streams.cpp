#include "emulator/engine/attempt_streams.hpp"

#include <utility>

namespace ferryroad::emulator {

std::shared_ptr<attempt_reader> attempt_streams::open(attempt_handle attempt) {
    std::shared_ptr<attempt_reader>& slot = readers_[attempt];
    if (slot) {
        slot->replaced = true;
        slot->changed.notify();
    }
    slot = std::make_shared<attempt_reader>(executor_);
    return slot;
}

bool attempt_streams::close(attempt_handle attempt, const std::shared_ptr<attempt_reader>& reader) {
    const auto found = readers_.find(attempt);
    if (found == readers_.end() || found->second != reader) {
        return false;
    }
    readers_.erase(found);
    return true;
}

void attempt_streams::dispatch(std::vector<model_output> outputs) {
    for (model_output& output : outputs) {
        const auto found = readers_.find(output.attempt);
        if (found != readers_.end()) {
            found->second->pending.push_back(std::move(output));
            found->second->changed.notify();
        }
    }
}

}  // namespace ferryroad::emulator
