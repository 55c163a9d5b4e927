#include "bench/simulation/cluster/cluster.hpp"

#include <algorithm>
#include <utility>

namespace ferryroad::bench::simulation {

namespace {

constexpr std::uint16_t router_port = 7000;
constexpr std::uint16_t engine_port = 8000;
constexpr std::uint16_t platform_port = 9000;
constexpr std::uint16_t caller_port = 5000;
constexpr std::size_t addresses_per_net = 250;
constexpr base::duration start_step = std::chrono::milliseconds(100);
const base::region_name only_region{"region"};

/// @return the address of machine `index` in the net of its kind.
base::endpoint machine_address(int net, std::size_t index, std::uint16_t port) {
    const std::size_t third = index / addresses_per_net;
    const std::size_t fourth = index % addresses_per_net + 1;
    return {
        "10." + std::to_string(net) + "." + std::to_string(third) + "." + std::to_string(fourth),
        port};
}

}  // namespace

cluster::cluster(cluster_options options)
    : options_(std::move(options)),
      time_(options_.seed),
      carrier_(time_, options_.links, faults_),
      platform_(carrier_, machine_address(1, 0, platform_port), options_.platform),
      peers_(carrier_) {
    add_engines();
    add_routers();
    for (std::size_t zone = 0; zone < options_.zones; ++zone) {
        caller_machines_.push_back(machine_address(4, zone, caller_port));
        carrier_.place(caller_machines_.back(), place_of(zone));
    }
    operators_ = std::make_unique<operators>(time_, router_pointers());
    callers_ = std::make_unique<caller_population>(carrier_, router_pointers(), caller_machines_,
                                                   options_.callers);
}

cluster::~cluster() {
    routers_.clear();
}

machine_place cluster::place_of(std::size_t index) const {
    const std::string zone = "zone-" + std::to_string(index % options_.zones);
    return {base::zone_name(zone), only_region};
}

void cluster::add_engines() {
    const std::size_t total = options_.engines + options_.application_engines;
    for (std::size_t index = 0; index < total; ++index) {
        const bool model = index < options_.engines;
        engine_machine machine;
        machine.name =
            base::engine_name((model ? "engine-" : "application-") + std::to_string(index));
        machine.address = machine_address(2, index, engine_port);
        machine.where = place_of(index);
        if (model) {
            emulator::engine_model_settings settings = options_.engine;
            settings.name = machine.name;
            machine.service = settings;
        } else {
            machine.service = options_.application;
        }
        engines_.push_back(std::make_unique<simulated_engine>(carrier_, std::move(machine)));
        fleet_.add(*engines_.back());
    }
}

void cluster::add_routers() {
    std::vector<base::endpoint> addresses;
    for (std::size_t index = 0; index < options_.routers; ++index) {
        addresses.push_back(machine_address(3, index, router_port));
    }
    const std::size_t seeds = std::min<std::size_t>(addresses.size(), 3);
    for (std::size_t index = 0; index < options_.routers; ++index) {
        router_machine machine;
        machine.name = base::router_name("router-" + std::to_string(index));
        machine.address = addresses[index];
        machine.where = place_of(index);
        machine.seeds.assign(addresses.begin(),
                             addresses.begin() + static_cast<std::ptrdiff_t>(seeds));
        machine.policy = options_.policy;
        machine.clock_rate_error = options_.clock_rate_error;
        routers_.push_back(std::make_unique<simulated_router>(
            std::move(machine), router_neighbours{carrier_, peers_, fleet_, platform_}));
    }
}

std::vector<simulated_router*> cluster::router_pointers() const {
    std::vector<simulated_router*> pointers;
    for (const auto& router : routers_) {
        pointers.push_back(router.get());
    }
    return pointers;
}

void cluster::list_engine(const simulated_engine& engine) {
    const cluster_names names;
    platform::machine machine;
    machine.name = engine.name().value;
    machine.kind = platform::machine_kind::engine;
    machine.address = engine.address();
    machine.zone = engine.where().zone;
    machine.region = engine.where().region;
    machine.pool = engine.is_model() ? names.model_pool.value : names.application_pool.value;
    machine.state =
        engine.is_leaving() ? platform::machine_state::leaving : platform::machine_state::live;
    platform_.put_machine(machine);
}

bool cluster::all_ready() const {
    return std::all_of(routers_.begin(), routers_.end(),
                       [](const auto& router) { return router->ready(); });
}

bool cluster::start(base::duration limit) {
    for (const auto& engine : engines_) {
        list_engine(*engine);
    }
    for (const auto& router : routers_) {
        router->start();
    }
    operators_->apply_all(make_catalog(options_), "first");
    const base::monotonic_time latest = time_.now() + limit;
    while (!all_ready() && time_.now() < latest) {
        time_.run_until(time_.now() + start_step);
    }
    return all_ready();
}

}  // namespace ferryroad::bench::simulation
