/// Naming times are passed from one router to another through the table, converted by its clock.
#include "ferryroad/relay/naming_record_sync.hpp"

#include "test/http/loopback.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

using namespace ferryroad;
using namespace ferryroad::relay;
using namespace std::chrono_literals;

namespace {

/// A table in memory that can be made unavailable.
class memory_table final : public platform::table {
  public:
    runtime::task<platform::result<std::vector<platform::transaction_outcome>>> transact(
        std::vector<platform::transaction> transactions) override {
        for (const platform::transaction& one : transactions) {
            for (const platform::row_write& write : one.writes) {
                rows[write.key.value] = *write.value;
            }
        }
        co_return std::vector<platform::transaction_outcome>(transactions.size());
    }
    runtime::task<platform::result<std::vector<platform::row>>> read(
        std::vector<platform::row_key> keys) override {
        std::vector<platform::row> found;
        if (down) {
            co_return platform::error{platform::error_code::unavailable, "down", std::nullopt};
        }
        for (const platform::row_key& key : keys) {
            if (rows.contains(key.value)) {
                found.push_back({key, rows[key.value], platform::row_version(1)});
            }
        }
        co_return found;
    }
    runtime::task<platform::result<std::vector<platform::row>>> scan(std::string, platform::row_key,
                                                                     std::uint32_t) override {
        co_return std::vector<platform::row>{};
    }
    std::map<std::string, std::string> rows;
    bool down = false;
};

/// A table that checks conditions. Writes may get no answer and be carried out later.
class late_table final : public platform::table {
  public:
    runtime::task<platform::result<std::vector<platform::transaction_outcome>>> transact(
        std::vector<platform::transaction> transactions) override {
        if (loses_answers) {
            late.insert(late.end(), transactions.begin(), transactions.end());
            co_return platform::error{platform::error_code::unavailable, "no answer", std::nullopt};
        }
        std::vector<platform::transaction_outcome> outcomes;
        for (const platform::transaction& one : transactions) {
            outcomes.push_back(apply(one));
        }
        co_return outcomes;
    }
    runtime::task<platform::result<std::vector<platform::row>>> read(
        std::vector<platform::row_key>) override {
        co_return stored ? std::vector<platform::row>{*stored} : std::vector<platform::row>{};
    }
    runtime::task<platform::result<std::vector<platform::row>>> scan(std::string, platform::row_key,
                                                                     std::uint32_t) override {
        co_return std::vector<platform::row>{};
    }
    void carry_out_late_writes() {
        for (const platform::transaction& one : late) {
            apply(one);
        }
        late.clear();
    }

    std::optional<platform::row> stored;
    std::vector<platform::transaction> late;
    bool loses_answers = false;

  private:
    platform::transaction_outcome apply(const platform::transaction& change) {
        const platform::row_version current = stored ? stored->version : platform::row_version();
        for (const platform::row_condition& condition : change.conditions) {
            if (condition.version != current) {
                return {false, {}, stored.value_or(platform::row{condition.key, {}, {}})};
            }
        }
        for (const platform::row_write& write : change.writes) {
            stored = platform::row{write.key, *write.value, platform::row_version(++m_last)};
        }
        return {true, platform::row_version(m_last), std::nullopt};
    }

    std::uint64_t m_last = 0;
};

struct router {
    router(ferryroad::test::loopback& loop, platform::table& table, bool leads)
        : journal(loop.scheduler, table, policies, [leads] { return leads; }, {5ms, 2ms}) {}
    policy_source policies{policy_staleness_limits{}};
    naming_record_sync journal;
};

void run_for(ferryroad::test::loopback& loop, base::duration time) {
    loop.context.restart();
    cr_assert(loop.run([&]() -> runtime::task<void> { co_await loop.scheduler.sleep_for(time); }));
}

}  // namespace

Test(owner_clock, conversions_are_lower_bounds) {
    owner_clock clock;
    const base::monotonic_time asked(100s);
    clock.observe(asked, asked + 10ms, 5000ms);
    cr_assert_leq(clock.to_owner_earliest(asked), 5000);
    cr_assert_geq(clock.to_owner_earliest(asked), 4990);
    cr_assert(clock.to_local_earliest(5000) <= asked);
    clock.observe(asked + 1s, asked + 1s, 6000ms);
    cr_assert_eq(clock.to_owner_earliest(asked), 5000);
    cr_assert(clock.to_local_earliest(5000) == asked);
}

