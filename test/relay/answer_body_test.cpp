/// Bodies of answers that are received whole: what they charge, and that it is returned.
#include "ferryroad/relay/answer_body.hpp"

#include <criterion/criterion.h>

#include <memory>
#include <string>

using namespace ferryroad;
using namespace ferryroad::relay;

namespace {

constexpr std::size_t large = std::size_t{256} * 1024;

struct stopped_clock final : base::clock {
    base::monotonic_time now() const override { return {}; }
    std::int64_t unix_milliseconds() const override { return 0; }
};

struct fixture {
    explicit fixture(std::size_t total) {
        runtime::memory_limits limits;
        limits.total_bytes = total;
        limits.small_share = 0;
        budget = std::make_shared<runtime::memory_budget>(limits);
    }
    std::size_t used() const { return budget->counters().used_bytes; }

    stopped_clock clock;
    std::shared_ptr<runtime::memory_budget> budget;
};

}  // namespace

Test(answer_body, a_body_is_charged_until_it_is_released) {
    fixture at(2 * large);
    answer_body body(at.budget, at.clock, large);
    body.begin({{"Content-Length", std::to_string(large)}});
    cr_assert_eq(at.used(), 0U);
    cr_assert(body.append(std::string(large, 'x')) == append_result::appended);
    cr_assert_eq(at.used(), large);
    cr_assert_eq(body.take().size(), large);
    cr_assert_eq(body.size(), 0U);
    cr_assert_eq(at.used(), large);
    body.release();
    cr_assert_eq(at.used(), 0U);
}

Test(answer_body, the_next_body_replaces_one_that_was_not_taken) {
    fixture at(2 * large);
    answer_body body(at.budget, at.clock, large);
    body.begin({});
    cr_assert(body.append(std::string(large, 'x')) == append_result::appended);
    body.begin({});
    cr_assert_eq(body.size(), 0U);
    cr_assert_eq(at.used(), 0U);
}

Test(answer_body, the_budget_gets_back_what_a_refused_body_had) {
    fixture at(large);
    {
        answer_body first(at.budget, at.clock, large);
        answer_body second(at.budget, at.clock, large);
        first.begin({});
        second.begin({});
        cr_assert(first.append(std::string(large / 2, 'x')) == append_result::appended);
        cr_assert(second.append(std::string(large, 'x')) == append_result::no_memory);
        cr_assert_eq(at.used(), large / 2);
        second.clear();
        cr_assert(first.append(std::string(large, 'x')) == append_result::too_large);
    }
    cr_assert_eq(at.used(), 0U);
}

Test(answer_body, without_a_budget_only_its_size_is_limited) {
    stopped_clock clock;
    answer_body body(nullptr, clock, large);
    body.begin({{"Content-Length", "no number"}});
    cr_assert(body.append(std::string(large, 'x')) == append_result::appended);
    cr_assert(body.append("x") == append_result::too_large);
}
