/// @file
/// Batches the concurrent requests of many callers to one service into few calls.
#pragma once

#include "ferryroad/platform/call_pacer.hpp"
#include "ferryroad/platform/errors.hpp"
#include "ferryroad/runtime/boot_clock.hpp"
#include "ferryroad/runtime/scheduler.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <deque>
#include <functional>
#include <iterator>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

namespace ferryroad::platform {

/// Limits of a `call_batcher`.
struct batch_limits {
    /// A call exceeds this only if a single caller submits more items.
    std::size_t items_per_call = 256;
    /// Further submissions are refused as rate-limited.
    std::size_t queued_items = 4096;
    std::size_t calls_in_flight = 2;
    /// How long a submission may wait for its call. One that would wait longer is refused as
    /// rate-limited, immediately if a pause of the pacer already exceeds its deadline.
    base::duration wait = std::chrono::seconds(2);
};

/// One call carries the items of all callers that submitted while it waited for the pacer. Items of
/// one caller stay together and in order. A call refused by the rate limit had no effect, so its
/// items are queued again; any other outcome is returned to every caller of the call.
///
/// Cancelling a caller withdraws its items unless their call has already been sent. Must be used
/// from the event loop's thread and outlive the coroutines started by `submit`.
template <typename Item, typename Answer>
class call_batcher {
  public:
    using answers = runtime::result<std::vector<Answer>, error>;
    /// Sends items to the service. Returns one `Answer` for each item, in order.
    using call = std::function<runtime::task<answers>(std::vector<Item>)>;

    /// @param scheduler and @param pacer must outlive this object.
    /// @param sender sends a call.
    call_batcher(runtime::scheduler& scheduler, call_pacer& pacer, batch_limits limits, call sender)
        : scheduler_(scheduler), pacer_(pacer), limits_(limits), call_(std::move(sender)) {
        pacer_.on_pause([this] { refuse_late_submissions(); });
    }
    call_batcher(const call_batcher&) = delete;
    call_batcher& operator=(const call_batcher&) = delete;

    /// Queues items for the next call and waits for its outcome.
    /// @return one answer for each item, in order.
    runtime::task<answers> submit(std::vector<Item> items) {
        if (items.empty()) {
            co_return std::vector<Answer>();
        }
        const base::monotonic_time deadline = scheduler_.now() + limits_.wait;
        const bool too_late = pacer_.paused_until() > deadline;
        if (too_late || queued_items() + items.size() > limits_.queued_items) {
            co_return refusal();
        }
        const auto entry = std::make_shared<submission>(scheduler_, std::move(items), deadline);
        const abandon_guard guard(*entry);
        queue_.push_back(entry);
        start();
        while (!entry->outcome) {
            entry->ready.expires_at(runtime::boot_timer::time_point::max());
            co_await entry->ready.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
        }
        co_return std::move(*entry->outcome);
    }

  private:
    /// The items of one caller.
    struct submission {
        submission(runtime::scheduler& scheduler, std::vector<Item> submitted,
                   base::monotonic_time until)
            : items(std::move(submitted)), deadline(until), ready(scheduler.executor()) {}

        std::vector<Item> items;
        base::monotonic_time deadline;
        runtime::boot_timer ready;  ///< Cancelled to wake the caller once there is an outcome.
        std::optional<answers> outcome;
        bool abandoned = false;  ///< The caller was cancelled.
    };
    using submission_list = std::vector<std::shared_ptr<submission>>;

    /// Marks a submission as abandoned when its caller is done or cancelled.
    class abandon_guard {
      public:
        explicit abandon_guard(submission& entry) : submission_(entry) {}
        ~abandon_guard() { submission_.abandoned = true; }
        abandon_guard(const abandon_guard&) = delete;
        abandon_guard& operator=(const abandon_guard&) = delete;

      private:
        submission& submission_;
    };

    static void complete(submission& entry, answers outcome) {
        entry.outcome = std::move(outcome);
        entry.ready.cancel();
    }

