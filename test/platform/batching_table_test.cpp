/// Group commit in virtual time: few calls for many callers, and to each its own true outcome.
#include "ferryroad/platform/batching_table.hpp"

#include "bench/simulation/virtual_scheduler.hpp"
#include "emulator/platform/model_services.hpp"

#include <boost/asio/experimental/awaitable_operators.hpp>
#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace ferryroad;
using namespace std::chrono_literals;
using platform::error_code;
using platform::row_key;
using platform::row_version;
using platform::transaction;
using outcomes = platform::result<std::vector<platform::transaction_outcome>>;

namespace {

/// Counts the calls that reach the platform.
class counting_table final : public platform::table {
  public:
    explicit counting_table(platform::table& inner) : inner_(inner) {}

    runtime::task<outcomes> transact(std::vector<transaction> transactions) override {
        ++calls;
        most_transactions = std::max(most_transactions, transactions.size());
        return inner_.transact(std::move(transactions));
    }
    runtime::task<platform::result<std::vector<platform::row>>> read(
        std::vector<row_key> keys) override {
        ++calls;
        return inner_.read(std::move(keys));
    }
    runtime::task<platform::result<std::vector<platform::row>>> scan(std::string prefix,
                                                                     row_key after,
                                                                     std::uint32_t limit) override {
        ++calls;
        return inner_.scan(std::move(prefix), std::move(after), limit);
    }

    std::size_t calls = 0;
    std::size_t most_transactions = 0;

  private:
    platform::table& inner_;
};

emulator::platform_options unlimited() {
    emulator::platform_options options;
    options.table_rate = 0;
    options.call_time = 20ms;
    return options;
}

struct fixture {
    bench::simulation::virtual_time time{1};
    bench::simulation::virtual_scheduler scheduler{time, 1};
    emulator::platform_model model{unlimited()};
    emulator::model_table direct{model, scheduler};
    counting_table counted{direct};
    platform::batching_table table;
    std::vector<std::optional<outcomes>> came;
    std::vector<base::monotonic_time> came_at;

    explicit fixture(platform::batching_limits limits = {}) : table(scheduler, counted, limits) {}
    ~fixture() { scheduler.kill(); }

    /// Caller `index` inserts `key`, if absent, with its own index as the value.
    runtime::task<void> claim(std::size_t index, std::string key) {
        std::vector<transaction> work;
        work.push_back({{{row_key(key), row_version(0)}}, {{row_key(key), std::to_string(index)}}});
        came[index] = co_await table.transact(std::move(work));
        came_at[index] = scheduler.now();
    }
    /// The same, cancelled after `patience`.
    runtime::task<void> claim_within(std::size_t index, std::string key, base::duration patience) {
        using boost::asio::experimental::awaitable_operators::operator||;
        co_await (claim(index, key) || scheduler.sleep_for(patience));
    }
    void start_claim(std::string key) {
        const std::size_t index = add_caller();
        scheduler.spawn("claim", claim(index, std::move(key)));
    }
    std::size_t add_caller() {
        came.emplace_back();
        came_at.emplace_back();
        return came.size() - 1;
    }
    void run_for(base::duration length) { time.run_until(time.now() + length); }

    /// @return the caller whose value stands at `key`.
    std::string owner(const std::string& key) {
        const auto rows = model.read({row_key(key)});
        return rows.empty() ? "" : rows[0].value;
    }
    std::size_t count(error_code code) const {
        return static_cast<std::size_t>(
            std::count_if(came.begin(), came.end(), [code](const auto& outcome) {
                return outcome && !*outcome && outcome->error().code == code;
            }));
    }
    std::size_t committed() const {
        return static_cast<std::size_t>(std::count_if(
            came.begin(), came.end(),
            [](const auto& outcome) { return outcome && *outcome && (**outcome)[0].committed; }));
    }
};

constexpr std::size_t callers = 100;

void start_claims(fixture& one) {
    for (std::size_t index = 0; index < callers; ++index) {
        one.start_claim("k" + std::to_string(index));
    }
}

emulator::platform_faults faults_with(std::optional<double> rate, std::uint32_t lost_answers,
                                      bool outage) {
    emulator::platform_faults faults;
    faults.rate = rate;
    faults.lost_answers = lost_answers;
    faults.outage = outage;
    return faults;
}

struct read_outcome {
    std::size_t calls = 0;
    std::string first;
    std::string second;
};

read_outcome concurrent_reads() {
    fixture one;
    one.start_claim("a");
    one.start_claim("b");
    one.run_for(1s);
    read_outcome came;
    const std::size_t before = one.counted.calls;
    const auto read = [&](std::vector<row_key> keys, std::string& into) -> runtime::task<void> {
        const auto rows = co_await one.table.read(std::move(keys));
        for (const platform::row& row : *rows) {
            into += row.key.value;
        }
    };
    one.scheduler.spawn("read", read({row_key("b"), row_key("none"), row_key("a")}, came.first));
    one.scheduler.spawn("read", read({row_key("a"), row_key("a")}, came.second));
    one.run_for(1s);
    came.calls = one.counted.calls - before;
    return came;
}

/// Callers with few keys and a platform that fails in every way at random times.
void check_random_run(std::uint64_t seed) {
    base::seeded_random random(seed);
    fixture one;
    for (int step = 0; step < 60; ++step) {
        one.model.set_faults(faults_with(
            random.below(4) == 0 ? std::optional<double>(2.0) : std::nullopt,
            static_cast<std::uint32_t>(random.below(5) == 0 ? 1 : 0), random.below(6) == 0));
        for (std::uint64_t caller = random.below(4); caller > 0; --caller) {
            const std::size_t index = one.add_caller();
            const auto patience = std::chrono::milliseconds(random.below(3000));
            one.scheduler.spawn(
                "claim", one.claim_within(index, "k" + std::to_string(random.below(40)), patience));
        }
        one.run_for(std::chrono::milliseconds(random.below(300)));
    }
    one.run_for(60s);
    RC_ASSERT(one.time.failures().empty());
    std::map<std::string, std::string> owners;
    for (const platform::row& row : one.model.scan("", row_key(""), 1000)) {
        owners[row.value] = row.key.value;
    }
    for (std::size_t index = 0; index < one.came.size(); ++index) {
        const bool owns = owners.contains(std::to_string(index));
        const auto& outcome = one.came[index];
        if (!outcome) {
            continue;  // Cancelled: either.
        }
        if (*outcome) {
            RC_ASSERT((**outcome)[0].committed == owns);
        } else if (outcome->error().code != error_code::answer_lost) {
            RC_ASSERT(!owns);  // Refused and down: nothing was changed.
        }
    }
}

bool cancelled_claim_is_taken_back() {
    platform::batching_limits limits;
    limits.pace.calls_per_second = 1;
    limits.pace.burst = 1;
    fixture one(limits);
    one.start_claim("first");  // Takes the turn; the next one is a second away.
    one.run_for(500ms);
    const std::size_t index = one.add_caller();
    one.scheduler.spawn("claim", one.claim_within(index, "cancelled", 100ms));
    one.start_claim("second");
    one.run_for(10s);
    return one.committed() == 2 && !one.came[index] && one.owner("cancelled").empty();
}

}  // namespace

