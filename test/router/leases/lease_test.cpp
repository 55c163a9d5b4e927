/// Leases of several simulated routers on a model of the platform's table, and the placement orders
/// that carry their fencing tokens.
#include "bench/simulation/engines/engine_client.hpp"
#include "bench/simulation/faults/fault_counts.hpp"
#include "emulator/platform/emulated_services.hpp"
#include "ferryroad/leases/lease_service.hpp"
#include "ferryroad/platform/json_codec.hpp"
#include "ferryroad/router/leases/model_placement.hpp"
#include "test/router/backends/directory_fixture.hpp"

#include <criterion/criterion.h>

#include <cstdio>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace {

using namespace ferryroad;
using namespace ferryroad::router;
using namespace ferryroad::leases;
using namespace ferryroad::router::leases;
using namespace ferryroad::bench::simulation;
using namespace std::chrono_literals;
using backends::test::machine_of;
using backends::test::manual_configuration;

const lease_name role("role");

base::endpoint router_address(std::size_t index) {
    return {"10.0.0." + std::to_string(1 + index), 7000};
}

/// Counts the bytes of the request and response bodies that a table client exchanges.
class metered_table final : public platform::table {
  public:
    explicit metered_table(platform::table& inner) : inner_(inner) {}

    runtime::task<platform::result<std::vector<platform::transaction_outcome>>> transact(
        std::vector<platform::transaction> transactions) override {
        bytes += platform::encode_transactions(transactions).size();
        auto outcomes = co_await inner_.transact(std::move(transactions));
        bytes += outcomes ? platform::encode_outcomes(*outcomes).size() : 0;
        co_return outcomes;
    }
    runtime::task<platform::result<std::vector<platform::row>>> read(
        std::vector<platform::row_key> keys) override {
        bytes += platform::encode_keys(keys).size();
        auto rows = co_await inner_.read(std::move(keys));
        bytes += rows ? platform::encode_rows(*rows).size() : 0;
        co_return rows;
    }
    runtime::task<platform::result<std::vector<platform::row>>> scan(std::string prefix,
                                                                     platform::row_key after,
                                                                     std::uint32_t limit) override {
        return inner_.scan(std::move(prefix), std::move(after), limit);
    }

    std::uint64_t bytes = 0;

  private:
    platform::table& inner_;
};

/// One router process: the lease service, the model placement and their dependencies.
struct router_process {
    router_process(virtual_time& time, emulator::platform_model& platform, network& carrier,
                   engine_fleet& fleet, const configuration_view& view, std::size_t index)
        : scheduler(time, index),
          table_model(platform, scheduler),
          table(table_model),
          engines(fleet, carrier, scheduler, router_address(index)),
          directory(scheduler, view),
          leases(scheduler, table, {"router-" + std::to_string(index), base::incarnation(1)}),
          placement({scheduler, engines, directory, view, leases}) {
        scheduler.run([this] {
            leases.contend(role, [this] { return wanted; });
            leases.contend(placement_lease, [this] { return wanted; });
            placement.start();
        });
    }
    router_process(const router_process&) = delete;
    ~router_process() { scheduler.kill(); }

    virtual_scheduler scheduler;
    emulator::emulated_table table_model;
    metered_table table;
    engine_client engines;
    backends::backend_directory directory;
    lease_service leases;
    model_placement placement;
    bool wanted = true;
};

/// A group of routers that contend for the same leases. Fails the test as soon as two of them hold
/// one lease.
struct simulated_group {
    explicit simulated_group(std::size_t size) : routers(size) {
        for (std::size_t index = 0; index < size; ++index) {
            routers[index] = std::make_unique<router_process>(time, platform, carrier, fleet,
                                                              configuration, index);
        }
    }

    bool run_until(const std::function<bool()>& condition, base::duration limit = 60s) {
        const base::monotonic_time end = time.now() + limit;
        while (!condition() && time.now() < end) {
            run_for(50ms);
        }
        return condition();
    }
    void run_for(base::duration period) {
        const base::monotonic_time end = time.now() + period;
        while (time.now() < end) {
            time.run_until(std::min(end, time.now() + 20ms));
            cr_assert_leq(holders().size(), 1, "two routers hold one lease");
        }
    }
    std::vector<std::size_t> holders() const {
        std::vector<std::size_t> found;
        for (std::size_t index = 0; index < routers.size(); ++index) {
            if (routers[index] && routers[index]->leases.token(role)) {
                found.push_back(index);
            }
        }
        return found;
    }
    std::size_t wait_for_holder() {
        cr_assert(run_until([&] { return holders().size() == 1; }));
        return holders().front();
    }
    base::fencing_token token_of(std::size_t index) const {
        return routers[index]->leases.token(role).value();
    }

