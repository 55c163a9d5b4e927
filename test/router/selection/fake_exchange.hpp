/// @file
/// Test doubles: routers that share an index over a network with injected faults.
#pragma once

#include "bench/simulation/virtual_scheduler.hpp"
#include "ferryroad/router/selection/shared_prefix_knowledge.hpp"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace ferryroad::test {

namespace selection = router::selection;

/// Simulated network between the routers of a test.
struct fake_network {
    explicit fake_network(runtime::scheduler& owner) : scheduler(owner) {}

    runtime::scheduler& scheduler;
    base::duration one_way = std::chrono::milliseconds(1);
    std::map<base::router_name, selection::shared_prefix_knowledge*> routers;
    std::set<base::router_name> silent;
    int reports_to_lose = 0;
    /// Invalid holders added to every answer.
    std::vector<core::prefix::holder> forged;
};

/// One router's exchange with the others. Calls are delivered directly after a delay; calls to a
/// silent router time out.
class fake_exchange final : public selection::prefix_exchange {
  public:
    fake_exchange(fake_network& network, base::router_name self)
        : network_(network), self_(std::move(self)) {}

    template <typename T>
    using answer = runtime::task<runtime::result<T, selection::exchange_error>>;

    answer<core::prefix::owner_answer> lookup(selection::router_contact owner,
                                              core::prefix::cache_namespace scope,
                                              core::prefix::piece_chain pieces,
                                              base::duration limit) override {
        if (network_.silent.contains(owner.name)) {
            co_await network_.scheduler.sleep_for(limit);
            co_return selection::exchange_error{selection::exchange_failure::timed_out};
        }
        co_await network_.scheduler.sleep_for(network_.one_way);
        auto answered = network_.routers.at(owner.name)->answer(self_, scope, pieces);
        answered.holders.insert(answered.holders.end(), network_.forged.begin(),
                                network_.forged.end());
        co_await network_.scheduler.sleep_for(network_.one_way);
        co_return answered;
    }

    answer<void> report(selection::router_contact owner,
                        std::vector<core::prefix::prefix_report> reports,
                        base::duration limit) override {
        const bool lost = network_.reports_to_lose > 0;
        network_.reports_to_lose -= lost ? 1 : 0;
        if (lost || network_.silent.contains(owner.name)) {
            co_await network_.scheduler.sleep_for(limit);
            co_return selection::exchange_error{selection::exchange_failure::timed_out};
        }
        co_await network_.scheduler.sleep_for(network_.one_way);
        network_.routers.at(owner.name)->accept(self_, reports);
        co_return runtime::result<void, selection::exchange_error>();
    }

  private:
    fake_network& network_;
    base::router_name self_;
};

class fake_live_routers final : public selection::live_routers {
  public:
    std::vector<selection::router_contact> contacts;
    std::vector<selection::router_contact> live() const override { return contacts; }
};

/// Several routers on one virtual scheduler.
class router_group {
  public:
    explicit router_group(int count, selection::shared_index_settings settings = {})
        : settings_(settings) {
        for (int router = 0; router < count; ++router) {
            live.contacts.push_back({name_of(router), base::incarnation(1), {"127.0.0.1", 1}});
        }
        for (int router = 0; router < count; ++router) {
            exchanges.push_back(std::make_unique<fake_exchange>(network, name_of(router)));
            start(router);
        }
        // All routers see each other, and their warm-up time passes.
        for (auto& each : knowledge) {
            each->report_incarnation({base::engine_name("e"), base::incarnation(1)});
            lookup_on(*each, {}, {base::piece_hash(1)});
        }
        time.run_until(time.now() + settings_.warm_up);
    }

    static base::router_name name_of(int router) {
        return base::router_name("router" + std::to_string(router));
    }

    /// Starts a router, or restarts it with an empty index.
    void start(int router) {
        const auto index = static_cast<std::size_t>(router);
        auto started = std::make_unique<selection::shared_prefix_knowledge>(
            name_of(router), live, *exchanges[index], scheduler, settings_);
        network.routers[name_of(router)] = started.get();
        if (index < knowledge.size()) {
            retired.push_back(std::move(knowledge[index]));
            knowledge[index] = std::move(started);
            live.contacts[index].incarnation.value += 1;
        } else {
            knowledge.push_back(std::move(started));
        }
    }

    void leave(int router) {
        std::erase_if(live.contacts, [router](const selection::router_contact& each) {
            return each.name == name_of(router);
        });
    }

    selection::prefix_answer lookup(int router, const core::prefix::cache_namespace& scope,
                                    const core::prefix::piece_chain& pieces) {
        return lookup_on(*knowledge[static_cast<std::size_t>(router)], scope, pieces);
    }

    void run(base::duration length) { time.run_until(time.now() + length); }

    bench::simulation::virtual_time time{1};
    bench::simulation::virtual_scheduler scheduler{time, 1};
    fake_network network{scheduler};
    std::vector<std::unique_ptr<fake_exchange>> exchanges;
    fake_live_routers live;
    std::vector<std::unique_ptr<selection::shared_prefix_knowledge>> knowledge;
    /// Replaced by a restart; kept because their coroutines may still be suspended.
    std::vector<std::unique_ptr<selection::shared_prefix_knowledge>> retired;
    /// Duration of the last lookup.
    base::duration last_lookup_duration{};

  private:
    static runtime::task<void> look_up(selection::shared_prefix_knowledge& knowledge,
                                       core::prefix::cache_namespace scope,
                                       core::prefix::piece_chain pieces,
                                       std::optional<selection::prefix_answer>& destination) {
        destination = co_await knowledge.lookup(std::move(scope), std::move(pieces));
    }

    selection::prefix_answer lookup_on(selection::shared_prefix_knowledge& target,
                                       const core::prefix::cache_namespace& scope,
                                       const core::prefix::piece_chain& pieces) {
        std::optional<selection::prefix_answer> answer;
        const auto asked_at = time.now();
        scheduler.spawn("lookup", look_up(target, scope, pieces, answer));
        while (!answer && time.run_next()) {
        }
        last_lookup_duration = time.now() - asked_at;
        return answer.value();
    }

    selection::shared_index_settings settings_;
};

}  // namespace ferryroad::test
