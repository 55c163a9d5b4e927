/// @file
/// Simulation of several routers with one pool under virtual time. The table can be made
/// unavailable, and tests decide by the engine's software whether answers are good, failed or slow.
#pragma once

#include "bench/simulation/virtual_scheduler.hpp"
#include "ferryroad/relay/release_service.hpp"
#include "test/relay/fake_network.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace ferryroad::relay::test {

namespace release = coordination::release;
using bench::simulation::virtual_scheduler;
using bench::simulation::virtual_time;

inline const base::pool_name the_pool("p");
inline const base::route_name the_route("r");

/// Table rows with conditional writes, shared by all routers.
struct shared_rows {
    base::duration call_time = std::chrono::milliseconds(4);
    std::map<std::string, platform::row> rows;
    std::uint64_t version = 0;
    bool down = false;
    std::size_t calls = 0;
};

/// The table as one router reaches it.
class rows_access final : public platform::table {
  public:
    rows_access(shared_rows& shared, runtime::scheduler& scheduler)
        : m_shared(shared), m_scheduler(scheduler) {}

    runtime::task<platform::result<std::vector<platform::transaction_outcome>>> transact(
        std::vector<platform::transaction> transactions) override {
        ++m_shared.calls;
        co_await m_scheduler.sleep_for(m_shared.call_time);
        if (m_shared.down || cut) {
            co_return platform::error{platform::error_code::unavailable, "down", std::nullopt};
        }
        std::vector<platform::transaction_outcome> outcomes;
        for (const platform::transaction& one : transactions) {
            outcomes.push_back(apply(one));
        }
        co_return outcomes;
    }
    runtime::task<platform::result<std::vector<platform::row>>> read(
        std::vector<platform::row_key> keys) override {
        ++m_shared.calls;
        co_await m_scheduler.sleep_for(m_shared.call_time);
        if (m_shared.down || cut) {
            co_return platform::error{platform::error_code::unavailable, "down", std::nullopt};
        }
        std::vector<platform::row> found;
        for (const platform::row_key& key : keys) {
            if (m_shared.rows.contains(key.value)) {
                found.push_back(m_shared.rows[key.value]);
            }
        }
        co_return found;
    }
    runtime::task<platform::result<std::vector<platform::row>>> scan(std::string, platform::row_key,
                                                                     std::uint32_t) override {
        co_return std::vector<platform::row>{};
    }

    bool cut = false;

  private:
    platform::transaction_outcome apply(const platform::transaction& wanted) {
        platform::transaction_outcome outcome;
        for (const platform::row_condition& condition : wanted.conditions) {
            const platform::row current = m_shared.rows.contains(condition.key.value)
                                              ? m_shared.rows[condition.key.value]
                                              : platform::row{condition.key, "", {}};
            if (current.version != condition.version) {
                outcome.conflicting = current;
                return outcome;
            }
        }
        outcome.committed = true;
        outcome.version = platform::row_version(++m_shared.version);
        for (const platform::row_write& write : wanted.writes) {
            m_shared.rows[write.key.value] = {write.key, *write.value, outcome.version};
        }
        return outcome;
    }

    shared_rows& m_shared;
    runtime::scheduler& m_scheduler;
};

/// One process of a router. It gets the list of engines from the test without delay.
struct release_router {
    release_router(virtual_time& time, fake_network& routers, shared_rows& shared,
                   std::vector<release::tell_status>& statuses, std::size_t index,
                   std::uint64_t process)
        : network(routers),
          rows(shared),
          self{base::router_name("r" + std::to_string(index)), base::zone_name("z"),
               base::endpoint{"10.0.0.1", static_cast<std::uint16_t>(1 + index)}},
          scheduler(time, process),
          transport(network, self.address),
          table(shared, scheduler),
          service({scheduler, transport, registry, table, clock,
                   [this, &statuses](release::tell_status wanted) {
                       return tell(statuses, std::move(wanted));
                   }},
                  self.name) {
        // The table's clock is that of the simulation; the router's starts with its process.
        const auto shown =
            std::chrono::milliseconds(1000 + base::to_milliseconds(time.now().time_since_epoch()));
        clock.observe(scheduler.now(), scheduler.now(), shown);
        connect();
        scheduler.run([this] { service.start(); });
    }
    release_router(const release_router&) = delete;
    release_router& operator=(const release_router&) = delete;
    ~release_router() {
        network.handlers.erase(self.address);
        scheduler.kill();
    }

