#include "emulator/engine/connection_faults.hpp"

#include <utility>

namespace ferryroad::emulator {

connection_faults::connection_faults(runtime::scheduler& scheduler)
    : scheduler_(scheduler), thawed_(scheduler.executor()) {}

void connection_faults::apply(const fault_request& request) {
    if (request.clear) {
        frozen_until_ = {};
        cut_after_tokens_.reset();
        lost_answers_ = 0;
        thawed_.notify();
    }
    if (request.freeze) {
        frozen_until_ = scheduler_.now() + *request.freeze;
    }
    if (request.cut_after_tokens) {
        cut_after_tokens_ = request.cut_after_tokens;
    }
    lost_answers_ = request.lost_answers.value_or(lost_answers_);
}

runtime::task<void> connection_faults::wait_unfrozen() {
    while (scheduler_.now() < frozen_until_) {
        co_await thawed_.wait_until(timer_time(frozen_until_));
    }
}

runtime::task<void> connection_faults::answer(http::response reply, http::response_writer& writer) {
    if (consume_lost_answer()) {
        writer.abort();
        co_return;
    }
    [[maybe_unused]] const auto sent = co_await writer.send(std::move(reply));
}

bool connection_faults::consume_lost_answer() {
    if (lost_answers_ == 0) {
        return false;
    }
    --lost_answers_;
    return true;
}

}  // namespace ferryroad::emulator
