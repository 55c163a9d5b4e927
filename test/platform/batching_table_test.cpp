/// Group commit in virtual time: many callers share few calls, and each gets the outcome of its own
/// transaction, also when the platform fails.
#include "ferryroad/platform/batching_table.hpp"

#include "bench/simulation/virtual_scheduler.hpp"
#include "emulator/platform/emulated_services.hpp"

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

struct table_fixture {
    bench::simulation::virtual_time time{1};
    bench::simulation::virtual_scheduler scheduler{time, 1};
    emulator::platform_model model{unlimited()};
    emulator::emulated_table direct{model, scheduler};
    counting_table counted{direct};
    platform::batching_table table;
    std::vector<std::optional<outcomes>> results;
    std::vector<base::monotonic_time> completed_at;

    explicit table_fixture(platform::batching_limits limits = {})
        : table(scheduler, counted, limits) {}
    ~table_fixture() { scheduler.kill(); }

    /// Caller `index` inserts `key` with its index as the value, if the row is absent.
    runtime::task<void> claim(std::size_t index, std::string key) {
        std::vector<transaction> work;
        work.push_back({{{row_key(key), row_version(0)}}, {{row_key(key), std::to_string(index)}}});
        results[index] = co_await table.transact(std::move(work));
        completed_at[index] = scheduler.now();
    }
    /// The same, but cancelled after `cancel_after`.
    runtime::task<void> claim_within(std::size_t index, std::string key,
                                     base::duration cancel_after) {
        using boost::asio::experimental::awaitable_operators::operator||;
        co_await (claim(index, key) || scheduler.sleep_for(cancel_after));
    }
    void start_claim(std::string key) {
        const std::size_t index = add_caller();
        scheduler.spawn("claim", claim(index, std::move(key)));
    }
    std::size_t add_caller() {
        results.emplace_back();
        completed_at.emplace_back();
        return results.size() - 1;
    }
    void run_for(base::duration length) { time.run_until(time.now() + length); }

    /// @return the index of the caller whose value is stored under `key`; empty if the row is
    /// absent.
    std::string owner(const std::string& key) {
        const auto rows = model.read({row_key(key)});
        return rows.empty() ? "" : rows[0].value;
    }
    std::size_t count(error_code code) const {
        return static_cast<std::size_t>(
            std::count_if(results.begin(), results.end(), [code](const auto& outcome) {
                return outcome && !*outcome && outcome->error().code == code;
            }));
    }
    std::size_t committed() const {
        return static_cast<std::size_t>(std::count_if(
            results.begin(), results.end(),
            [](const auto& outcome) { return outcome && *outcome && (**outcome)[0].committed; }));
    }
};

constexpr std::size_t callers = 100;

void start_claims(table_fixture& fixture) {
    for (std::size_t index = 0; index < callers; ++index) {
        fixture.start_claim("k" + std::to_string(index));
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
    table_fixture fixture;
    fixture.start_claim("a");
    fixture.start_claim("b");
    fixture.run_for(1s);
    read_outcome reads;
    const std::size_t before = fixture.counted.calls;
    const auto read = [&](std::vector<row_key> keys, std::string& into) -> runtime::task<void> {
        const auto rows = co_await fixture.table.read(std::move(keys));
        for (const platform::row& row : *rows) {
            into += row.key.value;
        }
    };
    fixture.scheduler.spawn("read",
                            read({row_key("b"), row_key("none"), row_key("a")}, reads.first));
    fixture.scheduler.spawn("read", read({row_key("a"), row_key("a")}, reads.second));
    fixture.run_for(1s);
    reads.calls = fixture.counted.calls - before;
    return reads;
}

/// Runs callers that compete for a few keys, some of them cancelled, against a platform with random
/// rate limits, lost responses and outages; then checks each outcome against the table.
void check_random_run(std::uint64_t seed) {
    base::seeded_random random(seed);
    table_fixture fixture;
    for (int step = 0; step < 60; ++step) {
        fixture.model.set_faults(faults_with(
            random.below(4) == 0 ? std::optional<double>(2.0) : std::nullopt,
            static_cast<std::uint32_t>(random.below(5) == 0 ? 1 : 0), random.below(6) == 0));
        for (std::uint64_t caller = random.below(4); caller > 0; --caller) {
            const std::size_t index = fixture.add_caller();
            const auto cancel_after = std::chrono::milliseconds(random.below(3000));
            fixture.scheduler.spawn(
                "claim",
                fixture.claim_within(index, "k" + std::to_string(random.below(40)), cancel_after));
        }
        fixture.run_for(std::chrono::milliseconds(random.below(300)));
    }
    fixture.run_for(60s);
    RC_ASSERT(fixture.time.failures().empty());
    std::map<std::string, std::string> owners;
    for (const platform::row& row : fixture.model.scan("", row_key(""), 1000)) {
        owners[row.value] = row.key.value;
    }
    for (std::size_t index = 0; index < fixture.results.size(); ++index) {
        const bool owns = owners.contains(std::to_string(index));
        const auto& outcome = fixture.results[index];
        if (!outcome) {
            continue;  // Cancelled: the claim may have been committed or not.
        }
        if (*outcome) {
            RC_ASSERT((**outcome)[0].committed == owns);
        } else if (outcome->error().code != error_code::answer_lost) {
            RC_ASSERT(!owns);  // Rate-limited or unavailable: the call had no effect.
        }
    }
}

bool cancelled_claim_is_withdrawn() {
    platform::batching_limits limits;
    limits.pace.calls_per_second = 1;
    limits.pace.burst = 1;
    table_fixture fixture(limits);
    fixture.start_claim("first");  // Uses the burst; the next call may be sent a second later.
    fixture.run_for(500ms);
    const std::size_t index = fixture.add_caller();
    fixture.scheduler.spawn("claim", fixture.claim_within(index, "cancelled", 100ms));
    fixture.start_claim("second");
    fixture.run_for(10s);
    return fixture.committed() == 2 && !fixture.results[index] &&
           fixture.owner("cancelled").empty();
}

}  // namespace