Test(batching_table, many_claims_cost_few_calls) {
    fixture one;
    start_claims(one);
    one.run_for(10s);
    cr_assert_eq(one.committed(), callers);
    cr_assert_leq(one.counted.calls, 3U, "%zu calls", one.counted.calls);
    cr_assert_geq(one.counted.most_transactions, callers / 2);
}

Test(batching_table, keeps_its_rate_under_steady_load) {
    platform::batching_limits limits;
    limits.pace.calls_per_second = 2;
    fixture one(limits);
    for (std::size_t index = 0; index < 500; ++index) {
        one.start_claim("k" + std::to_string(index));
        one.run_for(20ms);
    }
    one.run_for(5s);
    cr_assert_eq(one.committed(), 500U);
    cr_assert_leq(one.counted.calls, 2U * 10 + 4, "%zu calls in 10 s", one.counted.calls);
}

Test(batching_table, refused_calls_are_tried_again_and_commit_once) {
    platform::batching_limits limits;
    limits.batch.wait = 30s;
    fixture one(limits);
    one.model.set_faults(faults_with(0.5, 0, false));
    for (int turn = 0; turn < 5; ++turn) {
        one.start_claim("k" + std::to_string(turn));
        one.run_for(1s);
    }
    one.run_for(60s);
    cr_assert_eq(one.committed(), 5U);
    for (std::size_t index = 0; index < 5; ++index) {
        const bool own = one.owner("k" + std::to_string(index)) == std::to_string(index);
        cr_assert(own, "caller %zu", index);
    }
}

Test(batching_table, hopeless_wait_is_refused_at_once) {
    fixture one;
    one.model.set_faults(faults_with(0.01, 0, false));
    one.start_claim("a");  // The only call of the next 100 s.
    one.run_for(1s);
    const base::monotonic_time asked = one.scheduler.now();
    one.start_claim("b");  // Learns of the refusal.
    one.run_for(1s);
    one.start_claim("c");  // Knows it already.
    one.run_for(30s);
    cr_assert_eq(one.committed(), 1U);
    cr_assert_eq(one.count(error_code::rate_limited), 2U);
    cr_assert(one.came_at[1] - asked < 100ms);
    cr_assert(one.came_at[2] - asked == 1s);
    cr_assert(*one.came[2]->error().retry_after > 60s);
}

Test(batching_table, lost_answer_goes_to_every_caller_of_the_call) {
    fixture one;
    one.model.set_faults(faults_with({}, 100, false));
    start_claims(one);
    one.run_for(10s);
    cr_assert_eq(one.count(error_code::answer_lost), callers);
    cr_assert(one.owner("k7") == "7");
}

Test(batching_table, outage_goes_to_every_caller) {
    fixture one;
    one.model.set_faults(faults_with({}, 0, true));
    start_claims(one);
    one.run_for(10s);
    cr_assert_eq(one.count(error_code::unavailable), callers);
}

Test(batching_table, one_of_two_claims_in_a_call_wins) {
    fixture one;
    for (std::size_t index = 0; index < callers; ++index) {
        one.start_claim("same");
    }
    one.run_for(10s);
    cr_assert_eq(one.committed(), 1U);
    cr_assert_leq(one.counted.calls, 3U);
}

Test(batching_table, full_queue_refuses_at_once) {
    platform::batching_limits limits;
    limits.batch.queued_items = 10;
    fixture one(limits);
    start_claims(one);
    one.run_for(10s);
    cr_assert_eq(one.count(error_code::rate_limited) + one.committed(), callers);
    cr_assert_geq(one.committed(), 10U);
    cr_assert_geq(one.count(error_code::rate_limited), callers / 2);
}

Test(batching_table, cancelled_caller_takes_its_claim_back) {
    cr_assert(cancelled_claim_is_taken_back());
}

Test(batching_table, concurrent_reads_share_a_call) {
    const read_outcome came = concurrent_reads();
    cr_assert(came.first == "ba", "%s", came.first.c_str());
    cr_assert(came.second == "aa", "%s", came.second.c_str());
    cr_assert_leq(came.calls, 2U);
}

Test(batching_table, outcomes_are_true_under_random_faults) {
    cr_assert(rc::check("each caller's outcome is what the table holds",
                        [](std::uint64_t seed) { check_random_run(seed); }));
}
