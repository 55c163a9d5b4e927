/// The memory budget: which account is evicted, and that the accounts add up whatever happens.
#include "ferryroad/runtime/memory_budget.hpp"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <memory>
#include <vector>

using namespace ferryroad;
using namespace ferryroad::runtime;
using namespace std::chrono_literals;

namespace {

struct manual_clock final : base::clock {
    base::monotonic_time now() const override { return time; }
    std::int64_t unix_milliseconds() const override { return 0; }
    base::monotonic_time time{1h};
};

/// 100 bytes, 25 of them for accounts up to 10 bytes; 4 bytes in a second are progress.
memory_limits small_limits() {
    return {100, 0.25, 10, 4, 1s};
}

/// A message whose owner frees it when it is evicted.
struct message {
    message(const std::shared_ptr<memory_budget>& budget, const base::clock& clock)
        : account(budget, clock, [this] { ++evictions; }) {}
    int evictions = 0;
    bool kept = false;
    memory_account account;
};

struct fixture {
    std::unique_ptr<message> open(std::size_t bytes) {
        auto opened = std::make_unique<message>(budget, clock);
        granted = opened->account.grow_to(bytes);
        return opened;
    }
    manual_clock clock;
    std::shared_ptr<memory_budget> budget = std::make_shared<memory_budget>(small_limits());
    bool granted = false;
};

}  // namespace

Test(memory_budget, the_account_that_stagnates_with_the_most_memory_is_evicted) {
    fixture at;
    const auto small = at.open(5);
    const auto large = at.open(60);
    at.clock.time += 2s;
    const auto active = at.open(10);
    const auto next = at.open(20);
    cr_assert(at.granted);
    cr_assert_eq(large->evictions, 1);
    cr_assert_eq(large->account.bytes(), 0);
    cr_assert_eq(small->evictions + active->evictions, 0);
    cr_assert_eq(at.budget->counters().used_bytes, 35);
}

Test(memory_budget, single_bytes_are_no_progress) {
    fixture at;
    const auto trickling = at.open(30);
    const auto growing = at.open(30);
    for (int step = 1; step <= 4; ++step) {
        at.clock.time += 400ms;
        cr_assert(growing->account.grow_to(static_cast<std::size_t>(30 + 4 * step)));
        if (step == 2) {
            cr_assert(trickling->account.grow_to(31));
        }
    }
    const auto next = at.open(14);
    cr_assert(at.granted);
    cr_assert_eq(trickling->evictions, 1);
    cr_assert_eq(growing->evictions, 0);
}

Test(memory_budget, of_large_accounts_that_grow_the_one_opened_last_is_evicted) {
    fixture at;
    const auto first = at.open(35);
    const auto second = at.open(35);
    cr_assert(first->account.grow_to(45));
    cr_assert_eq(second->evictions, 1);
    const auto third = at.open(35);
    cr_assert_not(at.granted);
    cr_assert_eq(first->evictions, 0);
    cr_assert_eq(third->account.bytes(), 0);
}

Test(memory_budget, a_part_is_for_small_accounts_only) {
    fixture at;
    const auto large = at.open(75);
    cr_assert(at.granted);
    large->account.keep();
    const auto second = at.open(11);
    cr_assert_not(at.granted);
    const auto small = at.open(10);
    cr_assert(at.granted);
}

Test(memory_budget, none_is_evicted_for_what_would_not_fit_all_the_same) {
    fixture at;
    const auto kept = at.open(50);
    kept->account.keep();
    const auto large = at.open(20);
    at.clock.time += 2s;
    const auto next = at.open(60);
    cr_assert_not(at.granted);
    cr_assert_eq(large->evictions, 0);
}

Test(memory_budget, a_share_is_left_to_other_accounts) {
    fixture at;
    memory_account request(at.budget, at.clock, nullptr, account_terms{0.5, true});
    memory_account answer(at.budget, at.clock, nullptr, account_terms{1.0, false});
    cr_assert_not(request.grow_to(38));
    cr_assert(request.grow_to(37));
    cr_assert(answer.grow_to(38));
}

Test(memory_budget, an_answer_is_evicted_only_if_it_stagnates) {
    fixture at;
    int evictions = 0;
    memory_account answer(
        at.budget, at.clock, [&] { ++evictions; }, account_terms{1.0, false});
    cr_assert(answer.grow_to(70));
    const auto first = at.open(20);
    cr_assert_not(at.granted);
    at.clock.time += 1s;
    const auto second = at.open(20);
    cr_assert(at.granted);
    cr_assert_eq(evictions, 1);
}

Test(memory_budget, one_message_of_the_largest_size_fits_beside_stalled_ones) {
    fixture at;
    std::vector<std::unique_ptr<message>> stalled;
    for (int count = 0; count < 10; ++count) {
        stalled.push_back(at.open(7));
    }
    at.clock.time += 2s;
    const auto largest = at.open(75);
    cr_assert(at.granted);
}

/// Whatever is opened, grown, kept, evicted, refused or dropped: the sum of the accounts is what
/// the budget counts, never more than its total, kept accounts aren't evicted, and at the end it is
/// 0.
Test(memory_budget, the_accounts_always_add_up) {
    const bool held = rc::check([] {
        fixture at;
        std::vector<std::unique_ptr<message>> messages;
        const auto steps = *rc::gen::inRange(1, 200);
        for (int step = 0; step < steps; ++step) {
            at.clock.time += std::chrono::milliseconds(*rc::gen::inRange(0, 700));
            const auto action = *rc::gen::inRange(0, 8);
            if (action < 2 || messages.empty()) {
                messages.push_back(at.open(static_cast<std::size_t>(*rc::gen::inRange(0, 90))));
            } else {
                const auto index = *rc::gen::inRange<std::size_t>(0, messages.size());
                message& one = *messages[index];
                const std::size_t before = one.account.bytes();
                if (action < 5) {
                    const auto more = static_cast<std::size_t>(*rc::gen::inRange(0, 40));
                    const bool granted = one.account.grow_to(before + more);
                    RC_ASSERT(one.account.bytes() == (granted ? before + more : before));
                } else if (action == 5) {
                    one.account.keep();
                    one.kept = true;
                    one.evictions = 0;
                } else if (action == 6) {
                    one.account.release();
                } else {
                    messages.erase(messages.begin() + static_cast<std::ptrdiff_t>(index));
                }
            }
            std::size_t sum = 0;
            for (const auto& each : messages) {
                sum += each->account.bytes();
                RC_ASSERT(!each->kept || each->evictions == 0);
            }
            RC_ASSERT(sum == at.budget->counters().used_bytes);
            RC_ASSERT(sum <= small_limits().total_bytes);
        }
        messages.clear();
        RC_ASSERT(at.budget->counters().used_bytes == 0U);
    });
    cr_assert(held);
}
