#include "ferryroad/router/node.hpp"

#include "ferryroad/base/hash.hpp"
#include "ferryroad/core/routing/policy.hpp"
#include "ferryroad/platform/batching_table.hpp"
#include "ferryroad/router/backends/backend_service.hpp"
#include "ferryroad/router/claims/table_claim_registry.hpp"
#include "ferryroad/router/configuration/configuration_service.hpp"
#include "ferryroad/router/membership/configuration_link.hpp"
#include "ferryroad/router/membership/live_router_views.hpp"
#include "ferryroad/router/membership/membership_service.hpp"
#include "ferryroad/router/membership/prefix_link.hpp"
#include "ferryroad/router/membership/quota_link.hpp"
#include "ferryroad/router/node_status.hpp"
#include "ferryroad/router/request/fair_admission.hpp"
#include "ferryroad/router/request/routing_request_service.hpp"
#include "ferryroad/router/selection/cache_event_adapter.hpp"
#include "ferryroad/router/selection/selector.hpp"
#include "ferryroad/router/selection/shared_prefix_knowledge.hpp"

#include <utility>

namespace ferryroad::router {

namespace {

/// Callers wait for claims, so claims may use more of the table's rate than periodic reads. The
/// pace drops when the table's rate limit rejects calls.
constexpr platform::pacer_limits claims_pace{20.0, 10.0};

}  // namespace

/// The members are in the order of construction: each depends only on those before it.
struct node::services {
    services(node_identity own_identity, const node_options& options, const node_ports& ports)
        : scheduler(ports.scheduler),
          identity(std::move(own_identity)),
          dispatcher(ports.peers, identity.name, identity.process),
          membership({identity.name, identity.process, identity.zone, identity.region,
                      identity.peer_address},
                     options.seeds, {scheduler, ports.peers, dispatcher}),
          configuration_peers(scheduler, dispatcher, membership, identity.name),
          configuration({ports.table, ports.objects, configuration_peers, scheduler}),
          ready(configuration),
          directory(scheduler, configuration),
          knowledge_routers(membership),
          knowledge_peers(dispatcher),
          knowledge(identity.name, knowledge_routers, knowledge_peers, scheduler),
          events(knowledge),
          backend({scheduler, ports.machines, ports.engines, directory, events},
                  [this](const base::engine_name& engine) { return owns_events_of(engine); }),
          selector(directory, knowledge, core::routing::make_policy(options.policy), scheduler),
          liveness(membership),
          claims_table(scheduler, ports.table, {claims_pace, {}}),
          claims(scheduler, claims_table, liveness, {identity.name, identity.process}),
          quota_peers(dispatcher, membership),
          quotas(scheduler, identity.name,
                 [this](base::router_name home, quotas::quota_ask question) {
                     return quota_peers.ask(std::move(home), std::move(question));
                 }),
          quota(quotas, configuration),
          admission(scheduler, directory, quota),
          requests(configuration, admission,
                   {scheduler, directory, selector, ports.engines, claims, identity.name}),
          status(identity, ready, configuration, directory, membership) {
        connect();
    }

    /// Registers the callbacks between the services.
    void connect() {
        configuration_peers.serve(configuration);
        knowledge_peers.serve(knowledge);
        quota_peers.serve(quotas, membership);
        membership.listen({[this] { return configuration.current()->revision; },
                           [this](base::revision seen) { configuration.observe_revision(seen); },
                           [this](const base::engine_name& engine, base::incarnation process) {
                               directory.record_leaving(engine, process);
                           }});
        directory.on_leaving([this](const base::engine_name& engine, base::incarnation process) {
            membership.gossip_engine_leaving(engine, process);
        });
    }

    /// @return whether this router is the one that reads the engine's cache events.
    bool owns_events_of(const base::engine_name& engine) const {
        return membership.owned_here(base::hash_bytes(engine.value));
    }

    runtime::scheduler& scheduler;
    node_identity identity;
    peer::peer_dispatcher dispatcher;
    membership::membership_service membership;
    membership::configuration_link configuration_peers;
    configuration_service configuration;
    readiness ready;
    backends::backend_directory directory;
    membership::selection_view knowledge_routers;
    membership::prefix_link knowledge_peers;
    selection::shared_prefix_knowledge knowledge;
    selection::cache_event_adapter events;
    backends::backend_service backend;
    selection::selector selector;
    membership::liveness_view liveness;
    platform::batching_table claims_table;
    table_claim_registry claims;
    membership::quota_link quota_peers;
    quotas::quota_service quotas;
    fleet_quota quota;
    fair_admission admission;
    routing_request_service requests;
    node_status status;
};

node::node(node_identity identity, const node_options& options, const node_ports& ports)
    : services_(std::make_unique<services>(std::move(identity), options, ports)) {}

node::~node() = default;

void node::start() {
    services_->membership.start();
    services_->configuration.start();
    services_->backend.start();
    services_->scheduler.spawn("router.claims", services_->claims.run_sweep_loop());
}

void node::begin_stop() {
    services_->ready.begin_stop();
    services_->membership.leave();
}

runtime::task<void> node::drain() {
    return services_->requests.drain();
}

void node::stop() {
    services_->backend.stop();
    services_->configuration.stop();
    services_->membership.stop();
}

const readiness& node::ready_state() const {
    return services_->ready;
}
request_service& node::requests() {
    return services_->requests;
}
void node::observe_requests(request_observer& observer) {
    services_->requests.observe(observer);
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