    /// Receives datagrams, each after 1 ms.
    void connect() {
        transport.on_datagram([this](const base::endpoint& from, std::string_view bytes) {
            virtual_time& time = scheduler.time();
            time.at(
                time.now() + std::chrono::milliseconds(1), scheduler.process(),
                [this, from, told = std::string(bytes)] { service.handle_datagram(from, told); });
        });
    }
    /// Isolates the router: it gets no datagrams, and its calls to the table fail.
    void cut_off() {
        network.handlers.erase(self.address);
        table.cut = true;
    }

    runtime::task<platform::result<void>> tell(std::vector<release::tell_status>& statuses,
                                               release::tell_status wanted) {
        co_await scheduler.sleep_for(rows.call_time);
        if (table.cut) {
            co_return platform::error{platform::error_code::unavailable, "down", std::nullopt};
        }
        statuses.push_back(std::move(wanted));
        co_return platform::result<void>();
    }

    fake_network& network;
    shared_rows& rows;
    peer_address self;
    virtual_scheduler scheduler;
    fake_transport transport;
    rows_access table;
    engine_registry registry;
    owner_clock clock;
    release_service service;
};

/// An engine's answer to a request.
struct made_answer {
    bool failed = false;
    base::duration taken = std::chrono::milliseconds(20);
};

/// A request that a router sent to an engine.
struct sent_request {
    base::monotonic_time at{};
    std::size_t router = 0;
    std::string software;
    bool canary = false;
};

class simulated_release {
  public:
    static constexpr std::size_t old_engines = 8;

    explicit simulated_release(std::size_t size) : routers(size) {
        for (std::size_t index = 0; index < size; ++index) {
            start(index);
        }
        run_for(std::chrono::seconds(1));
    }

    void start(std::size_t index) {
        routers[index].reset();
        routers[index] =
            std::make_unique<release_router>(time, network, rows, statuses, index, ++m_processes);
        declare();
        list(index);
    }
    void kill(std::size_t index) { routers[index].reset(); }
    /// Gives all routers the list of running routers.
    void declare() {
        std::vector<peer_address> present;
        for (const auto& one : routers) {
            if (one) {
                present.push_back(one->self);
            }
        }
        for (const auto& one : routers) {
            if (one) {
                one->service.set_routers(present);
            }
        }
    }
    /// Adds engines to the list that all routers get.
    void add_engines(const std::string& software, std::size_t count) {
        for (std::size_t index = 0; index < count; ++index) {
            listed_engine one;
            one.name.value = software + "-" + std::to_string(index);
            one.pool = the_pool;
            one.software.value = software;
            m_engines.push_back(std::move(one));
        }
        list_all();
    }
    void remove_engines(const std::string& software) {
        std::erase_if(m_engines, [&](const auto& one) { return one.software.value == software; });
        list_all();
    }
    void order(const std::string& target, base::duration allowed) {
        m_order = release::release_order{release::order_number(++rows.version), the_pool,
                                         release::software_version(target), allowed};
        ordered_at = time.now();
        for (const auto& one : routers) {
            if (one) {
                one->service.order(*m_order);
            }
        }
    }
    /// Runs the simulation with traffic at all routers.
    void run_for(base::duration span) {
        constexpr base::duration step = std::chrono::milliseconds(20);
        const base::monotonic_time end = time.now() + span;
        while (time.now() < end) {
            time.run_until(time.now() + step);
            for (std::size_t index = 0; index < routers.size(); ++index) {
                if (routers[index]) {
                    confirm(*routers[index]);
                    routers[index]->scheduler.run([&] { send(index); });
                }
            }
        }
    }
    /// @return whether all running routers knew the phase within the span.
    bool run_until_all_know(release::release_phase phase, base::duration span) {
        const base::monotonic_time end = time.now() + span;
        while (!all_know(phase) && time.now() < end) {
            run_for(std::chrono::milliseconds(20));
        }
        return all_know(phase);
    }
    bool all_know(release::release_phase phase) const {
        return std::all_of(routers.begin(), routers.end(), [&](const auto& one) {
            return !one || one->service.traffic().gate().phase_of(the_pool) == phase;
        });
    }
    /// @return the number of requests sent to engines with the software since `from`, by one router
    /// or by all.
    std::size_t sent_to(const std::string& software, base::monotonic_time from = {},
                        std::optional<std::size_t> router = std::nullopt) const {
        return static_cast<std::size_t>(
            std::count_if(requests.begin(), requests.end(), [&](const sent_request& one) {
                return one.software == software && one.at >= from &&
                       (!router || one.router == *router);
            }));
    }
    std::size_t sent_since_order() const {
        return static_cast<std::size_t>(
            std::count_if(requests.begin(), requests.end(),
                          [&](const sent_request& one) { return one.at >= ordered_at; }));
    }
    /// @return the index of the coordinating router, the highest one where there are several.
    std::size_t coordinator() const {
        std::size_t found = routers.size();
        for (std::size_t index = 0; index < routers.size(); ++index) {
            if (routers[index] && routers[index]->service.coordinated_count() > 0) {
                found = index;
            }
        }
        cr_assert_lt(found, routers.size());
        return found;
    }
    /// @return the stored record, or an empty one.
    release::release_record record() const {
        const auto found = rows.rows.find("release/" + the_pool.value);
        const auto read = found == rows.rows.end()
                              ? std::nullopt
                              : release::decode_release_record(found->second.value);
        return read.value_or(release::release_record{});
    }

