/// @file
/// Messages that arrive in a process for one of its coroutines.
#pragma once

#include "bench/simulation/virtual_scheduler.hpp"

#include <deque>
#include <optional>
#include <utility>

namespace ferryroad::bench::simulation {

/// Filled by events of the process, emptied by one coroutine of it. Kept by shared pointer,
/// as messages may come after the coroutine is gone.
template <typename Message>
class mailbox {
  public:
    /// @param scheduler of the process; outlives the mailbox's use.
    explicit mailbox(virtual_scheduler& scheduler) : scheduler_(scheduler) {}

    /// From inside the process.
    void push(Message message) {
        messages_.push_back(std::move(message));
        wake();
    }

    /// @return the next message, or nothing where none came within `limit`.
    runtime::task<std::optional<Message>> take(base::duration limit) {
        const base::monotonic_time deadline = scheduler_.time().now() + limit;
        while (messages_.empty() && scheduler_.time().now() < deadline) {
            const wait_id id = scheduler_.begin_wait();
            waiting_ = id;
            virtual_scheduler* scheduler = &scheduler_;
            scheduler_.time().at(deadline, scheduler_.process(),
                                 [scheduler, id] { scheduler->wake(id); });
            co_await scheduler_.wait(id);
            waiting_.reset();
        }
        std::optional<Message> taken;
        if (!messages_.empty()) {
            taken = std::move(messages_.front());
            messages_.pop_front();
        }
        co_return taken;
    }

  private:
    void wake() {
        if (waiting_) {
            scheduler_.wake(*waiting_);
        }
    }

    virtual_scheduler& scheduler_;
    std::deque<Message> messages_;
    std::optional<wait_id> waiting_;
};

}  // namespace ferryroad::bench::simulation
