/// Property test of commits: of concurrent changes to one revision exactly one wins, and an
/// operation takes effect exactly once, even when answers are lost and transactions are applied
/// late.
#include "ferryroad/coordination/configuration/commit.hpp"

#include "ferryroad/base/random.hpp"
#include "test/coordination/configuration/model_table.hpp"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>

using namespace ferryroad;
using namespace ferryroad::coordination::configuration;
using ferryroad::coordination::configuration::testing::commit_plainly;
using ferryroad::coordination::configuration::testing::model_table;

namespace {

constexpr log_limits small_limits{4, 8, 32, 6, 3};

/// One operator's client and the replica of the router that serves it.
struct operator_run {
    commit_request request;
    change_function make_change;
    replica router{small_limits};
    commit_process process;
    commit_step step;

    operator_run(commit_request asked, change_function change)
        : request(asked),
          make_change(change),
          process(asked, change, small_limits),
          step(process.start()) {}

    bool ended() const { return !holds<read_head>() && !holds<catch_up>() && !holds<submit>(); }
    template <typename Step>
    bool holds() const {
        return std::holds_alternative<Step>(step);
    }
    /// The router died or the answer was lost: the client starts again with the same operation id.
    void begin_again() {
        process = commit_process(request, make_change, small_limits);
        step = process.start();
    }
};

/// What happens to one request and its answer.
enum class fault { none, request_lost, answer_lost, late };

/// Transactions whose sender no longer waits for an answer, but which may still arrive.
using late_transactions = std::vector<commit_transaction>;

void take_submit(operator_run& run, model_table& table, late_transactions& late,
                 base::random_source& random) {
    const commit_transaction transaction = std::get<submit>(run.step).transaction;
    const auto met = static_cast<fault>(random.below(4));
    if (met == fault::none) {
        run.step = table.write(transaction)
                       ? run.process.on_committed()
                       : run.process.on_conflict(table.head(), run.router.held());
        return;
    }
    if (met == fault::answer_lost) {
        table.write(transaction);
    } else if (met == fault::late) {
        late.push_back(transaction);
    }
    run.step = run.process.on_answer_lost();
}

void take_step(operator_run& run, model_table& table, late_transactions& late,
               base::random_source& random) {
    if (random.below(12) == 0) {
        run.begin_again();
        return;
    }
    if (run.holds<read_head>()) {
        run.step = run.process.on_head(table.head(), run.router.held());
    } else if (run.holds<catch_up>()) {
        const auto plan = plan_read(run.router.revision(), table.head().head, small_limits);
        if (plan) {
            run.router.on_pull_answer(*table.read(*plan));
        }
        run.step = run.process.on_caught_up(run.router.held());
    } else {
        take_submit(run, table, late, random);
    }
}

std::size_t times_in(const model_table& table, const operation_id& operation) {
    return static_cast<std::size_t>(
        std::count_if(table.history().begin(), table.history().end(),
                      [&](const change& past) { return past.operation == operation; }));
}

/// Sets a value unique to the operation, so that the operation always changes something.
operator_run make_run(int index, std::optional<base::revision> expected) {
    const std::string name = "operation-" + std::to_string(index);
    return {{operation_id(name), author_name("author"), expected}, [name](const resources&) {
                return std::vector<resource_change>{{resource_key("shared"), name}};
            }};
}

/// Many times what a run needs; a run that takes more steps is a livelock.
constexpr int most_steps = 10000;

/// Interleaves the steps of all operators at random until each operation has ended.
void run_all(std::vector<operator_run>& runs, model_table& table) {
    base::seeded_random random(*rc::gen::arbitrary<std::uint64_t>());
    late_transactions late;
    int steps = 0;
    while (std::any_of(runs.begin(), runs.end(), [](const auto& run) { return !run.ended(); })) {
        RC_ASSERT(++steps < most_steps);
        operator_run& run = runs[random.below(runs.size())];
        if (!run.ended()) {
            take_step(run, table, late, random);
        }
        if (!late.empty() && random.below(3) == 0) {
            table.write(late.back());
            late.pop_back();
        }
    }
    for (const commit_transaction& transaction : late) {
        table.write(transaction);
    }
}

void assert_consecutive(const model_table& table) {
    std::uint64_t revision = 0;
    for (const change& past : table.history()) {
        RC_ASSERT(past.revision.value == ++revision);
    }
}

}  // namespace

