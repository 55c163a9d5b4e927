#include "ferryroad/operator/service/status_codec.hpp"

#include <string_view>

namespace ferryroad::operators {

namespace {

grpc::StatusCode to_code(router::configuration_error_code code) {
    switch (code) {
        case router::configuration_error_code::invalid:
            return grpc::StatusCode::INVALID_ARGUMENT;
        case router::configuration_error_code::revision_conflict:
            return grpc::StatusCode::ABORTED;
        case router::configuration_error_code::unavailable:
            return grpc::StatusCode::UNAVAILABLE;
        case router::configuration_error_code::outcome_unknown:
            return grpc::StatusCode::UNKNOWN;
        case router::configuration_error_code::not_found:
            return grpc::StatusCode::NOT_FOUND;
    }
    return grpc::StatusCode::INTERNAL;
}

const char* to_text(router::member_health health) {
    switch (health) {
        case router::member_health::alive:
            return "alive";
        case router::member_health::suspect:
            return "suspect";
        case router::member_health::dead:
            return "dead";
        case router::member_health::leaving:
            return "leaving";
        case router::member_health::drained:
            return "drained";
    }
    return "";
}

void encode_router(const router::router_status& status, v1::RouterStatus& into) {
    into.set_name(status.name.value);
    into.set_address(status.address.to_string());
    into.set_zone(status.zone.value);
    into.set_state(to_text(status.health));
    into.set_revision(status.revision.value);
    into.set_incarnation(status.incarnation.value);
}

void encode_engine(const router::engine_status& status, v1::EngineStatus& into) {
    into.set_name(status.name.value);
    into.set_address(status.address.to_string());
    into.set_pool(status.pool.value);
    into.set_zone(status.zone.value);
    into.set_state(to_text(status.health));
    into.set_incarnation(status.load.incarnation.value);
    into.set_model(status.load.model.value);
    into.set_version(status.load.version.value);
    into.set_running(status.load.running);
    into.set_queued(status.load.queued);
    into.set_cached_pieces(status.load.cached_pieces);
    into.set_capacity_pieces(status.load.capacity_pieces);
}

}  // namespace

grpc::Status to_status(const router::configuration_error& failure) {
    return {to_code(failure.code), failure.message};
}

void encode_status(const router::system_status& status, v1::StatusAnswer& into) {
    into.set_router(status.self.value);
    into.set_ready(status.ready);
    for (const router::router_status& router : status.routers) {
        encode_router(router, *into.add_routers());
    }
    for (const router::engine_status& engine : status.engines) {
        encode_engine(engine, *into.add_engines());
    }
}

void encode_decision(const router::decision_record& decision, v1::ExplainAnswer& into) {
    into.set_request_id(decision.request.value);
    into.set_pool(decision.pool.value);
    into.set_policy(decision.policy);
    for (const router::candidate_record& record : decision.candidates) {
        v1::Candidate& candidate = *into.add_candidates();
        candidate.set_engine(record.engine.value);
        candidate.set_cached_pieces(record.cached_pieces);
        candidate.set_queue_seconds(base::to_seconds(record.queue_wait));
        candidate.set_prefill_seconds(base::to_seconds(record.prefill));
        candidate.set_import_seconds(base::to_seconds(record.import));
        candidate.set_cost_seconds(base::to_seconds(record.cost));
        candidate.set_chosen(record.chosen);
    }
}

}  // namespace ferryroad::operators
