#include "ferryroad/relay/relay_metrics.hpp"

namespace ferryroad::relay {

namespace {

const std::vector<double> second_bounds = {0.02, 0.05, 0.1, 0.2, 0.4, 0.6, 0.8, 1.2, 2, 4, 8, 16};

std::string kind_of(core::traffic::request_kind kind) {
    switch (kind) {
        case core::traffic::request_kind::safe:
            return "safe";
        case core::traffic::request_kind::unsafe:
            return "unsafe";
        case core::traffic::request_kind::streaming:
            break;
    }
    return "streaming";
}

}  // namespace

void relay_metrics::count_withdrawals(const relay_outcome& outcome) {
    const auto count = [this](dispatch_precondition lost, std::uint32_t times) {
        if (times > 0) {
            m_registry
                .counter_of("ferryroad_relay_withdrawals_total",
                            "Dispatches withdrawn as they waited at an engine, by what they lost.",
                            {{"lost", std::string(to_string(lost))}})
                .add(times);
        }
    };
    const std::uint32_t quarantined = outcome.quarantined_waiting ? 1 : 0;
    count(dispatch_precondition::no_quarantine, quarantined);
    count(dispatch_precondition::state_current, outcome.state_withdrawals);
    count(dispatch_precondition::engine_serves,
          outcome.withdrawals - quarantined - outcome.state_withdrawals);
}

void relay_metrics::count_continued(const relay_plan& plan, const relay_outcome& outcome) {
    if (plan.call->resumed_attempt || plan.call->last_event_id) {
        m_registry
            .counter_of("ferryroad_relay_streams_resumed_total",
                        "Streams that callers resumed, by whether an event followed.",
                        {{"continued", outcome.events > 0 ? "true" : "false"}})
            .add();
    }
    if (outcome.continued > 0) {
        m_registry
            .counter_of("ferryroad_relay_streams_continued_total",
                        "Exchanges that continued a stream within its answer.", {})
            .add(outcome.continued);
    }
    if (outcome.mixed_software) {
        m_registry
            .counter_of("ferryroad_relay_streams_mixed_total",
                        "Streams with events of several software versions of a pool.", {})
            .add();
    }
}

void relay_metrics::request_ended(const relay_plan& plan, const relay_outcome& outcome) {
    const std::string kind = kind_of(plan.matched_route->kind);
    const std::string cause =
        outcome.refusal ? std::string(to_string(outcome.refusal->cause)) : "answered";
    m_registry
        .counter_of("ferryroad_relay_requests_total", "Requests that ended, by kind and outcome.",
                    {{"kind", kind}, {"outcome", cause}})
        .add();
    if (outcome.dispatches > 1) {
        m_registry
            .counter_of("ferryroad_relay_retries_total", "Dispatches after a request's first.",
                        {{"kind", kind}})
            .add(outcome.dispatches - 1);
    }
    count_withdrawals(outcome);
    count_continued(plan, outcome);
    if (outcome.begun_after) {
        const bool within = *outcome.begun_after <= outcome.begin_bound;
        m_registry
            .counter_of("ferryroad_relay_begins_total",
                        "Requests that began, by whether it was within the time expected.",
                        {{"within", within ? "true" : "false"}})
            .add();
    }
    if (outcome.begun_outdated) {
        m_registry
            .histogram_of("ferryroad_relay_begun_outdated_seconds",
                          "Since newer weights were named, as requests began on older ones.",
                          second_bounds)
            .observe(base::to_seconds(*outcome.begun_outdated));
    }
    if (!outcome.first_event) {
        return;
    }
    m_registry
        .histogram_of("ferryroad_relay_first_event_seconds", "From arrival to the first event.",
                      second_bounds)
        .observe(base::to_seconds(*outcome.first_event));
    m_registry
        .histogram_of("ferryroad_relay_predicted_first_event_seconds",
                      "The same, as estimated when the engine was chosen.", second_bounds)
        .observe(outcome.predicted_ms / 1e3);
    m_registry
        .histogram_of("ferryroad_relay_longest_gap_seconds", "Longest pause between two events.",
                      second_bounds)
        .observe(base::to_seconds(outcome.longest_gap));
}

void relay_metrics::set_memory_gauges(const relay_gauges& now) {
    const auto set = [this](const char* name, const char* help, double value) {
        m_registry.gauge_of(name, help).set(value);
    };
    set("ferryroad_relay_message_memory_bytes", "Memory of requests and answers.",
        static_cast<double>(now.memory.used_bytes));
    set("ferryroad_relay_message_memory_peak_bytes", "Its maximum since the start.",
        static_cast<double>(now.memory.peak_bytes));
    set("ferryroad_relay_message_memory_limit_bytes", "Its limit.",
        static_cast<double>(now.memory_limit_bytes));
    set("ferryroad_relay_messages_evicted", "Messages that lost their memory to others.",
        static_cast<double>(now.memory.evicted));
    set("ferryroad_relay_message_memory_refusals", "Messages for which no memory was left.",
        static_cast<double>(now.memory.refused));
    set("ferryroad_relay_connections_evicted", "Connections closed to make room for others.",
        static_cast<double>(now.evicted_connections));
}

void relay_metrics::set_quarantine_gauges(const relay_gauges& now) {
    const auto set = [this](const char* name, const char* help, double value) {
        m_registry.gauge_of(name, help).set(value);
    };
    const quarantine_counters& counted = now.quarantine;
    set("ferryroad_relay_quarantined_requests", "Requests now held back: engines ended under them.",
        static_cast<double>(now.quarantined_requests));
    set("ferryroad_relay_quarantined_parts",
        "Prompt parts in quarantine, as engines crash with them.",
        static_cast<double>(now.quarantined_parts));
    set("ferryroad_relay_parts_quarantined", "Quarantines of prompt parts that began.",
        static_cast<double>(now.quarantine.quarantined_parts));
    set("ferryroad_relay_part_trials", "Requests that tried a prompt part after its quarantine.",
        static_cast<double>(now.quarantine.part_trials));
    set("ferryroad_relay_engine_crashes_seen", "Engines that ended with requests of this router.",
        static_cast<double>(counted.crashes_seen));
    set("ferryroad_relay_engine_crashes_told", "Ends of engines that other routers told.",
        static_cast<double>(counted.crashes_told));
    set("ferryroad_relay_breaks_unconfirmed", "Broken exchanges whose engine took a connection.",
        static_cast<double>(counted.breaks_unconfirmed));
    set("ferryroad_relay_requests_quarantined", "Requests that came into quarantine.",
        static_cast<double>(counted.quarantined));
    set("ferryroad_relay_requests_cleared", "Requests of ended engines that another lived through.",
        static_cast<double>(counted.released));
    set("ferryroad_relay_crash_rows_written", "Writes of this router's row of ended engines.",
        static_cast<double>(now.crash_rows_written));
}

void relay_metrics::set_origin_gauges(const relay_gauges& now) {
    const auto set = [this](const char* name, const char* help, double value) {
        m_registry.gauge_of(name, help).set(value);
    };
    const stream_origin_counters& counted = now.origins;
    set("ferryroad_relay_stream_origins_kept", "Streams whose software version is kept here.",
        static_cast<double>(now.origins_kept));
    set("ferryroad_relay_stream_origins_recorded", "Streams that began at this router.",
        static_cast<double>(counted.recorded));
    set("ferryroad_relay_stream_origins_replicated", "Origins of streams that others told.",
        static_cast<double>(counted.replicas));
    set("ferryroad_relay_stream_origin_queries", "Queries for the origin of a stream, sent.",
        static_cast<double>(counted.queries));
    set("ferryroad_relay_stream_origin_queries_received", "The same, received.",
        static_cast<double>(counted.answered));
    const stored_origin_totals& stored = now.stored_origins;
    set("ferryroad_relay_stream_origin_waits", "Streams held back until their origin was stored.",
        static_cast<double>(stored.waiting.waits));
    set("ferryroad_relay_stream_origin_wait_timeouts", "Those that were not stored in time.",
        static_cast<double>(stored.waiting.timeouts));
    set("ferryroad_relay_stream_origins_stored", "Origins that this router wrote to the table.",
        static_cast<double>(stored.recorder.stored));
    set("ferryroad_relay_stream_origin_batches", "Transactions with origins.",
        static_cast<double>(stored.recorder.batches));
    set("ferryroad_relay_stream_origin_batches_failed", "Those that failed.",
        static_cast<double>(stored.recorder.failed_batches));
    set("ferryroad_relay_stream_origin_rows_removed", "Old rows with origins that were removed.",
        static_cast<double>(stored.recorder.removed_rows));
    set("ferryroad_relay_stream_origin_reads_failed", "Failed reads of stored origins.",
        static_cast<double>(stored.reader.failures));
    set("ferryroad_relay_version_record_failures", "Failed writes of the pools' versions.",
        static_cast<double>(stored.versions.failures));
}

std::string relay_metrics::to_text(const relay_gauges& now) {
    const auto set = [this](const char* name, const char* help, double value) {
        m_registry.gauge_of(name, help).set(value);
    };
    set("ferryroad_relay_policy_age_seconds", "Since the policy was confirmed.",
        now.policy_age_seconds);
    set("ferryroad_relay_engines_age_seconds", "Since the list of engines was confirmed.",
        now.engines_age_seconds);
    set("ferryroad_relay_policy_version", "Version in force.",
        static_cast<double>(now.policy_version));
    set("ferryroad_relay_engines_ready", "Engines that may get work.",
        static_cast<double>(now.engines_ready));
    set("ferryroad_relay_engines_leaving", "Engines that are leaving.",
        static_cast<double>(now.engines_leaving));
    set("ferryroad_relay_engines_leaving_unlisted",
        "Engines that state that they are leaving while the list has them as ready.",
        static_cast<double>(now.engines_leaving_unlisted));
    set("ferryroad_relay_engines_backing_off", "Engines that want no requests at present.",
        static_cast<double>(now.engines_backing_off));
    set("ferryroad_relay_engine_backoffs_stated", "Answers in which engines asked for a backoff.",
        static_cast<double>(now.backoffs_stated));
    set("ferryroad_relay_engines_suspended", "Engines passed over for their failures.",
        static_cast<double>(now.engines_suspended));
    set("ferryroad_relay_engine_paths_lost", "1 while this router reaches no engine.",
        now.engine_paths_lost ? 1 : 0);
    set("ferryroad_relay_engine_paths_failing", "Engines to which connections fail at present.",
        static_cast<double>(now.engine_paths_failing));
    set("ferryroad_relay_engine_path_losses", "Times that no engine could be reached any more.",
        static_cast<double>(now.paths.losses));
    set("ferryroad_relay_engine_path_probes", "Connections opened to probe paths to engines.",
        static_cast<double>(now.paths.probes));
    set("ferryroad_relay_forwarded_out_active", "Requests that other routers pass on to engines.",
        static_cast<double>(now.forwarded_out_active));
    set("ferryroad_relay_forwarded_out", "Requests that another router passed on to an engine.",
        static_cast<double>(now.transport.forwarded));
    set("ferryroad_relay_forwarded_out_failures", "Routers that were asked and passed nothing on.",
        static_cast<double>(now.transport.forward_failures));
    set("ferryroad_relay_forwarded_in_active", "Requests of other routers passed on to engines.",
        static_cast<double>(now.forwarded_in_active));
    set("ferryroad_relay_forwarded_in", "Requests of other routers that were passed on.",
        static_cast<double>(now.forwarding.accepted));
    set("ferryroad_relay_forwarded_in_refused", "Requests of other routers that were refused.",
        static_cast<double>(now.forwarding.refused));
    set("ferryroad_relay_engines_limited", "Engines that state a request limit.",
        static_cast<double>(now.engines_limited));
    set("ferryroad_relay_engine_limit_changes", "Limits of engines that began, changed or ended.",
        static_cast<double>(now.engine_limits.changes));
    set("ferryroad_relay_engine_limit_granted", "Requests sent within the limits of engines.",
        static_cast<double>(now.engine_limits.granted));
    set("ferryroad_relay_engine_limit_refused", "Requests not sent to an engine for its limit.",
        static_cast<double>(now.engine_limits.refused));
    set("ferryroad_relay_engine_limit_own_share", "Of both, decided by this router's own share.",
        static_cast<double>(now.engine_limits.own_share));
    set("ferryroad_relay_engine_limit_asks_unanswered",
        "Asks for permits that were not answered in time.",
        static_cast<double>(now.limit_asks_unanswered));
    set("ferryroad_relay_engine_slots_granted", "Slots granted of engines that limit rejections.",
        static_cast<double>(now.engine_slots.granted));
    set("ferryroad_relay_engine_slots_refused", "Slots refused of engines that limit rejections.",
        static_cast<double>(now.engine_slots.refused));
    set("ferryroad_relay_engine_slots_own_share", "Of both, decided by this router's own share.",
        static_cast<double>(now.engine_slots.own_share));
    set("ferryroad_relay_engine_slots_asks_unanswered",
        "Asks for slots that were not answered in time.",
        static_cast<double>(now.slot_asks_unanswered));
    set("ferryroad_relay_engine_rejections",
        "Requests rejected by engines that limit their rejections.",
        static_cast<double>(now.engine_slots.rejections));
    set("ferryroad_relay_active_requests", "Requests being served.",
        static_cast<double>(now.active_requests));
    set("ferryroad_relay_shed_share", "Share of streams refused as engines are short, 0 to 1.",
        now.shed_share);
    set("ferryroad_relay_quota_asks", "Requests that another router was asked to count.",
        static_cast<double>(now.quota_asks));
    set("ferryroad_relay_quota_asks_unanswered", "Those that were not answered in time.",
        static_cast<double>(now.quota_asks_unanswered));
    set("ferryroad_relay_quota_late_answers",
        "Answers, also on limits and slots of engines, that arrived after their request had "
        "stopped "
        "waiting.",
        static_cast<double>(now.quota_late_answers));
    set("ferryroad_relay_quota_own_part", "Requests that this router's own part decided.",
        static_cast<double>(now.quota_own_part));
    set("ferryroad_relay_quota_tenants", "Tenants for whom this router counts.",
        static_cast<double>(now.quota_tenants));
    set("ferryroad_relay_remembered_parts", "Prompt parts whose holders are remembered.",
        static_cast<double>(now.remembered_parts));
    set("ferryroad_relay_followed_holders", "Engines and stores whose state is kept in step.",
        static_cast<double>(now.followed_holders));
    set("ferryroad_relay_live_peers", "Routers heard a moment ago.",
        static_cast<double>(now.live_peers));
    set("ferryroad_relay_notices_sent", "Datagrams sent to other routers.",
        static_cast<double>(now.notices_sent));
    set("ferryroad_relay_notices_malformed", "Datagrams received that made no sense.",
        static_cast<double>(now.notices_malformed));
    set("ferryroad_relay_holds_rollout_lease", "1 while this router leads the rollout.",
        now.holds_rollout_lease ? 1 : 0);
    set("ferryroad_relay_orders_sent", "Orders sent to engines by this process.",
        static_cast<double>(now.orders_sent));
    set("ferryroad_relay_reads_store", "1 while this router reads the store's tables for others.",
        now.reads_owner ? 1 : 0);
    set("ferryroad_relay_table_calls_to_peers", "Calls for copies of tables to other routers.",
        static_cast<double>(now.table_calls_to_peers));
    set("ferryroad_relay_table_answers_to_peers", "Answers from copies of tables to other routers.",
        static_cast<double>(now.table_answers_to_peers));
    set("ferryroad_relay_table_requests_malformed",
        "Requests for copies of tables that made no sense.",
        static_cast<double>(now.table_requests_malformed));
    set("ferryroad_relay_table_reads_behind",
        "Copies of tables told by other routers that were too old.",
        static_cast<double>(now.table_reads_behind));
    set("ferryroad_relay_table_reads_failed",
        "Reads of tables, from the store or other routers, without an answer.",
        static_cast<double>(now.table_reads_failed));
    set("ferryroad_relay_store_calls", "Calls to follow the store's tables and for leases.",
        static_cast<double>(now.store_calls));
    for (const metered_bytes& one : now.exchanged) {
        const runtime::metric_labels labels = {
            {"kind", std::string(to_string(one.kind))},
            {"distance", std::string(core::topology::to_string(one.away))}};
        m_registry
            .gauge_of("ferryroad_relay_exchanged_bytes",
                      "Bytes exchanged since the start, by what they are and how far they go.",
                      labels)
            .set(static_cast<double>(one.bytes));
        m_registry
            .gauge_of("ferryroad_relay_exchanged_messages",
                      "Messages, or pieces of answers, of these bytes.", labels)
            .set(static_cast<double>(one.messages));
    }
    set("ferryroad_relay_release_reports_sent", "Reports sent to coordinators of releases.",
        static_cast<double>(now.release_traffic.reports_sent));
    set("ferryroad_relay_release_reports_unanswered", "Those that were not answered in time.",
        static_cast<double>(now.release_traffic.reports_unanswered));
    set("ferryroad_relay_release_reports_taken", "Reports taken as coordinator of a release.",
        static_cast<double>(now.release_traffic.reports_received));
    set("ferryroad_relay_release_table_calls", "Calls to the store as coordinator of a release.",
        static_cast<double>(now.release_traffic.table_calls));
    set("ferryroad_relay_releases_led", "Releases that this router coordinates.",
        static_cast<double>(now.releases_led));
    set_quarantine_gauges(now);
    set_memory_gauges(now);
    set_origin_gauges(now);
    for (const local_release& one : now.releases) {
        set_release_gauges(one);
    }
    return m_registry.to_text();
}

void relay_metrics::set_release_gauges(const local_release& release) {
    using coordination::release::release_phase;
    const std::string& pool = release.order.pool.value;
    for (const auto phase : {release_phase::trial, release_phase::promoted,
                             release_phase::completed, release_phase::rolled_back}) {
        m_registry
            .gauge_of("ferryroad_relay_release_phase",
                      "1 for the phase of the pool's order that was told last.",
                      {{"pool", pool}, {"phase", std::string(to_string(phase))}})
            .set(release.phase == phase ? 1 : 0);
    }
    const auto set = [&](const char* name, const char* help, double value) {
        m_registry.gauge_of(name, help, {{"pool", pool}}).set(value);
    };
    set("ferryroad_relay_release_requests", "Requests of the pool while a trial was allowed.",
        static_cast<double>(release.requests));
    set("ferryroad_relay_release_exposed", "Of these, sent to the version on trial.",
        static_cast<double>(release.exposed));
    set("ferryroad_relay_release_evidence",
        "Of this router alone, that the version is bad (logarithm of a likelihood ratio).",
        release.found.evidence);
    set("ferryroad_relay_release_evidence_bound", "Evidence from which on it is bad.",
        release.found.bound);
    set_answer_gauges(release);
}

void relay_metrics::set_answer_gauges(const local_release& release) {
    core::canary::outcome_counts current;
    core::canary::outcome_counts canary;
    for (const auto& [route, counted] : release.counts) {
        current.answered += counted.current.answered;
        current.failed += counted.current.failed;
        canary.answered += counted.canary.answered;
        canary.failed += counted.canary.failed;
    }
    const auto set = [&](const char* group, const char* outcome, std::uint32_t count) {
        m_registry
            .gauge_of("ferryroad_relay_release_answers",
                      "Answers under the pool's order, by the engine's version and by outcome.",
                      {{"pool", release.order.pool.value}, {"group", group}, {"outcome", outcome}})
            .set(count);
    };
    set("current", "failed", current.failed);
    set("current", "answered", current.answered - current.failed);
    set("canary", "failed", canary.failed);
    set("canary", "answered", canary.answered - canary.failed);
}

}  // namespace ferryroad::relay
