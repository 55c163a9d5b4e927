/// Heartbeat rows: routers count each other by rows that change, and no longer count a router whose
/// row has stopped changing.
#include "ferryroad/leases/presence.hpp"

#include "test/http/loopback.hpp"

#include <algorithm>
#include <map>
#include <memory>

using namespace ferryroad;
using namespace ferryroad::leases;
using namespace std::chrono_literals;

namespace {

/// A table in memory that can reject writes and records the conditions of all writes.
class fake_table final : public platform::table {
  public:
    runtime::task<platform::result<std::vector<platform::transaction_outcome>>> transact(
        std::vector<platform::transaction> transactions) override {
        if (rejected_writes > 0) {
            --rejected_writes;
            co_return platform::error{platform::error_code::rate_limited, "busy", std::nullopt};
        }
        for (const platform::transaction& transaction : transactions) {
            conditions.insert(conditions.end(), transaction.conditions.begin(),
                              transaction.conditions.end());
            for (const platform::row_write& write : transaction.writes) {
                versions[write.key] = platform::row_version(++last_version);
                values[write.key] = write.value.value_or("");
            }
        }
        co_return std::vector<platform::transaction_outcome>(transactions.size());
    }
    runtime::task<platform::result<std::vector<platform::row>>> read(
        std::vector<platform::row_key>) override {
        co_return std::vector<platform::row>{};
    }
    runtime::task<platform::result<std::vector<platform::row>>> scan(std::string, platform::row_key,
                                                                     std::uint32_t) override {
        std::vector<platform::row> rows;
        for (const auto& [key, version] : versions) {
            rows.push_back({key, values[key], version});
        }
        co_return rows;
    }
    std::map<platform::row_key, platform::row_version> versions;
    std::map<platform::row_key, std::string> values;
    std::uint64_t last_version = 0;
    std::vector<platform::row_condition> conditions;  ///< Of all writes so far.
    int rejected_writes = 0;                          ///< Number of the next writes that fail.
};

struct router {
    router(ferryroad::test::loopback& loop, platform::table& table, const std::string& name)
        : here(loop.scheduler, table, {base::router_name(name), "at " + name},
               [this](const std::vector<present_router>& present) {
                   count = present.size();
                   last = present;
               },
               {5ms, 0ms, 12.0}) {
        here.start();
        loop.scheduler.spawn("test", follow(loop, static_cast<fake_table&>(table)));
    }
    /// Passes the table's rows to `here` repeatedly, like a reader that polls the table.
    runtime::task<void> follow(ferryroad::test::loopback& loop, fake_table& table) {
        for (;;) {
            std::string prefix;
            const auto rows = co_await table.scan(std::move(prefix), platform::row_key(), 500);
            for (const platform::row& row : *rows) {
                here.update_row(row);
            }
            here.report_present_routers();
            co_await loop.scheduler.sleep_for(5ms);
        }
    }
    std::size_t count = 0;
    std::vector<present_router> last;
    presence here;
};

runtime::task<void> wait_until_all_count(ferryroad::test::loopback& loop,
                                         std::vector<std::unique_ptr<router>>& routers,
                                         std::size_t expected) {
    co_await loop.until([&] {
        bool all = true;
        for (const auto& each : routers) {
            all = all && each->count == expected;
        }
        return all;
    });
}

}  // namespace

Test(presence, routers_count_each_other_and_drop_those_that_ended) {
    ferryroad::test::loopback loop;
    fake_table table;
    std::vector<std::unique_ptr<router>> routers;
    for (const char* name : {"a", "b", "c"}) {
        routers.push_back(std::make_unique<router>(loop, table, name));
    }
    cr_assert(loop.run([&] { return wait_until_all_count(loop, routers, 3); }));
    const present_router third{base::router_name("c"), "at c"};
    cr_assert(std::count(routers[0]->last.begin(), routers[0]->last.end(), third) == 1);
    auto ended = std::move(routers.back());
    routers.pop_back();
    ended->here.stop();
    loop.context.restart();
    cr_assert(loop.run([&] { return wait_until_all_count(loop, routers, 2); }));
}

Test(presence, a_removed_row_is_no_longer_counted) {
    ferryroad::test::loopback loop;
    fake_table table;
    std::size_t count = 0;
    presence here(loop.scheduler, table, {base::router_name("a"), "at a"},
                  [&](const std::vector<present_router>& present) { count = present.size(); });
    const platform::row_key other("routers/b");
    here.update_row({other, "1 at b", platform::row_version(5)});
    here.report_present_routers();
    cr_assert_eq(count, 2);
    here.update_row({other, "", platform::row_version(0)});
    here.report_present_routers();
    cr_assert_eq(count, 1);
}

Test(presence, many_routers_write_less_often) {
    ferryroad::test::loopback loop;
    fake_table table;
    presence few(loop.scheduler, table, {base::router_name("a"), ""}, [](const auto&) {});
    cr_assert(few.period() == 10s);
    for (int number = 0; number < 400; ++number) {
        few.update_row({platform::row_key("routers/r" + std::to_string(number)), "1 x",
                        platform::row_version(1)});
    }
    few.report_present_routers();
    cr_assert(few.period() == 401 * 250ms);
}

Test(presence, a_rejected_first_write_is_retried_soon) {
    ferryroad::test::loopback loop;
    fake_table table;
    table.rejected_writes = 2;
    presence_settings settings;
    settings.first_retry = 2ms;
    presence here(
        loop.scheduler, table, {base::router_name("a"), "at a"}, [](const auto&) {}, settings);
    cr_assert_not(here.is_listed());
    here.start();
    const auto listed = [&] { return here.is_listed(); };
    cr_assert(loop.run([&] { return loop.until(listed); }));
    cr_assert_eq(table.values.size(), 1);
    here.stop();
}

Test(presence, a_row_decodes_to_its_router) {
    const auto router = decode_presence("routers/a", "123 10.0.0.1:7000 z");
    cr_assert(*router == (present_router{base::router_name("a"), "10.0.0.1:7000 z"}));
    cr_assert_not(decode_presence("crash/a", "123 10.0.0.1:7000 z").has_value());
}

Test(presence, the_row_of_an_ended_router_is_removed_only_at_its_last_seen_version) {
    ferryroad::test::loopback loop;
    fake_table table;
    presence here(loop.scheduler, table, {base::router_name("a"), "at a"}, [](const auto&) {});
    const platform::row_key other("routers/b");
    table.versions[other] = platform::row_version(7);
    here.update_row({other, "1 at b", platform::row_version(5)});
    here.remove_router_row(base::router_name("b"));
    here.remove_router_row(base::router_name("unknown"));
    const auto asked = [&] { return table.conditions.size() == 1; };
    cr_assert(loop.run([&] { return loop.until(asked); }));
    cr_assert(table.conditions.front().key == other);
    cr_assert_eq(table.conditions.front().version.value, 5);
}

Test(presence, a_router_whose_row_was_removed_writes_it_again) {
    ferryroad::test::loopback loop;
    fake_table table;
    presence here(loop.scheduler, table, {base::router_name("a"), "at a"}, [](const auto&) {});
    here.start();
    const platform::row_key own("routers/a");
    const auto listed = [&] { return here.is_listed(); };
    cr_assert(loop.run([&] { return loop.until(listed); }));
    here.update_row({own, table.values[own], table.versions[own]});
    const std::uint64_t before = table.last_version;
    here.update_row({own, "", platform::row_version(0)});
    loop.context.restart();
    const auto written = [&] { return table.last_version > before; };
    cr_assert(loop.run([&] { return loop.until(written); }));
    here.stop();
}
