/// Tests of the platform model with time set by the test.
#include "emulator/platform/platform_model.hpp"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace ferryroad;
using namespace std::chrono_literals;
using emulator::call_decision;
using emulator::platform_service;
using platform::row_key;
using platform::row_version;

namespace {

base::monotonic_time at(base::duration time) {
    return base::monotonic_time{} + time;
}

platform::machine machine_named(const char* name) {
    platform::machine machine;
    machine.name = name;
    return machine;
}

std::size_t admitted(emulator::platform_model& model, base::duration from, base::duration length,
                     base::duration step) {
    base::seeded_random random(1);
    std::size_t count = 0;
    for (base::duration time = from; time < from + length; time += step) {
        const call_decision decision = model.decide(platform_service::table, at(time), random);
        count += decision.outcome == call_decision::verdict::admitted ? 1 : 0;
    }
    return count;
}

}  // namespace

Test(platform_model, machine_list_lags) {
    emulator::platform_options options;
    options.machine_list_lag = 2s;
    emulator::platform_model model(options);
    model.put_machine(machine_named("a"), at(10s));
    model.put_machine(machine_named("b"), at(11s));
    model.remove_machine("a", at(12s));
    cr_assert_eq(model.machines(at(11s)).size(), 0U);
    cr_assert_eq(model.machines(at(12s)).size(), 1U);
    cr_assert_eq(model.machines(at(13s)).size(), 2U);
    cr_assert_eq(model.machines(at(14s)).size(), 1U);
    cr_assert(model.machines(at(14s))[0].name == "b");
}

Test(platform_model, repeated_registrations_keep_the_history) {
    emulator::platform_options options;
    options.machine_list_lag = 2s;
    emulator::platform_model model(options);
    model.put_machine(machine_named("a"), at(1s));
    for (int second = 2; second < 3600; ++second) {
        model.put_machine(machine_named("a"), at(std::chrono::seconds(second)));
    }
    cr_assert_eq(model.machines(at(3600s)).size(), 1U);
}

Test(platform_model, rate_is_enforced_and_restored) {
    emulator::platform_options options;
    options.table_rate = 50;
    emulator::platform_model model(options);
    const std::size_t first = admitted(model, 0s, 10s, 1ms);
    cr_assert(first >= 500 && first <= 506, "%zu of 10000 calls in 10 s", first);
    emulator::platform_faults faults;
    faults.rate = 5;
    model.set_faults(faults);
    const std::size_t limited = admitted(model, 10s, 10s, 1ms);
    cr_assert(limited >= 50 && limited <= 52, "%zu calls", limited);
    model.set_faults({});
    const std::size_t again = admitted(model, 20s, 10s, 1ms);
    cr_assert(again >= 500 && again <= 506, "%zu calls", again);
}

Test(platform_model, retry_after_is_when_the_next_call_is_admitted) {
    emulator::platform_options options;
    options.table_rate = 2;
    emulator::platform_model model(options);
    base::seeded_random random(1);
    model.decide(platform_service::table, at(1s), random);
    const call_decision refused = model.decide(platform_service::table, at(1s), random);
    cr_assert(refused.outcome == call_decision::verdict::rate_limited);
    const call_decision early =
        model.decide(platform_service::table, at(1s + refused.retry_after / 2), random);
    cr_assert(early.outcome == call_decision::verdict::rate_limited);
    const call_decision later =
        model.decide(platform_service::table, at(1s + refused.retry_after + 1us), random);
    cr_assert(later.outcome == call_decision::verdict::admitted);
}

Test(platform_model, weight_transfers_share_one_link) {
    emulator::platform_options options;
    options.weights_bytes = 1000;
    options.weights_bytes_per_second = 100;
    emulator::platform_model model(options);
    cr_assert(model.fetch_weights("m", "1", at(1s)).done_at == at(11s));
    cr_assert(model.fetch_weights("m", "2", at(2s)).done_at == at(21s));
    cr_assert(model.fetch_weights("m", "1", at(30s)).done_at == at(40s));
    const std::string first_checksum = model.fetch_weights("m", "1", at(50s)).checksum;
    cr_assert(first_checksum == model.fetch_weights("m", "1", at(60s)).checksum);
    cr_assert(first_checksum != model.fetch_weights("m", "2", at(60s)).checksum);
}

Test(platform_model, versions_only_increase) {
    cr_assert(rc::check("the version of a key is never reused", [](std::vector<std::uint8_t>
                                                                       steps) {
        emulator::table_model table;
        std::uint64_t last = 0;
        for (const std::uint8_t step : steps) {
            const row_key key(std::string(1, static_cast<char>('a' + step % 4)));
            const bool removes = (step & 16U) != 0;
            const auto value = removes ? std::nullopt : std::optional<std::string>("v");
            const auto rows = table.read({key});
            const row_version current = rows.empty() ? row_version(0) : rows[0].version;
            const auto stale = table.transact({{{{key, row_version(last + 1)}}, {{key, value}}}});
            RC_ASSERT(!stale[0].committed);
            const auto written = table.transact({{{{key, current}}, {{key, value}}}});
            RC_ASSERT(written[0].committed);
            RC_ASSERT(written[0].version.value > last);
            last = written[0].version.value;
        }
    }));
}
