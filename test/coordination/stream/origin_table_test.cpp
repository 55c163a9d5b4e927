/// Tests how long origins of streams are kept, and what the history of a pool's versions tells.
#include "ferryroad/coordination/stream/origin_table.hpp"

#include "ferryroad/coordination/stream/origin_replicas.hpp"
#include "ferryroad/coordination/stream/version_history.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <string>

using namespace ferryroad;
using namespace ferryroad::coordination::stream;
using namespace std::chrono_literals;

namespace {

const base::monotonic_time start{};
const base::pool_name pool("p");
const software_version v1("v1");
const software_version v2("v2");

aged_origin origin_of(const std::string& attempt, base::duration age = {}) {
    return {{key_of(base::request_id(attempt)), pool, v1}, age};
}

stream_key key(const std::string& attempt) {
    return key_of(base::request_id(attempt));
}

std::vector<base::router_name> routers_named(std::size_t count) {
    std::vector<base::router_name> names;
    for (std::size_t index = 0; index < count; ++index) {
        names.emplace_back("r" + std::to_string(index));
    }
    return names;
}

}  // namespace

Test(origin_table, keeps_an_origin_for_the_retention_time) {
    origin_table table({10s, 100});
    table.record(origin_of("a"), start);
    table.record(origin_of("b"), start + 9s);
    cr_assert(table.find(key("a"), start + 9s)->age == 9s);
    table.record(origin_of("c"), start + 10s);
    cr_assert_not(table.find(key("a"), start + 10s));
    cr_assert(table.find(key("b"), start + 10s)->origin == origin_of("b").origin);
}

Test(origin_table, removes_the_oldest_origins_beyond_its_bound) {
    origin_table table({10s, 2});
    for (const char* attempt : {"a", "b", "c"}) {
        table.record(origin_of(attempt), start);
    }
    cr_assert_eq(table.size(), 2);
    cr_assert_not(table.find(key("a"), start));
}

Test(origin_table, keeps_the_first_origin_of_a_stream) {
    origin_table table;
    table.record(origin_of("a", 2s), start);
    aged_origin other = origin_of("a");
    other.origin.software = v2;
    table.record(other, start + 1s);
    cr_assert(table.find(key("a"), start + 1s)->origin.software == v1);
    cr_assert(table.find(key("a"), start + 1s)->age == 3s);
    cr_assert_eq(table.size(), 1);
}

Test(version_history, a_version_is_not_the_sole_one_soon_after_another_was_listed) {
    version_history history;
    history.observe(pool, {v1, v2}, start);
    cr_assert_not(history.sole_version(pool, 10s, start));
    history.observe(pool, {v2}, start + 1s);
    cr_assert_not(history.sole_version(pool, 10s, start + 10s));
    history.observe(pool, {v2}, start + 10s);
    cr_assert(history.sole_version(pool, 10s, start + 11s) == v2);
}

Test(version_history, a_version_that_replaced_another_at_once_is_not_the_sole_one) {
    version_history history;
    history.observe(pool, {v1}, start);
    cr_assert(history.sole_version(pool, 10s, start) == v1);
    history.observe(pool, {v2}, start + 20s);
    cr_assert_not(history.sole_version(pool, 10s, start + 29s));
    cr_assert(history.sole_version(pool, 10s, start + 30s) == v2);
}

Test(version_history, the_only_version_seen_by_a_new_process_is_the_sole_one) {
    version_history history;
    cr_assert_not(history.sole_version(pool, 10s, start));
    history.observe(pool, {v1}, start);
    cr_assert(history.sole_version(pool, 10s, start + 1s) == v1);
}

Test(version_history, what_may_have_been_missed_is_not_counted_as_observed) {
    version_history history;
    history.observe(pool, {v1}, start);
    cr_assert_not(history.observed_since(pool), "the list was never confirmed");
    history.confirm(start, 3s);
    history.confirm(start + 3s, 3s);
    cr_assert(history.observed_since(pool) == start);
    history.confirm(start + 7s, 3s);
    cr_assert(history.observed_since(pool) == start + 7s);
    history.confirm(start + 5s, 3s);
    history.confirm(start + 9s, 3s);
    cr_assert(history.observed_since(pool) == start + 7s);
    const base::pool_name later("later");
    history.observe(later, {v2}, start + 9s);
    cr_assert(history.observed_since(later) == start + 9s);
}

// The replicas are chosen without the stream's own router; routers that are asked include it.
Test(origin_replicas, four_routers_asked_include_the_three_replicas_whichever_router_began) {
    for (const std::size_t count : {4U, 7U, 79U, 985U}) {
        const auto all = routers_named(count);
        for (const char* attempt : {"a", "b", "c", "d"}) {
            auto others = all;
            others.erase(others.begin() + static_cast<std::ptrdiff_t>(count / 2));
            const auto asked = ranked_routers(key(attempt), all, 4);
            for (const base::router_name& replica : ranked_routers(key(attempt), others, 3)) {
                cr_assert(std::find(asked.begin(), asked.end(), replica) != asked.end());
            }
        }
    }
}

Test(origin_replicas, streams_are_spread_over_all_routers) {
    constexpr std::size_t count = 20;
    constexpr std::size_t streams = 4000;
    std::map<base::router_name, std::size_t> kept;
    const auto all = routers_named(count);
    for (std::size_t number = 0; number < streams; ++number) {
        for (const auto& replica : ranked_routers(key(std::to_string(number)), all, 3)) {
            ++kept[replica];
        }
    }
    cr_assert_eq(kept.size(), count);
    for (const auto& [name, number] : kept) {
        cr_assert_lt(number, 2 * 3 * streams / count);
    }
}