Test(commit, every_operation_takes_effect_exactly_once) {
    cr_assert(rc::check([] {
        model_table table;
        std::vector<operator_run> runs;
        const int operators = *rc::gen::inRange(1, 6);
        for (int index = 0; index < operators; ++index) {
            runs.push_back(make_run(index, std::nullopt));
        }
        run_all(runs, table);
        for (const operator_run& run : runs) {
            RC_ASSERT(times_in(table, run.request.operation) == 1U);
            RC_ASSERT(run.holds<committed>() || run.holds<already_committed>());
        }
        assert_consecutive(table);
    }));
}

Test(commit, one_of_several_commits_to_a_revision_wins) {
    cr_assert(rc::check([] {
        model_table table;
        const int before = *rc::gen::inRange(0, 6);
        for (int index = 0; index < before; ++index) {
            commit_plainly(table, {{resource_key("old"), std::to_string(index)}}, small_limits);
        }
        const base::revision expected = table.head().head.revision;
        std::vector<operator_run> runs;
        const int operators = *rc::gen::inRange(2, 6);
        for (int index = 0; index < operators; ++index) {
            runs.push_back(make_run(index, expected));
        }
        run_all(runs, table);
        std::size_t winners = 0;
        for (const operator_run& run : runs) {
            const bool won = run.holds<committed>() || run.holds<already_committed>();
            winners += won ? 1 : 0;
            RC_ASSERT(won || run.holds<revision_conflict>());
            RC_ASSERT(times_in(table, run.request.operation) == (won ? 1U : 0U));
        }
        RC_ASSERT(winners == 1U);
        RC_ASSERT(table.head().head.revision.value == expected.value + 1);
    }));
}

Test(commit, a_repeated_operation_is_recognized_after_others) {
    model_table table;
    operator_run first = make_run(1, std::nullopt);
    first.step = first.process.on_head(table.head(), first.router.held());
    cr_assert(table.write(
        std::get<submit>(first.step).transaction));  // The answer to this write is lost.
    for (int index = 0; index < 3; ++index) {
        commit_plainly(table, {{resource_key("shared"), "later" + std::to_string(index)}},
                       small_limits);
    }
    first.begin_again();
    first.step = first.process.on_head(table.head(), first.router.held());
    cr_assert(first.holds<already_committed>());
    cr_assert_eq(std::get<already_committed>(first.step).revision.value, 1);
}

Test(commit, a_change_without_difference_makes_no_revision) {
    model_table table;
    commit_plainly(table, {{resource_key("a"), "1"}}, small_limits);
    const snapshot own{base::revision(1), table.state_at(base::revision(1))};
    commit_process process(
        {operation_id("again"), {}, {}},
        [](const auto&) {
            return std::vector<resource_change>{{resource_key("a"), "1"},
                                                {resource_key("none"), std::nullopt}};
        },
        small_limits);
    cr_assert(std::holds_alternative<unchanged>(process.on_head(table.head(), own)));
}

Test(commit, a_head_older_than_the_replica_is_read_again) {
    model_table table;
    const versioned_head old = table.head();
    commit_plainly(table, {{resource_key("a"), "1"}}, small_limits);
    operator_run run = make_run(1, std::nullopt);
    const snapshot own{base::revision(1), table.state_at(base::revision(1))};
    cr_assert(std::holds_alternative<read_head>(run.process.on_head(old, own)));
}

Test(commit, the_window_of_operations_is_bounded) {
    model_table table;
    const std::size_t many = small_limits.remembered_operations + 20;
    for (std::size_t index = 0; index < many; ++index) {
        commit_plainly(table, {{resource_key("a"), std::to_string(index)}}, small_limits);
    }
    const head_row head = table.head().head;
    cr_assert_eq(head.recent.size(), small_limits.remembered_operations);
    cr_assert_eq(head.recent.back().revision.value, many);
    cr_assert_eq(head.snapshot.value, many / small_limits.snapshot_interval * 4);
}
