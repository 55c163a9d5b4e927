#include "ferryroad/router/node.hpp"

#include "ferryroad/core/routing/policy.hpp"
#include "ferryroad/platform/batching_table.hpp"
#include "ferryroad/router/backends/backend_service.hpp"
#include "ferryroad/router/claims/table_claim_registry.hpp"
#include "ferryroad/router/configuration/configuration_service.hpp"
#include "ferryroad/router/node_status.hpp"
#include "ferryroad/router/request/fair_admission.hpp"
#include "ferryroad/router/request/routing_request_service.hpp"
#include "ferryroad/router/selection/local_prefix_knowledge.hpp"
#include "ferryroad/router/selection/selector.hpp"

#include <utility>

namespace ferryroad::router {

namespace {

/// A claim's answer is on its caller's path, so that claims may use more of the table's rate
/// than what only polls; refusals by the rate limit slow them down.
constexpr platform::pacer_limits claims_pace{20.0, 10.0};

/// Cache events that this router reads go into the prefix index.
class events_into_knowledge final : public backends::cache_event_sink {
  public:
    explicit events_into_knowledge(selection::prefix_knowledge& knowledge)
        : knowledge_(knowledge) {}

    void accept(const base::engine_name& engine, const engine::cache_event_batch& batch) override {
        knowledge_.report_events(engine, batch);
    }

  private:
    selection::prefix_knowledge& knowledge_;
};

/// Before membership has spoken: no process is known to have ended.
class alone final : public process_liveness {
  public:
    bool known_dead(const base::router_name&, base::incarnation) const override { return false; }
    std::size_t live_routers() const override { return 1; }
};

}  // namespace

/// In the order of construction: each stands on those before it.
struct node::services {
    services(node_identity who, const node_options& options, const node_ports& ports)
        : scheduler(ports.scheduler),
          identity(std::move(who)),
          configuration({ports.table, ports.objects, peers, ports.scheduler}),
          ready(configuration),
          directory(ports.scheduler, configuration),
          knowledge(ports.scheduler),
          events(knowledge),
          backend({ports.scheduler, ports.machines, ports.engines, directory, events},
                  [](const base::engine_name&) { return true; }),
          selector(directory, knowledge, core::routing::make_policy(options.policy),
                   ports.scheduler),
          claims_table(ports.scheduler, ports.table, {claims_pace, {}}),
          claims(ports.scheduler, claims_table, liveness, {identity.name, identity.process}),
          admission(ports.scheduler, directory, quota),
          requests(configuration, admission,
                   {ports.scheduler, directory, selector, ports.engines, claims}),
          status(identity, ready, configuration, directory) {}

    runtime::scheduler& scheduler;
    node_identity identity;
    no_peers peers;
    configuration_service configuration;
    readiness ready;
    backends::backend_directory directory;
    selection::local_prefix_knowledge knowledge;
    events_into_knowledge events;
    backends::backend_service backend;
    selection::selector selector;
    alone liveness;
    platform::batching_table claims_table;
    table_claim_registry claims;
    whole_quota quota;
    fair_admission admission;
    routing_request_service requests;
    node_status status;
};

node::node(node_identity identity, node_options options, const node_ports& ports)
    : services_(std::make_unique<services>(std::move(identity), options, ports)) {}

node::~node() = default;

void node::start() {
    services_->configuration.start();
    services_->backend.start();
    services_->scheduler.spawn("router.claims", services_->claims.sweep_for_ever());
}

void node::begin_stop() {
    services_->ready.begin_stop();
}

void node::stop() {
    services_->backend.stop();
    services_->configuration.stop();
}

const readiness& node::ready_state() const {
    return services_->ready;
}
request_service& node::requests() {
    return services_->requests;
}
configuration_view& node::configuration() {
    return services_->configuration;
}
configuration_control& node::control() {
    return services_->configuration;
}
engine_selector& node::selector() {
    return services_->selector;
}
status_source& node::status() {
    return services_->status;
}

}  // namespace ferryroad::router
