/// Tests that streams are taken up after a restart of all routers where what is stored proves their
/// version, and only there.
#include "ferryroad/relay/stored_origins.hpp"

#include "ferryroad/coordination/stream/origin_rows.hpp"
#include "ferryroad/relay/stream_origins.hpp"
#include "test/http/loopback.hpp"
#include "test/relay/fake_network.hpp"
#include "test/relay/fake_table.hpp"

#include <memory>

using namespace ferryroad;
using namespace ferryroad::relay;
using namespace ferryroad::relay::test;
using namespace std::chrono_literals;
namespace stream = coordination::stream;
using stream::software_version;

namespace {

const base::pool_name pool("p");
const base::request_id attempt("first attempt");
const std::string record_key = "versions/p";
constexpr std::chrono::milliseconds store_time = 500s;

listed_engine engine_of(const char* name, const char* software) {
    listed_engine one;
    one.name.value = name;
    one.pool = pool;
    one.address = {"127.0.0.1", 1};
    one.zone.value = "z";
    one.software.value = software;
    return one;
}

stream_origin_settings short_times() {
    stream_origin_settings all;
    all.answer_timeout = 10ms;
    all.far_answer_timeout = 10ms;
    all.stored.store_timeout = 200ms;
    all.stored.read_timeout = 200ms;
    all.stored.reader.period = 5ms;
    all.stored.versions.check_period = 2ms;
    all.stored.versions.retry = 5ms;
    all.stored.versions.rank_delay = 10ms;
    all.stored.versions.read_period = 10ms;
    all.stored.versions.read_period_per_router = 0ms;
    all.stored.recorder.min_interval = 2ms;
    all.stored.recorder.retry = 5ms;
    all.stored.recorder.removal_period = 5ms;
    return all;
}

/// A table, and routers that use it, if they aren't of an older release.
struct fixture {
    ferryroad::test::loopback loop;
    fake_network network;
    fake_table table{loop.scheduler};
    owner_clock clock;

    struct router {
        router(fixture& all, std::uint16_t port, const stream_origin_settings& settings,
               bool stores)
            : self{base::router_name("r" + std::to_string(port)),
                   base::zone_name("z"),
                   {"10.0.0.1", port}},
              transport(all.network, self.address),
              origins(all.loop.scheduler, transport, registry, self, {}, settings,
                      stores ? std::optional(origin_store{all.table, all.clock}) : std::nullopt) {
            transport.on_datagram([this](const base::endpoint& from, std::string_view bytes) {
                origins.handle_datagram(from, bytes);
            });
            origins.start();
        }
        peer_address self;
        engine_registry registry;
        fake_transport transport;
        stream_origins origins;
    };
    std::vector<std::unique_ptr<router>> routers;

    fixture() { clock.observe(loop.scheduler.now(), loop.scheduler.now(), store_time); }

    router& start_router(const std::vector<listed_engine>& engines,
                         const stream_origin_settings& settings = short_times(),
                         bool stores = true) {
        const auto port = static_cast<std::uint16_t>(routers.size() + 1);
        routers.push_back(std::make_unique<router>(*this, port, settings, stores));
        list(*routers.back(), engines);
        std::vector<peer_address> present;
        for (const auto& one : routers) {
            present.push_back(one->self);
        }
        for (const auto& one : routers) {
            one->origins.set_routers(present);
        }
        return *routers.back();
    }
    void list(router& one, const std::vector<listed_engine>& engines) {
        one.registry.replace_all(engines, loop.scheduler.now());
        one.registry.confirm(loop.scheduler.now());
        one.origins.engines_changed();
    }
    void run_for(base::duration time) {
        loop.context.restart();
        cr_assert(loop.run([&] { return loop.scheduler.sleep_for(time); }));
    }
    origin_search find(router& one, const base::request_id& resumed = attempt) {
        origin_search found;
        loop.context.restart();
        cr_assert(loop.run([&]() -> runtime::task<void> {
            relay_call call;
            call.resumed_attempt = resumed;
            found = co_await one.origins.find(call, pool);
        }));
        return found;
    }
    void put_record(const std::set<software_version>& versions,
                    std::optional<std::chrono::milliseconds> others_age = std::nullopt) {
        stream::version_record record{versions, std::nullopt};
        if (others_age) {
            record.others_until = (store_time - *others_age).count();
        }
        table.put(record_key, stream::encode(record));
    }
    stream::version_record record() {
        return *stream::decode_version_record(table.rows[record_key].value);
    }
};

const software_version v1("v1");
const software_version v2("v2");

}  // namespace

Test(stored_origins,
     a_process_that_has_just_started_does_not_take_the_version_that_replaced_another) {
    fixture all;
    all.put_record({v2}, 10s);
    cr_assert_not(all.find(all.start_router({engine_of("e2", "v2")})).found);
}