    virtual_time time{1};
    fake_network network;
    shared_rows rows;
    std::vector<release::tell_status> statuses;
    std::vector<std::unique_ptr<release_router>> routers;
    std::vector<sent_request> requests;
    std::size_t unserved = 0;
    base::monotonic_time ordered_at{};
    /// Makes the answer of an engine with the given software to the nth request.
    std::function<made_answer(const std::string&, std::size_t)> engine =
        [](const std::string&, std::size_t) { return made_answer{}; };

  private:
    void list_all() {
        for (std::size_t index = 0; index < routers.size(); ++index) {
            if (routers[index]) {
                list(index);
            }
        }
    }
    void list(std::size_t index) {
        release_router& one = *routers[index];
        if (m_engines.empty()) {
            add_engines("v1", old_engines);
        }
        if (m_order) {
            one.service.order(*m_order);
        }
        one.registry.replace_all(m_engines, one.scheduler.now());
        one.service.engines_changed();
    }
    void confirm(release_router& one) {
        if (!rows.down && !one.table.cut) {
            one.service.confirmed(one.scheduler.now() - std::chrono::milliseconds(500));
        }
    }
    void send(std::size_t index) {
        release_router& router = *routers[index];
        canary_traffic& traffic = router.service.traffic();
        const base::monotonic_time now = router.scheduler.now();
        for (int request = 0; request < 2; ++request) {
            const bool canary = traffic.choose(the_pool, the_route, now);
            release_filter filter(
                &traffic, canary ? released_requests::canary : released_requests::current, now);
            std::vector<const known_engine*> allowed;
            for (const auto& [name, engine_] : router.registry.engines()) {
                if (filter.allows(engine_)) {
                    allowed.push_back(&engine_);
                }
            }
            if (allowed.empty()) {
                ++unserved;
                continue;
            }
            const known_engine& to = *allowed[requests.size() % allowed.size()];
            const auto order = traffic.order_in_progress(the_pool);
            requests.push_back({time.now(), index, to.listed.software.value, canary});
            const made_answer made = engine(to.listed.software.value, requests.size());
            if (order) {
                traffic.ended({the_pool, the_route, to.listed.name, to.listed.software, *order,
                               made.failed, false, made.taken},
                              now);
            }
        }
    }

    std::uint64_t m_processes = 0;
    std::vector<listed_engine> m_engines;
    std::optional<release::release_order> m_order;
};

}  // namespace ferryroad::relay::test
