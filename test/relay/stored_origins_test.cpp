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
    all.replicas = 0;  // Routers know of each other's streams only what is stored.
    all.answer_timeout = 10ms;
    all.far_answer_timeout = 10ms;
    all.list_timeout = 100ms;
    all.list_check_interval = 2ms;
    all.stored.store_timeout = 200ms;
    all.stored.read_timeout = 200ms;
    all.stored.reader.period = 5ms;
    all.stored.reader.retry = 20ms;
    all.stored.versions.check_period = 2ms;
    all.stored.versions.retry = 5ms;
    all.stored.versions.rank_delay = 10ms;
    all.stored.versions.addition_delay = 0ms;
    all.stored.versions.first_read_delay = 2ms;
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
        one.origins.engines_changed();
        confirm_list(one);
    }
    void confirm_list(router& one) {
        one.registry.confirm(loop.scheduler.now());
        one.origins.engines_confirmed(loop.scheduler.now());
    }
    /// Confirms a router's engine list again and again, until the loop ends.
    runtime::task<void> follow_list(router& one) {
        while (!no_list_is_confirmed) {
            confirm_list(one);
            co_await loop.scheduler.sleep_for(2ms);
        }
    }
    bool no_list_is_confirmed = false;  ///< From then on.
    /// All routers end at the same moment: what they knew is lost, and their work.
    void end_all_routers() {
        for (const auto& one : routers) {
            one->transport.on_datagram([](const auto&, auto) {});
            one->origins.stop();
            one->origins.set_routers({});
        }
        ended.insert(ended.end(), std::make_move_iterator(routers.begin()),
                     std::make_move_iterator(routers.end()));
        routers.clear();
        network.handlers.clear();
    }
    std::vector<std::unique_ptr<router>> ended;

    void run_for(base::duration time) {
        loop.context.restart();
        cr_assert(loop.run([&] { return loop.scheduler.sleep_for(time); }));
    }
    origin_search find(router& one, const base::request_id& resumed = attempt) {
        origin_search found;
        loop.context.restart();
        loop.scheduler.spawn("list", follow_list(one));
        cr_assert(loop.run([&]() -> runtime::task<void> {
            relay_call call;
            call.resumed_attempt = resumed;
            found = co_await one.origins.find(call, pool, loop.scheduler.now() + 5s);
        }));
        return found;
    }
    /// @return how long the stream's first event was held back.
    base::duration store(router& one, const char* software,
                         const base::request_id& begun = attempt) {
        const base::monotonic_time asked = loop.scheduler.now();
        loop.context.restart();
        const auto open = one.origins.record(begun, pool, software_version(software));
        cr_assert(loop.run([&] { return one.origins.store(*open); }));
        return loop.scheduler.now() - asked;
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

Test(stored_origins, a_table_that_fails_is_read_less_often_while_nobody_waits) {
    fixture all;
    all.table.down = true;
    fixture::router& one = all.start_router({engine_of("e1", "v1")});
    all.run_for(50ms);
    cr_assert_leq(one.origins.stored()->all_counters().reader.calls, 3);
    all.table.down = false;
    all.run_for(100ms);
    cr_assert(all.record().current == std::set{v1});
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

// Guards against streams joined from two versions: neither the record nor the list has the engines
// that came while this router was cut off from the table.
Test(stored_origins, a_router_with_an_outdated_list_takes_no_version_whatever_the_record_says) {
    for (const bool record_is_read : {false, true}) {
        fixture all;
        all.put_record({v1});
        stream_origin_settings settings = short_times();
        settings.table.retention = 20ms;
        fixture::router& one = all.start_router({engine_of("e1", "v1")}, settings);
        all.run_for(30ms);
        all.table.down = !record_is_read;
        all.no_list_is_confirmed = true;
        const origin_search search = all.find(one);
        cr_assert_not(search.found);
        cr_assert(search.doubt == origin_doubt::list_not_confirmed);
    }
}

namespace {

/// Writers keep the record that they find.
stream_origin_settings without_additions() {
    stream_origin_settings settings = short_times();
    settings.stored.versions.addition_delay = 1h;
    return settings;
}

const std::vector<listed_engine> newly_mixed{engine_of("e1", "v1"), engine_of("e2", "v2")};

}  // namespace

// Guards against refusals of all streams that began before a second version was added, if all
// routers then ended before one of them stored anything.
Test(stored_origins, streams_began_at_the_only_recorded_version_though_another_is_listed) {
    fixture all;
    all.put_record({v1});
    const origin_search search = all.find(all.start_router(newly_mixed, without_additions()));
    cr_assert(search.source == origin_source::recorded_version);
    cr_assert(search.found->origin.software == v1);
    cr_assert(all.record().current == std::set{v1});
}

Test(stored_origins, a_record_that_may_be_outdated_or_is_not_followed_proves_no_version) {
    fixture unreadable;
    unreadable.put_record({v1});
    fixture::router& one = unreadable.start_router(newly_mixed, without_additions());
    unreadable.run_for(20ms);
    unreadable.table.down = true;
    cr_assert_not(unreadable.find(one).found);
    fixture others;
    others.put_record({v1}, 10s);
    cr_assert_not(others.find(others.start_router(newly_mixed, without_additions())).found);
    fixture outnumbered;
    outnumbered.put_record({v1});
    std::vector<listed_engine> mostly_new = newly_mixed;
    mostly_new.push_back(engine_of("e3", "v2"));
    stream_origin_settings never_writes = without_additions();
    never_writes.stored.versions.check_period = 1h;
    cr_assert_not(outnumbered.find(outnumbered.start_router(mostly_new, never_writes)).found);
}

Test(stored_origins, streams_begin_at_a_version_only_once_it_is_recorded) {
    fixture all;
    fixture::router& one = all.start_router({engine_of("e1", "v1")});
    all.run_for(20ms);
    cr_assert_not(one.origins.versions_to_begin_at(pool));
    all.table.down = true;
    all.list(one, newly_mixed);
    cr_assert(one.origins.versions_to_begin_at(pool) == std::set{v1});
    all.run_for(20ms);
    cr_assert(one.origins.versions_to_begin_at(pool) == std::set{v1});
    all.table.down = false;
    all.run_for(40ms);
    cr_assert(all.record().current == (std::set{v1, v2}));
    cr_assert_not(one.origins.versions_to_begin_at(pool));
}

// The few engines of recorded versions would be overloaded, or there are none.
Test(stored_origins, streams_begin_at_versions_that_are_not_recorded_if_most_engines_have_them) {
    fixture all;
    fixture::router& one = all.start_router({engine_of("e1", "v1")});
    all.run_for(20ms);
    all.table.down = true;
    std::vector<listed_engine> engines = newly_mixed;
    all.list(one, engines);
    cr_assert(one.origins.versions_to_begin_at(pool));
    engines.push_back(engine_of("e3", "v2"));
    all.list(one, engines);
    cr_assert_not(one.origins.versions_to_begin_at(pool));
    engines.erase(engines.begin());
    all.list(one, engines);
    cr_assert_not(one.origins.versions_to_begin_at(pool));
}

Test(stored_origins, engines_that_leave_do_not_count_as_those_of_a_recorded_version) {
    fixture all;
    fixture::router& one = all.start_router({engine_of("e1", "v1")});
    all.run_for(20ms);
    all.table.down = true;
    std::vector<listed_engine> engines = newly_mixed;
    engines.front().leaving = true;
    all.list(one, engines);
    cr_assert_not(one.origins.versions_to_begin_at(pool));
}

Test(stored_origins, a_pool_without_a_record_begins_streams_at_all_versions) {
    fixture all;
    stream_origin_settings never_writes = short_times();
    never_writes.stored.versions.check_period = 1h;
    fixture::router& one = all.start_router(newly_mixed, never_writes);
    cr_assert_not(one.origins.versions_to_begin_at(pool));
    all.table.put(record_key, "?");
    all.run_for(20ms);
    cr_assert_not(one.origins.versions_to_begin_at(pool));
}

Test(stored_origins, a_version_is_recorded_late_after_a_restart_of_all_routers) {
    fixture early;
    early.put_record({v1});
    fixture::router& one = early.start_router(newly_mixed, without_additions());
    early.run_for(40ms);
    cr_assert(early.record().current == std::set{v1});
    cr_assert(one.origins.versions_to_begin_at(pool) == std::set{v1});
    fixture late;
    late.put_record({v1});
    stream_origin_settings settings = short_times();
    settings.stored.versions.addition_delay = 20ms;
    late.start_router(newly_mixed, settings);
    late.run_for(80ms);
    cr_assert(late.record().current == (std::set{v1, v2}));
    fixture gone;
    gone.put_record({v1});
    gone.start_router({engine_of("e2", "v2")}, without_additions());
    gone.run_for(20ms);
    cr_assert(gone.record().current == std::set{v2}, "no engine has the recorded version");
}

Test(stored_origins, a_version_is_recorded_without_delay_by_a_router_that_was_not_restarted) {
    fixture all;
    stream_origin_settings settings = short_times();
    settings.stored.versions.addition_delay = 50ms;
    fixture::router& running = all.start_router({engine_of("e1", "v1")}, settings);
    all.run_for(60ms);
    settings.stored.versions.addition_delay = 1h;
    fixture::router& restarted = all.start_router(newly_mixed, settings);
    all.list(running, newly_mixed);
    all.run_for(60ms);
    cr_assert(all.record().current == (std::set{v1, v2}));
    cr_assert_not(running.origins.versions_to_begin_at(pool));
    cr_assert_not(restarted.origins.versions_to_begin_at(pool));
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

Test(stored_origins, streams_of_a_pool_with_two_versions_are_found_after_a_restart_of_all_routers) {
    fixture all;
    const std::vector<listed_engine> engines{engine_of("e1", "v1"), engine_of("e2", "v2")};
    for (int count = 0; count < 3; ++count) {
        all.start_router(engines);
    }
    all.run_for(20ms);
    const base::request_id other("other attempt");
    all.store(*all.routers[0], "v1");
    all.store(*all.routers[1], "v2", other);
    cr_assert_eq(all.routers[0]->origins.stored()->counters().timeouts, 0);
    all.end_all_routers();
    fixture::router& started = all.start_router(engines);
    const origin_search first = all.find(started);
    cr_assert(first.source == origin_source::stored);
    cr_assert(first.found->origin.software == v1);
    cr_assert(all.find(started, other).found->origin.software == v2);
    cr_assert_not(all.find(started, base::request_id("never seen")).found);
}

// It was stored after the router read what was there when it started.
Test(stored_origins, an_origin_that_was_stored_later_is_found) {
    fixture all;
    const std::vector<listed_engine> engines{engine_of("e1", "v1"), engine_of("e2", "v2")};
    fixture::router& first = all.start_router(engines);
    fixture::router& second = all.start_router(engines);
    all.run_for(20ms);
    all.store(first, "v2");
    all.network.handlers.clear();
    cr_assert(all.find(second).source == origin_source::stored);
}

// All routers ended right after the pool had got its second version.
Test(stored_origins,
     streams_in_progress_when_a_second_version_is_listed_are_found_after_a_restart) {
    fixture all;
    const std::vector<listed_engine> engines{engine_of("e1", "v1"), engine_of("e2", "v2")};
    fixture::router& first = all.start_router({engine_of("e1", "v1")});
    fixture::router& second = all.start_router({engine_of("e1", "v1")});
    all.run_for(50ms);
    const base::request_id ended("ended before");
    all.store(first, "v1", ended);
    const auto open = first.origins.record(attempt, pool, v1);
    all.loop.context.restart();
    cr_assert(all.loop.run([&] { return first.origins.store(*open); }));
    cr_assert_eq(all.table.count("origins/"), 0);
    all.list(first, engines);
    all.list(second, engines);
    all.run_for(50ms);
    all.end_all_routers();
    fixture::router& started = all.start_router(engines);
    const origin_search search = all.find(started);
    cr_assert(search.source == origin_source::stored);
    cr_assert(search.found->origin.software == v1);
    cr_assert_not(all.find(started, ended).found);
}

Test(stored_origins, streams_of_a_pool_of_one_version_cost_nothing) {
    fixture all;
    fixture::router& one = all.start_router({engine_of("e1", "v1")});
    fixture::router& two = all.start_router({engine_of("e1", "v1")});
    all.run_for(50ms);
    const std::size_t calls = all.table.writes + one.origins.stored()->all_counters().reader.calls +
                              two.origins.stored()->all_counters().reader.calls;
    const std::size_t datagrams = all.network.sent;
    all.store(one, "v1");
    all.store(two, "v1");
    all.run_for(20ms);
    cr_assert_eq(all.network.sent, datagrams);
    cr_assert_eq(one.origins.stored()->counters().waits, 0);
    cr_assert_eq(two.origins.stored()->counters().waits, 0);
    cr_assert_eq(calls, all.table.writes + one.origins.stored()->all_counters().reader.calls +
                            two.origins.stored()->all_counters().reader.calls);
    cr_assert_eq(all.table.count("origins/"), 0);
}

Test(stored_origins, a_silent_table_holds_back_one_stream_a_second) {
    fixture all;
    fixture::router& one = all.start_router({engine_of("e1", "v1"), engine_of("e2", "v2")});
    all.run_for(20ms);
    all.table.delay = 1h;
    const base::duration held_back = all.store(one, "v1");
    cr_assert_geq(held_back, 200ms);
    cr_assert_lt(held_back, 400ms);
    for (int count = 0; count < 5; ++count) {
        cr_assert_lt(all.store(one, "v1", base::request_id(std::to_string(count))), 100ms);
    }
    cr_assert_eq(one.origins.stored()->counters().timeouts, 1);
    cr_assert_eq(one.origins.stored()->counters().waits, 1);
}

Test(stored_origins, an_origin_that_could_not_be_written_is_written_later) {
    fixture all;
    fixture::router& one = all.start_router({engine_of("e1", "v1"), engine_of("e2", "v2")});
    all.run_for(20ms);
    all.table.down = true;
    all.store(one, "v1");
    cr_assert_eq(all.table.count("origins/"), 0);
    all.table.down = false;
    all.run_for(20ms);
    cr_assert_eq(all.table.count("origins/"), 1);
    cr_assert_gt(one.origins.stored()->all_counters().recorder.failed_batches, 0);
}

// The highest ranked router of the region is of an older release, or has ended.
Test(stored_origins, a_recorder_that_does_not_answer_is_passed_over) {
    fixture all;
    const std::vector<listed_engine> engines{engine_of("e1", "v1"), engine_of("e2", "v2")};
    stream_origin_settings settings = short_times();
    settings.stored.pause_after_timeout = 0ms;
    for (int count = 0; count < 4; ++count) {
        all.start_router(engines, settings);
    }
    all.run_for(20ms);
    all.store(*all.routers[0], "v1");
    for (const auto& one : all.routers) {
        if (one->origins.stored()->all_counters().recorder.batches > 0) {
            one->transport.on_datagram([](const auto&, auto) {});
        }
    }
    std::size_t stored = 0;
    for (const auto& one : all.routers) {
        all.store(*one, "v1", base::request_id("a" + one->self.name.value));
        const std::size_t before = all.table.count("origins/");
        all.store(*one, "v1", base::request_id("b" + one->self.name.value));
        stored += all.table.count("origins/") > before ? 1 : 0;
    }
    cr_assert_eq(stored, 4);
}

Test(stored_origins, origins_that_two_routers_record_at_the_same_time_are_all_kept) {
    fixture all;
    const std::vector<listed_engine> engines{engine_of("e1", "v1"), engine_of("e2", "v2")};
    fixture::router& one = all.start_router(engines);
    all.run_for(20ms);
    fixture::router& two = all.start_router(engines);
    one.origins.set_routers({});
    two.origins.set_routers({});
    for (int count = 0; count < 10; ++count) {
        all.store(one, "v1", base::request_id("one " + std::to_string(count)));
        all.store(two, "v2", base::request_id("two " + std::to_string(count)));
    }
    all.network.handlers.clear();
    for (int count = 0; count < 10; ++count) {
        cr_assert(all.find(two, base::request_id("one " + std::to_string(count))).found);
        cr_assert(all.find(one, base::request_id("two " + std::to_string(count))).found);
    }
}

Test(stored_origins, a_malformed_row_does_not_hide_the_others) {
    fixture all;
    const base::router_name writer("r9");
    all.table.put(stream::origin_row_key(store_time.count() - 20, writer, 0), "?");
    const auto rows = stream::encode_origin_rows(
        {{{stream::key_of(attempt), pool, v2}, store_time.count() - 10}}, 1000);
    all.table.put(stream::origin_row_key(store_time.count() - 10, writer, 0), rows.front());
    fixture::router& one = all.start_router({engine_of("e1", "v1"), engine_of("e2", "v2")});
    const origin_search search = all.find(one);
    cr_assert(search.source == origin_source::stored);
    cr_assert(search.found->origin.software == v2);
    cr_assert_geq(search.found->age, 10ms);
    cr_assert_gt(one.origins.stored()->counters().rows_malformed, 0);
}