    error refusal() const {
        const base::duration left = pacer_.paused_until() - scheduler_.now();
        return {error_code::rate_limited,
                "rate limit: call queue is full or the wait would exceed its limit",
                std::max(left, base::duration(limits_.wait))};
    }

    std::size_t queued_items() const {
        std::size_t count = 0;
        for (const auto& entry : queue_) {
            count += entry->abandoned ? 0 : entry->items.size();
        }
        return count;
    }

    /// Refuses the submissions whose deadline is before the time at which the next call may be
    /// sent.
    void refuse_late_submissions() {
        const base::monotonic_time earliest = std::max(scheduler_.now(), pacer_.paused_until());
        std::erase_if(queue_, [&](const std::shared_ptr<submission>& entry) {
            const bool too_late = !entry->abandoned && entry->deadline < earliest;
            if (too_late) {
                complete(*entry, refusal());
            }
            return too_late || entry->abandoned;
        });
    }

    void start() {
        if (!running_ && !queue_.empty() && in_flight_ < limits_.calls_in_flight) {
            running_ = true;
            scheduler_.spawn("platform.batch", run());
        }
    }

    runtime::task<void> run() {
        while (!queue_.empty() && in_flight_ < limits_.calls_in_flight) {
            co_await pacer_.turn();
            refuse_late_submissions();
            submission_list batch = take_batch();
            if (!batch.empty()) {
                ++in_flight_;
                scheduler_.spawn("platform.call", call_once(std::move(batch)));
            }
        }
        running_ = false;
    }

    submission_list take_batch() {
        submission_list batch;
        std::size_t count = 0;
        while (!queue_.empty()) {
            count += queue_.front()->items.size();
            if (!batch.empty() && count > limits_.items_per_call) {
                break;
            }
            batch.push_back(std::move(queue_.front()));
            queue_.pop_front();
        }
        return batch;
    }

    runtime::task<void> call_once(submission_list batch) {
        std::vector<Item> items;
        for (const auto& entry : batch) {
            items.insert(items.end(), entry->items.begin(), entry->items.end());
        }
        const std::size_t expected = items.size();
        answers outcome = error{error_code::answer_lost,
                                "the call was cancelled before its response", std::nullopt};
        try {
            outcome = co_await call_(std::move(items));
        } catch (...) {
            finish(batch, std::move(outcome), expected);
            throw;
        }
        finish(batch, std::move(outcome), expected);
    }

    void finish(submission_list& batch, answers outcome, std::size_t expected) {
        --in_flight_;
        if (outcome) {
            pacer_.accepted();
            distribute(batch, std::move(*outcome), expected);
        } else if (outcome.error().code == error_code::rate_limited) {
            queue_.insert(queue_.begin(), batch.begin(), batch.end());
            pacer_.refused(outcome.error().retry_after.value_or(base::duration::zero()));
        } else {
            for (const auto& entry : batch) {
                complete(*entry, outcome);
            }
        }
        start();
    }

    void distribute(submission_list& batch, std::vector<Answer> all, std::size_t expected) {
        const bool all_answered = all.size() == expected;
        auto next = all.begin();
        for (const auto& entry : batch) {
            if (!all_answered) {
                complete(*entry,
                         error{error_code::answer_lost,
                               "response does not hold one answer for each item", std::nullopt});
                continue;
            }
            const auto end = next + static_cast<std::ptrdiff_t>(entry->items.size());
            complete(*entry, std::vector<Answer>(std::make_move_iterator(next),
                                                 std::make_move_iterator(end)));
            next = end;
        }
    }

    runtime::scheduler& scheduler_;
    call_pacer& pacer_;
    batch_limits limits_;
    call call_;
    std::deque<std::shared_ptr<submission>> queue_;
    std::size_t in_flight_ = 0;
    bool running_ = false;  ///< Whether the coroutine `run` is active.
};

}  // namespace ferryroad::platform