    virtual_time time{1};
    emulator::platform_model platform{{}};
    fault_counts counts;
    network carrier{time, {}, counts};
    engine_fleet fleet;
    manual_configuration configuration;
    std::vector<std::unique_ptr<simulated_engine>> engines;
    std::vector<std::unique_ptr<router_process>> routers;
};

}  // namespace

Test(lease_service, another_router_takes_over_when_the_holder_ends) {
    simulated_group test(3);
    const std::size_t first = test.wait_for_holder();
    const base::fencing_token token = test.token_of(first);
    test.run_for(60s);
    cr_assert(test.token_of(first) == token, "a lease that is renewed keeps its token");
    test.routers[first].reset();
    const std::size_t second = test.wait_for_holder();
    cr_assert(test.token_of(second) > token);
}

Test(lease_service, table_calls_per_lease_stay_low) {
    simulated_group test(2);
    const std::size_t holder = test.wait_for_holder();
    const std::size_t contender = 1 - holder;
    const auto cost = [&](std::size_t index) {
        return std::pair(test.routers[index]->leases.table_calls(),
                         test.routers[index]->table.bytes);
    };
    const auto holder_before = cost(holder);
    const auto contender_before = cost(contender);
    constexpr double seconds = 300;
    test.run_for(300s);
    const auto calls_per_second = [&](const char* role_name, auto before, auto after) {
        // Each router here holds or contends for two leases.
        const double calls = static_cast<double>(after.first - before.first) / seconds / 2;
        const double bytes = static_cast<double>(after.second - before.second) / seconds / 2;
        std::printf("%s of one lease: %.2f table calls/s, bodies %.0f B/s\n", role_name, calls,
                    bytes);
        return calls;
    };
    cr_assert_lt(calls_per_second("holder", holder_before, cost(holder)), 0.5);
    cr_assert_lt(calls_per_second("contender", contender_before, cost(contender)), 0.5);
}

Test(lease_service, a_lease_that_is_no_longer_wanted_is_released_immediately) {
    simulated_group test(2);
    const std::size_t first = test.wait_for_holder();
    test.routers[first]->wanted = false;
    cr_assert_not(test.routers[first]->leases.token(role).has_value());
    cr_assert(test.run_until([&] { return test.holders().size() == 1; }, 8s),
              "the other router waited until the lease expired");
}

Test(lease_service, a_holder_paused_past_its_expiry_loses_the_lease) {
    simulated_group test(3);
    const std::size_t first = test.wait_for_holder();
    const base::fencing_token token = test.token_of(first);
    test.routers[first]->scheduler.pause();
    test.run_for(15s);
    const std::size_t second = test.wait_for_holder();
    cr_assert_neq(first, second);
    cr_assert(test.token_of(second) > token);
    test.routers[first]->scheduler.resume();
    test.run_for(30s);
    cr_assert(test.holders() == std::vector<std::size_t>{second});
}

Test(lease_service, lost_answers_keep_the_lease_and_an_outage_ends_it) {
    simulated_group test(3);
    const std::size_t first = test.wait_for_holder();
    emulator::platform_faults faults;
    faults.lost_answers = 3;
    test.platform.set_faults(faults);
    test.run_for(20s);
    cr_assert(test.holders() == std::vector<std::size_t>{first},
              "the lease was lost because of lost answers");
    faults = {};
    faults.outage = true;
    test.platform.set_faults(faults);
    test.run_for(30s);
    cr_assert(test.holders().empty(),
              "the lease was held past its expiry during an outage of the table");
    test.platform.set_faults({});
    test.wait_for_holder();
}

