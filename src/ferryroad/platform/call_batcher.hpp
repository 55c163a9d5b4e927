/// @file
/// Merges what many callers ask of one service at the same time into few calls.
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

struct batch_limits {
    std::size_t items_per_call = 256;
    std::size_t queued_items = 4096;
    std::size_t calls_in_flight = 2;
    /// A caller that could not be served within this is refused as rate-limited, and at once
    /// where a pause makes it certain.
    base::duration wait = std::chrono::seconds(2);
};

/// One call carries the items of all callers that came while it waited for its turn. Items of
/// one caller stay together and in order. A call refused by the rate limit changed nothing,
/// so its items wait for another; any other outcome goes to every caller of the call.
///
/// Cancelling a caller takes its items back unless they are on their way. Used from the event
/// loop's thread; lives as long as the coroutines started by `submit`.
template <typename Item, typename Answer>
class call_batcher {
  public:
    using answers = runtime::result<std::vector<Answer>, error>;
    /// Answers with one `Answer` for each item, in order.
    using call = std::function<runtime::task<answers>(std::vector<Item>)>;

    /// @param scheduler and @param pacer outlive this.
    call_batcher(runtime::scheduler& scheduler, call_pacer& pacer, batch_limits limits, call sender)
        : scheduler_(scheduler), pacer_(pacer), limits_(limits), call_(std::move(sender)) {
        pacer_.on_pause([this] { refuse_hopeless(); });
    }
    call_batcher(const call_batcher&) = delete;
    call_batcher& operator=(const call_batcher&) = delete;

    runtime::task<answers> submit(std::vector<Item> items) {
        if (items.empty()) {
            co_return std::vector<Answer>();
        }
        const base::monotonic_time deadline = scheduler_.now() + limits_.wait;
        const bool hopeless = pacer_.paused_until() > deadline;
        if (hopeless || queued_items() + items.size() > limits_.queued_items) {
            co_return refusal();
        }
        const auto one = std::make_shared<entry>(scheduler_, std::move(items), deadline);
        const abandon_guard guard(*one);
        queue_.push_back(one);
        start();
        while (!one->outcome) {
            one->ready.expires_at(runtime::boot_timer::time_point::max());
            co_await one->ready.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
        }
        co_return std::move(*one->outcome);
    }

  private:
    /// What one caller asked for.
    struct entry {
        entry(runtime::scheduler& scheduler, std::vector<Item> asked, base::monotonic_time until)
            : items(std::move(asked)), deadline(until), ready(scheduler.executor()) {}

        std::vector<Item> items;
        base::monotonic_time deadline;
        runtime::boot_timer ready;  ///< Cancelled once there is an outcome.
        std::optional<answers> outcome;
        bool abandoned = false;  ///< The caller has gone.
    };
    using entry_list = std::vector<std::shared_ptr<entry>>;

    class abandon_guard {
      public:
        explicit abandon_guard(entry& one) : entry_(one) {}
        ~abandon_guard() { entry_.abandoned = true; }
        abandon_guard(const abandon_guard&) = delete;
        abandon_guard& operator=(const abandon_guard&) = delete;

      private:
        entry& entry_;
    };

    static void settle(entry& one, answers outcome) {
        one.outcome = std::move(outcome);
        one.ready.cancel();
    }

    error refusal() const {
        const base::duration left = pacer_.paused_until() - scheduler_.now();
        return {error_code::rate_limited, "too many calls are waiting for this service's rate",
                std::max(left, base::duration(limits_.wait))};
    }

    std::size_t queued_items() const {
        std::size_t count = 0;
        for (const auto& one : queue_) {
            count += one->abandoned ? 0 : one->items.size();
        }
        return count;
    }

    /// Refuses the callers that a pause, or the time passed, leaves without hope.
    void refuse_hopeless() {
        const base::monotonic_time earliest = std::max(scheduler_.now(), pacer_.paused_until());
        std::erase_if(queue_, [&](const std::shared_ptr<entry>& one) {
            const bool hopeless = !one->abandoned && one->deadline < earliest;
            if (hopeless) {
                settle(*one, refusal());
            }
            return hopeless || one->abandoned;
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
            refuse_hopeless();
            entry_list batch = take_batch();
            if (!batch.empty()) {
                ++in_flight_;
                scheduler_.spawn("platform.call", call_once(std::move(batch)));
            }
        }
        running_ = false;
    }

    entry_list take_batch() {
        entry_list batch;
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

    runtime::task<void> call_once(entry_list batch) {
        std::vector<Item> items;
        for (const auto& one : batch) {
            items.insert(items.end(), one->items.begin(), one->items.end());
        }
        const std::size_t expected = items.size();
        answers outcome = error{error_code::answer_lost, "the call was ended", std::nullopt};
        try {
            outcome = co_await call_(std::move(items));
        } catch (...) {
            finish(batch, std::move(outcome), expected);
            throw;
        }
        finish(batch, std::move(outcome), expected);
    }

    void finish(entry_list& batch, answers outcome, std::size_t expected) {
        --in_flight_;
        if (outcome) {
            pacer_.accepted();
            distribute(batch, std::move(*outcome), expected);
        } else if (outcome.error().code == error_code::rate_limited) {
            queue_.insert(queue_.begin(), batch.begin(), batch.end());
            pacer_.refused(outcome.error().retry_after.value_or(base::duration::zero()));
        } else {
            for (const auto& one : batch) {
                settle(*one, outcome);
            }
        }
        start();
    }

    void distribute(entry_list& batch, std::vector<Answer> all, std::size_t expected) {
        const bool whole = all.size() == expected;
        auto next = all.begin();
        for (const auto& one : batch) {
            if (!whole) {
                settle(*one, error{error_code::answer_lost, "not one answer for each item",
                                   std::nullopt});
                continue;
            }
            const auto end = next + static_cast<std::ptrdiff_t>(one->items.size());
            settle(*one, std::vector<Answer>(std::make_move_iterator(next),
                                             std::make_move_iterator(end)));
            next = end;
        }
    }

    runtime::scheduler& scheduler_;
    call_pacer& pacer_;
    batch_limits limits_;
    call call_;
    std::deque<std::shared_ptr<entry>> queue_;
    std::size_t in_flight_ = 0;
    bool running_ = false;  ///< Whether `run` is on its way.
};

}  // namespace ferryroad::platform
