/// Tests how a router writes origins of streams to the table.
#include "ferryroad/relay/origin_recorder.hpp"

#include "test/http/loopback.hpp"
#include "test/relay/fake_table.hpp"

using namespace ferryroad;
using namespace ferryroad::relay;
using namespace ferryroad::relay::test;
using namespace std::chrono_literals;
namespace stream = coordination::stream;

namespace {

const base::pool_name pool("p");
const stream::software_version v1("v1");

struct fixture {
    ferryroad::test::loopback loop;
    fake_table table{loop.scheduler};
    owner_clock clock;

    fixture() { clock.observe(loop.scheduler.now(), loop.scheduler.now(), 500s); }
    void run_for(base::duration time) {
        loop.context.restart();
        cr_assert(loop.run([&] { return loop.scheduler.sleep_for(time); }));
    }
};

}  // namespace

Test(origin_recorder, a_batch_over_the_limit_of_a_row_is_written_in_one_transaction) {
    fixture all;
    origin_recorder_settings settings;
    settings.max_row_bytes = 500;
    origin_recorder recorder(all.loop.scheduler, all.table, all.clock, base::router_name("r1"),
                             settings);
    std::size_t confirmed = 0;
    for (int count = 0; count < 100; ++count) {
        const base::request_id id(std::to_string(count));
        recorder.store({{stream::key_of(id), pool, v1}, {}}, [&confirmed] { ++confirmed; });
    }
    all.run_for(30ms);
    cr_assert_eq(confirmed, 100);
    cr_assert_gt(all.table.count("origins/"), 9);
    for (const auto& [key, row] : all.table.rows) {
        cr_assert_leq(row.value.size(), 500);
    }
    cr_assert_eq(all.table.writes, 1);
}

Test(origin_recorder, one_transaction_is_in_progress_at_a_time) {
    fixture all;
    all.table.delay = 3ms;
    origin_recorder_settings settings;
    settings.min_interval = 1ms;
    settings.max_batch = 10;
    origin_recorder recorder(all.loop.scheduler, all.table, all.clock, base::router_name("r1"),
                             settings);
    std::size_t confirmed = 0;
    for (int count = 0; count < 50; ++count) {
        const base::request_id id(std::to_string(count));
        recorder.store({{stream::key_of(id), pool, v1}, {}}, [&confirmed] { ++confirmed; });
    }
    all.run_for(60ms);
    cr_assert_eq(confirmed, 50);
    cr_assert_eq(all.table.writes, 5);
    cr_assert_eq(all.table.most_in_progress, 1);
}