Test(batching_table, many_claims_cost_few_calls) {
    table_fixture fixture;
    start_claims(fixture);
    fixture.run_for(10s);
    cr_assert_eq(fixture.committed(), callers);
    cr_assert_leq(fixture.counted.calls, 3U, "%zu calls", fixture.counted.calls);
    cr_assert_geq(fixture.counted.most_transactions, callers / 2);
}

Test(batching_table, keeps_its_rate_limit_under_steady_load) {
    platform::batching_limits limits;
    limits.pace.calls_per_second = 2;
    table_fixture fixture(limits);
    for (std::size_t index = 0; index < 500; ++index) {
        fixture.start_claim("k" + std::to_string(index));
        fixture.run_for(20ms);
    }
    fixture.run_for(5s);
    cr_assert_eq(fixture.committed(), 500U);
    cr_assert_leq(fixture.counted.calls, 2U * 10 + 4, "%zu calls in 10 s", fixture.counted.calls);
}

Test(batching_table, refused_calls_are_retried_and_commit_once) {
    platform::batching_limits limits;
    limits.batch.wait = 30s;
    table_fixture fixture(limits);
    fixture.model.set_faults(faults_with(0.5, 0, false));
    for (int turn = 0; turn < 5; ++turn) {
        fixture.start_claim("k" + std::to_string(turn));
        fixture.run_for(1s);
    }
    fixture.run_for(60s);
    cr_assert_eq(fixture.committed(), 5U);
    for (std::size_t index = 0; index < 5; ++index) {
        const bool own = fixture.owner("k" + std::to_string(index)) == std::to_string(index);
        cr_assert(own, "caller %zu", index);
    }
}

Test(batching_table, wait_beyond_the_deadline_is_refused_at_once) {
    table_fixture fixture;
    fixture.model.set_faults(faults_with(0.01, 0, false));
    fixture.start_claim("a");  // The only call that is accepted within 100 s.
    fixture.run_for(1s);
    const base::monotonic_time asked = fixture.scheduler.now();
    fixture.start_claim("b");  // Its call is refused, which starts a pause.
    fixture.run_for(1s);
    fixture.start_claim("c");  // Refused immediately because of the pause.
    fixture.run_for(30s);
    cr_assert_eq(fixture.committed(), 1U);
    cr_assert_eq(fixture.count(error_code::rate_limited), 2U);
    cr_assert(fixture.completed_at[1] - asked < 100ms);
    cr_assert(fixture.completed_at[2] - asked == 1s);
    cr_assert(*fixture.results[2]->error().retry_after > 60s);
}

Test(batching_table, lost_answer_is_reported_to_every_caller) {
    table_fixture fixture;
    fixture.model.set_faults(faults_with({}, 100, false));
    start_claims(fixture);
    fixture.run_for(10s);
    cr_assert_eq(fixture.count(error_code::answer_lost), callers);
    cr_assert(fixture.owner("k7") == "7");
}

Test(batching_table, outage_is_reported_to_every_caller) {
    table_fixture fixture;
    fixture.model.set_faults(faults_with({}, 0, true));
    start_claims(fixture);
    fixture.run_for(10s);
    cr_assert_eq(fixture.count(error_code::unavailable), callers);
}

Test(batching_table, only_one_of_the_competing_claims_commits) {
    table_fixture fixture;
    for (std::size_t index = 0; index < callers; ++index) {
        fixture.start_claim("same");
    }
    fixture.run_for(10s);
    cr_assert_eq(fixture.committed(), 1U);
    cr_assert_leq(fixture.counted.calls, 3U);
}

Test(batching_table, full_queue_refuses_at_once) {
    platform::batching_limits limits;
    limits.batch.queued_items = 10;
    table_fixture fixture(limits);
    start_claims(fixture);
    fixture.run_for(10s);
    cr_assert_eq(fixture.count(error_code::rate_limited) + fixture.committed(), callers);
    cr_assert_geq(fixture.committed(), 10U);
    cr_assert_geq(fixture.count(error_code::rate_limited), callers / 2);
}

Test(batching_table, cancelled_caller_withdraws_its_claim) {
    cr_assert(cancelled_claim_is_withdrawn());
}

Test(batching_table, concurrent_reads_share_a_call) {
    const read_outcome reads = concurrent_reads();
    cr_assert(reads.first == "ba", "%s", reads.first.c_str());
    cr_assert(reads.second == "aa", "%s", reads.second.c_str());
    cr_assert_leq(reads.calls, 2U);
}

Test(batching_table, outcomes_match_the_table_under_random_faults) {
    cr_assert(rc::check("each caller's outcome is what the table holds",
                        [](std::uint64_t seed) { check_random_run(seed); }));
}