Test(naming_record_sync, a_later_router_reads_when_weights_were_named) {
    ferryroad::test::loopback loop;
    memory_table table;
    router first(loop, table, true);
    const base::monotonic_time now = loop.scheduler.now();
    first.journal.clock().observe(now, now, 70s);
    first.policies.confirm(now - 4s);
    first.policies.add_named_version("m", 2);
    first.policies.confirm(now - 1s);
    first.journal.start();
    run_for(loop, 30ms);
    cr_assert_eq(table.rows.size(), 1);

    router second(loop, table, false);
    const base::monotonic_time later = loop.scheduler.now();
    second.policies.add_named_version("m", 2);
    second.policies.add_named_version("m", 3);
    cr_assert(second.policies.versions_of("m").outdated_since(1) == base::monotonic_time{});
    second.journal.clock().observe(later, later, 70s + (later - now) / 1ms * 1ms);
    second.journal.start();
    run_for(loop, 30ms);
    const auto of_first = *second.policies.versions_of("m").outdated_since(1);
    const auto of_second = *second.policies.versions_of("m").outdated_since(2);
    cr_assert(of_first <= now - 4s + 2ms);
    cr_assert(of_first >= now - 4s - 10ms);
    cr_assert(of_second <= now - 1s + 2ms);
    cr_assert(of_second >= now - 1s - 10ms);
}

Test(naming_record_sync, retries_an_unavailable_table_and_writes_only_when_leading) {
    ferryroad::test::loopback loop;
    memory_table table;
    table.down = true;
    router one(loop, table, false);
    one.journal.clock().observe(loop.scheduler.now(), loop.scheduler.now(), 1s);
    one.policies.add_named_version("m", 2);
    one.policies.confirm(loop.scheduler.now());
    const base::monotonic_time started = loop.scheduler.now();
    one.journal.start();
    run_for(loop, 30ms);
    cr_assert(*one.policies.outdated_since("m", 1) >= started);
    table.down = false;
    run_for(loop, 30ms);
    cr_assert(*one.policies.outdated_since("m", 1) < started);
    cr_assert(table.rows.empty());
}

// Guards against: a write of an older record, which had got no answer, was carried out after a
// newer one, and routers that started then did not know the newest version.
Test(naming_record_sync, a_late_write_does_not_replace_a_newer_record) {
    ferryroad::test::loopback loop;
    late_table table;
    router one(loop, table, true);
    const base::monotonic_time now = loop.scheduler.now();
    one.journal.clock().observe(now, now, 70s);
    one.policies.confirm(now);
    one.policies.add_named_version("m", 2);
    table.loses_answers = true;
    one.journal.start();
    run_for(loop, 30ms);
    cr_assert_not(table.late.empty());
    table.loses_answers = false;
    one.policies.add_named_version("m", 3);
    run_for(loop, 30ms);
    table.carry_out_late_writes();

    router second(loop, table, false);
    second.policies.add_named_version("m", 2);  // The owner's row has fallen back.
    second.journal.clock().observe(loop.scheduler.now(), loop.scheduler.now(), 71s);
    second.journal.start();
    run_for(loop, 30ms);
    cr_assert_eq(second.policies.versions_of("m").newest(), 3);
}

Test(naming_record_sync, the_next_leader_continues_the_record) {
    ferryroad::test::loopback loop;
    late_table table;
    router first(loop, table, true);
    router second(loop, table, true);
    for (router* one : {&first, &second}) {
        one->journal.clock().observe(loop.scheduler.now(), loop.scheduler.now(), 70s);
        one->policies.confirm(loop.scheduler.now());
        one->policies.add_named_version("m", 2);
        one->journal.start();
    }
    run_for(loop, 30ms);
    second.policies.add_named_version("m", 3);
    run_for(loop, 30ms);
    cr_assert_eq(first.policies.versions_of("m").newest(), 3, "it has read the other's record");
}
