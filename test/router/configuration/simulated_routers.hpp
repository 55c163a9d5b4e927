/// @file
/// Configuration services of several routers in virtual time, on a model of the platform and with
/// peer links that can fail.
#pragma once

#include "bench/simulation/virtual_scheduler.hpp"
#include "emulator/platform/emulated_services.hpp"
#include "ferryroad/router/configuration/configuration_service.hpp"

#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace ferryroad::router::testing {

using bench::simulation::virtual_scheduler;
using bench::simulation::virtual_time;
using outcome = configuration_result<change_outcome>;

class simulated_router;

/// State of the network between the routers; shared by all links.
struct simulated_network {
    std::vector<std::unique_ptr<simulated_router>> routers;  ///< Null while down.
    std::vector<bool> cut;     ///< Routers that are partitioned from all others.
    bool pushes_lost = false;  ///< All pushes are dropped.
    bool table_down = false;   ///< The table is unreachable; the object store is not.
    std::uint64_t table_calls = 0;
};

/// A table that fails while `table_down` is set, and counts its calls.
class failing_table final : public platform::table {
  public:
    failing_table(platform::table& inner, simulated_network& network)
        : inner_(inner), network_(network) {}

    runtime::task<platform::result<std::vector<platform::transaction_outcome>>> transact(
        std::vector<platform::transaction> transactions) override {
        ++network_.table_calls;
        if (network_.table_down) {
            co_return down_;
        }
        co_return co_await inner_.transact(std::move(transactions));
    }
    runtime::task<platform::result<std::vector<platform::row>>> read(
        std::vector<platform::row_key> keys) override {
        ++network_.table_calls;
        if (network_.table_down) {
            co_return down_;
        }
        co_return co_await inner_.read(std::move(keys));
    }
    runtime::task<platform::result<std::vector<platform::row>>> scan(
        std::string /*prefix*/, platform::row_key /*after*/, std::uint32_t /*limit*/) override {
        co_return down_;
    }

  private:
    platform::table& inner_;
    simulated_network& network_;
    platform::error down_{platform::error_code::unavailable, "outage", std::nullopt};
};

/// Peer link of one router. Messages take 2 ms each way.
class simulated_link final : public peer_link {
  public:
    simulated_link(simulated_network& network, std::size_t own, virtual_scheduler& scheduler)
        : network_(network), own_(own), scheduler_(scheduler) {}

    runtime::task<runtime::result<coordination::configuration::pull_answer, peer::error>> pull(
        base::revision from) override;
    void push(const coordination::configuration::change& added) override;

  private:
    static constexpr base::duration one_way = std::chrono::milliseconds(2);

    simulated_network& network_;
    std::size_t own_;
    virtual_scheduler& scheduler_;
};

/// One router's configuration service and its dependencies.
class simulated_router {
  public:
    simulated_router(virtual_time& time, emulator::platform_model& platform,
                     simulated_network& network, std::size_t own, std::uint64_t seed)
        : scheduler(time, seed, {1.0, time.now().time_since_epoch(), {}}),
          model(platform, scheduler),
          table(model, network),
          objects(platform, scheduler),
          link(network, own, scheduler),
          service({table, objects, link, scheduler}) {
        scheduler.run([this] { service.start(); });
    }
    simulated_router(const simulated_router&) = delete;
    ~simulated_router() { scheduler.kill(); }

    virtual_scheduler scheduler;
    emulator::emulated_table model;
    failing_table table;
    emulator::emulated_object_store objects;
    simulated_link link;
    configuration_service service;
};

inline runtime::task<runtime::result<coordination::configuration::pull_answer, peer::error>>
simulated_link::pull(base::revision from) {
    std::vector<std::size_t> live;
    for (std::size_t index = 0; index < network_.routers.size(); ++index) {
        if (index != own_ && network_.routers[index] && !network_.cut[index]) {
            live.push_back(index);
        }
    }
    if (live.empty() || network_.cut[own_]) {
        co_return peer::error{peer::error_code::unreachable, "no other router can be reached"};
    }
    const std::size_t chosen = live[scheduler_.random().below(live.size())];
    co_await scheduler_.sleep_for(one_way);
    if (!network_.routers[chosen]) {
        co_return peer::error{peer::error_code::connection_lost,
                              "the router stopped during the call"};
    }
    auto answer = network_.routers[chosen]->service.answer_pull(from);
    co_await scheduler_.sleep_for(one_way);
    co_return answer;
}

inline void simulated_link::push(const coordination::configuration::change& added) {
    if (network_.pushes_lost || network_.cut[own_]) {
        return;
    }
    for (std::size_t index = 0; index < network_.routers.size(); ++index) {
        simulated_router* other = network_.routers[index].get();
        if (index != own_ && other != nullptr && !network_.cut[index]) {
            scheduler_.time().at(scheduler_.time().now() + one_way, other->scheduler.process(),
                                 [other, added] { other->service.accept_push(added); });
        }
    }
}

/// A group of routers with their clock, platform and network.
class simulated_system {
  public:
    explicit simulated_system(std::size_t routers, std::uint64_t seed = 1,
                              emulator::platform_options options = {})
        : time(seed), platform(options) {
        network.routers.resize(routers);
        network.cut.resize(routers);
        for (std::size_t index = 0; index < routers; ++index) {
            start(index);
        }
    }

    /// Starts a router without any configuration; replaces the one at `index`.
    void start(std::size_t index) {
        network.routers[index].reset();
        network.routers[index] = std::make_unique<simulated_router>(time, platform, network, index,
                                                                    time.random().next());
    }
    void stop(std::size_t index) { network.routers[index].reset(); }

    void run_for(base::duration span) { time.run_until(time.now() + span); }

    configuration_service& service(std::size_t index) { return network.routers[index]->service; }
    std::uint64_t revision(std::size_t index) { return service(index).current()->revision.value; }

    /// Starts a change. @return its outcome, which is empty until the change has ended. The router
    /// must exist until then.
    std::shared_ptr<std::optional<outcome>> apply(std::size_t index, apply_command command) {
        auto result = std::make_shared<std::optional<outcome>>();
        network.routers[index]->scheduler.spawn(
            "test.apply", run_apply(service(index), std::move(command), result));
        return result;
    }

    /// @return whether all running routers hold `expected` and have it confirmed.
    bool all_at(std::uint64_t expected) {
        for (std::size_t index = 0; index < network.routers.size(); ++index) {
            if (network.routers[index] &&
                (revision(index) != expected || !service(index).confirmed())) {
                return false;
            }
        }
        return true;
    }

    virtual_time time;
    emulator::platform_model platform;
    simulated_network network;

  private:
    static runtime::task<void> run_apply(configuration_service& service, apply_command command,
                                         std::shared_ptr<std::optional<outcome>> result) {
        auto applied = co_await service.apply(std::move(command));
        result->emplace(std::move(applied));
    }
};

/// @return a command whose desired state is one tenant with this rate limit.
inline apply_command make_command(const std::string& operation, double requests_per_second,
                                  std::optional<std::uint64_t> expected = std::nullopt) {
    apply_command command;
    catalog::tenant tenant;
    tenant.name = base::tenant_name("a");
    tenant.key_sha256 = std::string(64, '0');
    tenant.limits.requests_per_second = requests_per_second;
    command.desired.tenants.emplace(tenant.name, tenant);
    if (expected) {
        command.expected = base::revision(*expected);
    }
    command.operation = operation_id(operation);
    command.author = author_name("tester");
    return command;
}

}  // namespace ferryroad::router::testing