namespace {

/// Adds engines of one pool at model version 1.
void add_engines(simulated_group& test, std::size_t count) {
    catalog::model model;
    model.name = base::model_name("m");
    model.version = base::weights_version("1");
    test.configuration.value->models[model.name] = model;
    auto& pool = test.configuration.value->pools[backends::test::pool];
    pool.name = backends::test::pool;
    pool.model = model.name;
    for (std::size_t index = 0; index < count; ++index) {
        emulator::engine_model_settings settings;
        settings.name = base::engine_name("engine-" + std::to_string(index));
        settings.model = model.name;
        settings.version = model.version;
        const base::endpoint address{"10.0.1." + std::to_string(1 + index), 8000};
        test.engines.push_back(std::make_unique<simulated_engine>(
            test.carrier, engine_machine{settings.name, address, {}, settings}));
        test.fleet.add(*test.engines.back());
    }
}

/// Updates the routers' directories with what they would learn by polling the engines.
void update_directories(simulated_group& test) {
    std::vector<platform::machine> machines;
    for (const auto& engine : test.engines) {
        platform::machine machine = machine_of(engine->name().value);
        machine.address = engine->address();
        machines.push_back(machine);
    }
    for (const auto& router : test.routers) {
        router->directory.apply_machine_list(machines);
        for (const auto& engine : test.engines) {
            router->directory.record_poll(engine->name(),
                                          {engine->address(), router->scheduler.now(),
                                           engine->model()->load(test.time.now())});
        }
    }
}

runtime::task<void> send_load_order(engine_client* engines, engine::engine_target target,
                                    base::fencing_token token,
                                    std::optional<engine::result<void>>* answer) {
    engine::engine_order order =
        engine::load_model_order{base::model_name("m"), base::weights_version("1")};
    *answer = co_await engines->order(target, token, std::move(order));
}

/// @return number of engines that have loaded `version`.
std::size_t count_at_version(const simulated_group& test, const std::string& version) {
    std::size_t count = 0;
    for (const auto& engine : test.engines) {
        count += engine->model()->load(test.time.now()).version.value == version ? 1 : 0;
    }
    return count;
}

}  // namespace

Test(model_placement, engines_load_the_declared_version_two_at_a_time) {
    simulated_group test(3);
    add_engines(test, 6);
    update_directories(test);
    test.run_for(10s);
    const auto orders = [&] {
        std::uint64_t sent = 0;
        for (const auto& router : test.routers) {
            sent += router->placement.counters().orders_sent;
        }
        return sent;
    };
    cr_assert_eq(orders(), 0, "orders were sent although all engines match the configuration");
    test.configuration.value->models[base::model_name("m")].version = base::weights_version("2");
    std::size_t loaded = 0;
    while (loaded < 6) {
        cr_assert_leq(orders(), loaded + 2, "more than two engines load at the same time");
        update_directories(test);
        loaded = count_at_version(test, "2");
        test.run_for(100ms);
        cr_assert_lt(test.time.now().time_since_epoch(), base::duration(300s));
    }
    cr_assert_eq(orders(), 6);
}

Test(model_placement, an_order_of_a_former_lease_holder_is_rejected) {
    simulated_group test(2);
    add_engines(test, 1);
    update_directories(test);
    cr_assert(test.run_until([&] {
        return test.routers[0]->leases.token(placement_lease) ||
               test.routers[1]->leases.token(placement_lease);
    }));
    const std::size_t first = test.routers[0]->leases.token(placement_lease) ? 0 : 1;
    // The holder reads its token and is paused before it sends the order.
    const auto token = test.routers[first]->leases.token(placement_lease);
    test.routers[first]->scheduler.pause();
    test.configuration.value->models[base::model_name("m")].version = base::weights_version("2");
    cr_assert(test.run_until([&] {
        update_directories(test);
        return count_at_version(test, "2") == 1;
    }));
    std::optional<engine::result<void>> answer;
    router_process& former_holder = *test.routers[first];
    former_holder.scheduler.resume();
    const engine::engine_target target{test.engines[0]->name(), test.engines[0]->address(),
                                       test.engines[0]->process()};
    former_holder.scheduler.spawn("test",
                                  send_load_order(&former_holder.engines, target, *token, &answer));
    cr_assert(test.run_until([&] { return answer.has_value(); }));
    cr_assert(answer->has_error());
    cr_assert(answer->error().code == engine::error_code::refused_stale_token);
    test.run_for(20s);
    cr_assert_eq(count_at_version(test, "2"), 1);
}