// The engines of the first version left while no router was running.
Test(stored_origins, a_version_that_the_record_does_not_name_is_not_taken) {
    fixture all;
    all.put_record({v1});
    fixture::router& started = all.start_router({engine_of("e2", "v2")});
    cr_assert_not(all.find(started).found);
    all.run_for(40ms);
    cr_assert(all.record().current == std::set{v2});
    cr_assert_not(all.find(started).found, "the record tells of others");
}

Test(stored_origins, the_only_version_by_list_and_record_is_taken_after_a_restart) {
    for (const bool others_long_ago : {false, true}) {
        fixture all;
        all.put_record({v1}, others_long_ago ? std::optional(61s) : std::nullopt);
        const origin_search search = all.find(all.start_router({engine_of("e1", "v1")}));
        cr_assert(search.source == origin_source::sole_version);
        cr_assert(search.found->origin.software == v1);
    }
}

Test(stored_origins, without_a_readable_record_a_process_that_has_just_started_takes_no_version) {
    fixture absent;
    stream_origin_settings never_writes = short_times();
    never_writes.stored.versions.check_period = 1h;
    cr_assert_not(absent.find(absent.start_router({engine_of("e1", "v1")}, never_writes)).found);
    fixture malformed;
    malformed.table.put(record_key, "?");
    cr_assert_not(malformed.find(malformed.start_router({engine_of("e1", "v1")})).found);
    fixture silent;
    silent.put_record({v1});
    silent.table.down = true;
    cr_assert_not(silent.find(silent.start_router({engine_of("e1", "v1")})).found);
    fixture older;
    cr_assert_not(
        older.find(older.start_router({engine_of("e1", "v1")}, short_times(), false)).found);
}

Test(stored_origins, a_process_that_observed_one_version_for_long_needs_no_record) {
    fixture all;
    all.table.down = true;
    stream_origin_settings settings = short_times();
    settings.stored.read_timeout = 20ms;
    settings.table.retention = 300ms;
    fixture::router& one = all.start_router({engine_of("e1", "v1")}, settings);
    cr_assert_not(all.find(one).found);
    all.run_for(300ms);
    cr_assert(all.find(one).source == origin_source::sole_version);
}

// A predecessor left them.
Test(stored_origins, rows_past_the_retention_are_removed) {
    fixture all;
    const base::router_name before("before");
    for (std::size_t index = 0; index < 200; ++index) {
        const auto age = std::chrono::milliseconds(index < 150 ? 70'000 : 20'000);
        all.table.put(stream::origin_row_key((store_time - age).count(), before, index), "[]");
    }
    stream_origin_settings settings = short_times();
    settings.stored.recorder.short_removal_period = 2ms;
    fixture::router& one = all.start_router({engine_of("e1", "v1")}, settings);
    all.run_for(60ms);
    cr_assert_eq(all.table.count("origins/"), 50);
    cr_assert_eq(one.origins.stored()->all_counters().recorder.removed_rows, 150);
}

Test(stored_origins, a_conflicting_write_of_the_record_is_applied_to_the_current_one) {
    fixture all;
    fixture::router& one = all.start_router({engine_of("e1", "v1")});
    all.run_for(20ms);
    cr_assert(all.record() == (stream::version_record{{v1}, std::nullopt}));
    all.put_record({v1, v2});
    all.list(one, {engine_of("e1", "v1"), engine_of("e3", "v3")});
    all.run_for(20ms);
    const software_version v3("v3");
    cr_assert(all.record().current == (std::set{v1, v3}));
    cr_assert(all.record().others_until);
    cr_assert_eq(one.origins.stored()->versions().counters().conflicts, 1);
}

Test(stored_origins, routers_with_different_lists_do_not_make_the_record_tell_of_one_version) {
    fixture all;
    fixture::router& one = all.start_router({engine_of("e1", "v1")});
    all.run_for(20ms);
    fixture::router& two = all.start_router({engine_of("e2", "v2")});
    all.run_for(100ms);
    cr_assert(all.record().others_until);
    cr_assert_not(all.find(one).found);
    cr_assert_not(all.find(two).found);
}

Test(stored_origins, the_record_is_written_by_another_router_if_the_highest_ranked_one_has_ended) {
    fixture all;
    std::vector<listed_engine> engines{engine_of("e1", "v1")};
    for (int count = 0; count < 3; ++count) {
        all.start_router(engines);
    }
    all.run_for(60ms);
    const std::uint64_t version = all.table.rows[record_key].version.value;
    engines.push_back(engine_of("e2", "v2"));
    for (const auto& one : all.routers) {
        if (one->origins.stored()->versions().counters().writes > 0) {
            one->origins.stop();
        } else {
            all.list(*one, engines);
        }
    }
    all.run_for(80ms);
    cr_assert_gt(all.table.rows[record_key].version.value, version);
    cr_assert(all.record().current == (std::set{v1, v2}));
}
