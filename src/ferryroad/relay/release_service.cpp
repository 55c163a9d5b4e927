#include "ferryroad/relay/release_service.hpp"

#include "ferryroad/runtime/log.hpp"

#include <algorithm>
#include <string>
#include <variant>

namespace ferryroad::relay {

namespace canary = core::canary;
namespace release = coordination::release;

namespace {

constexpr std::string_view component = "relay.release";

/// A coordinator that leaves this many reports unanswered counts as silent. Two reports take some
/// 0.5 s, a quarter of a grant.
constexpr std::uint32_t max_unanswered_reports = 2;

coordination::quota::homes_tunables coordinator_choice_tunables() {
    coordination::quota::homes_tunables tunables;
    tunables.exclude_after_unanswered = max_unanswered_reports;
    return tunables;
}

/// @return the key of the pool's release record, which also determines the pool's coordinator.
std::string record_key(const base::pool_name& pool) {
    return "release/" + pool.value;
}

release::trial_verdict to_trial_verdict(canary::verdict found) {
    switch (found) {
        case canary::verdict::good:
            return release::trial_verdict::good;
        case canary::verdict::bad:
            return release::trial_verdict::bad;
        case canary::verdict::undecided:
            break;
    }
    return release::trial_verdict::undecided;
}

void log_call(const release::release_order& order, std::string_view call, std::string outcome) {
    runtime::log(runtime::log_level::info, component, "coordinator's call",
                 {{"pool", order.pool.value},
                  {"order", std::to_string(order.number.value)},
                  {"call", std::string(call)},
                  {"outcome", std::move(outcome)}});
}

}  // namespace

release_service::release_service(release_ports ports, base::router_name self,
                                 release_settings settings)
    : m_ports(std::move(ports)),
      m_self(std::move(self)),
      m_incarnation(m_ports.scheduler.random().next()),
      m_settings(settings),
      m_traffic(m_ports.registry, settings.canary),
      m_coordinators(coordinator_choice_tunables()) {}

void release_service::start() {
    m_ports.scheduler.spawn(component, run());
}

void release_service::change_settings(const release_settings& settings) {
    m_settings = settings;
    m_traffic.change_settings(settings.canary);
}

void release_service::set_routers(const std::vector<peer_address>& present) {
    std::vector<base::router_name> names;
    m_addresses.clear();
    for (const peer_address& one : present) {
        names.push_back(one.name);
        m_addresses.emplace(one.name, one.address);
    }
    m_coordinators.declare(std::move(names));
    m_knows_routers = true;
}

runtime::task<void> release_service::run() {
    while (!m_stopped) {
        co_await m_ports.scheduler.sleep_for(m_settings.tick_interval);
        step();
    }
}

void release_service::step() {
    const base::monotonic_time now = m_ports.scheduler.now();
    const auto pools = open_pools();
    std::erase_if(m_report_states, [&](const auto& entry) {
        return std::find(pools.begin(), pools.end(), entry.first) == pools.end();
    });
    for (const base::pool_name& pool : pools) {
        report_state& state = m_report_states[pool];
        if (now - state.evaluated_at >= m_settings.evaluation_interval) {
            state.evaluated_at = now;
            state.saw_bad = m_traffic.look(pool) || state.saw_bad;
        }
        if (!m_knows_routers) {
            continue;
        }
        if (!state.sent_at || now - *state.sent_at >= current_report_interval()) {
            send_report(pool, state, now);
        }
    }
    std::erase_if(m_coordinated, [&](const auto& entry) {
        return now - entry.second.reported_at > m_settings.coordinator_timeout;
    });
    std::vector<base::pool_name> coordinated_pools;
    for (const auto& [pool, one] : m_coordinated) {
        coordinated_pools.push_back(pool);
    }
    for (const base::pool_name& pool : coordinated_pools) {
        tick(pool);
    }
}

void release_service::handle_datagram(const base::endpoint& from, std::string_view bytes) {
    if (peer::is_release_report(bytes)) {
        const auto received = peer::decode_release_report(bytes);
        if (!received) {
            ++m_counters.malformed;
            return;
        }
        if (const auto answer = handle_report(*received)) {
            m_ports.transport.send(from, peer::encode(*answer));
        }
        return;
    }
    const auto notice = peer::decode_release_notice(bytes);
    if (!notice) {
        ++m_counters.malformed;
        return;
    }
    handle_notice(*notice);
}

// ---- As any router ----

std::vector<base::pool_name> release_service::open_pools() const {
    std::vector<base::pool_name> pools;
    for (const auto& [pool, order] : m_traffic.gate().orders()) {
        const auto done = m_finished_orders.find(pool);
        if (done == m_finished_orders.end() || done->second != order.number) {
            pools.push_back(pool);
        }
    }
    return pools;
}

base::duration release_service::current_report_interval() const {
    const auto routers = static_cast<std::int64_t>(m_coordinators.size());
    return std::max(m_settings.report_interval, m_settings.report_interval_per_router * routers);
}

void release_service::record_unanswered(const base::pool_name& pool, report_state& state,
                                        base::monotonic_time now) {
    if (!state.awaiting) {
        return;
    }
    ++m_counters.reports_unanswered;
    m_coordinators.silent(*state.awaiting, now);
    runtime::log(runtime::log_level::info, component,
                 "coordinator did not answer a release report in time",
                 {{"pool", pool.value}, {"coordinator", state.awaiting->value}});
    state.awaiting.reset();
}

std::vector<peer::release_report> release_service::reports_of(const local_release& own,
                                                              const report_state& state) const {
    peer::release_report head;
    head.sender = m_self;
    head.sender_incarnation = m_incarnation;
    head.pool = own.order.pool;
    head.order = own.order.number;
    head.phase = own.phase;
    head.saw_bad = state.saw_bad;
    head.number = state.number;
    head.unrepeatable = m_traffic.unrepeatable_at_replaced(own.order.pool);
    std::vector<peer::release_report> reports{head};
    for (const auto& [route, counted] : own.counts) {
        if (reports.back().counts.size() == peer::max_routes_per_release_report) {
            reports.push_back(head);
        }
        reports.back().counts.emplace(route, counted);
    }
    return reports;
}

void release_service::send_report(const base::pool_name& pool, report_state& state,
                                  base::monotonic_time now) {
    record_unanswered(pool, state, now);
    state.sent_at = now;
    ++state.number;
    const local_release* own = m_traffic.find(pool);
    if (own == nullptr) {
        return;
    }
    const auto coordinator = m_coordinators.home_for(record_key(pool), now).value_or(m_self);
    const auto reports = reports_of(*own, state);
    const auto address = m_addresses.find(coordinator);
    if (coordinator == m_self || address == m_addresses.end()) {
        for (const peer::release_report& one : reports) {
            if (const auto answer = handle_report(one)) {
                handle_notice(*answer);
            }
        }
        return;
    }
    state.awaiting = coordinator;
    for (const peer::release_report& one : reports) {
        ++m_counters.reports_sent;
        m_ports.transport.send(address->second, peer::encode(one));
    }
}

void release_service::handle_notice(const peer::release_notice& notice) {
    const auto state = m_report_states.find(notice.pool);
    if (state != m_report_states.end() && state->second.awaiting == notice.sender) {
        state->second.awaiting.reset();
    }
    m_coordinators.answered(notice.sender);
    const auto since = valid_since(notice);
    if (notice.told && since) {
        m_traffic.told(*notice.told, *since);
    }
    if (notice.done) {
        m_finished_orders[notice.pool] = notice.order;
    }
}

std::optional<base::monotonic_time> release_service::valid_since(
    const peer::release_notice& notice) const {
    if (!notice.told || notice.told->phase != release::release_phase::trial) {
        return m_ports.scheduler.now();
    }
    const auto state = m_report_states.find(notice.pool);
    const bool answers_last = state != m_report_states.end() && notice.answers != 0 &&
                              notice.answers == state->second.number;
    return answers_last ? state->second.sent_at : std::nullopt;
}

// ---- As coordinator ----

release_service::coordinated_release& release_service::coordinate(
    const release::release_order& order) {
    const auto known = m_coordinated.find(order.pool);
    if (known != m_coordinated.end() && known->second.coordinator.order() == order) {
        return known->second;
    }
    runtime::log(runtime::log_level::info, component, "coordinates the release from now on",
                 {{"pool", order.pool.value},
                  {"order", std::to_string(order.number.value)},
                  {"routers", std::to_string(m_coordinators.size())}});
    coordinated_release created{release::release_coordinator(order, m_settings.coordinator),
                                {},
                                canary::canary_trial(m_settings.canary.judge),
                                {},
                                {}};
    return m_coordinated.insert_or_assign(order.pool, std::move(created)).first->second;
}

std::optional<peer::release_notice> release_service::handle_report(
    const peer::release_report& report) {
    const release::release_order* order = m_traffic.gate().order_of(report.pool);
    if (!m_knows_routers || order == nullptr || order->number < report.order) {
        // The sender turns to another router until this one has read the order.
        return std::nullopt;
    }
    ++m_counters.reports_received;
    const base::monotonic_time now = m_ports.scheduler.now();
    coordinated_release& one = coordinate(*order);
    one.reported_at = now;
    one.coordinator.reported(
        {report.sender, report.order, report.phase, report.saw_bad, report.unrepeatable}, now);
    if (report.order == order->number) {
        one.evidence.add(report);
    }
    return peer::release_notice{
        m_self,       report.pool, order->number, one.coordinator.notice(), one.coordinator.done(),
        report.number};
}

void release_service::evaluate(const base::pool_name& pool, coordinated_release& one,
                               base::monotonic_time now) {
    if (now - one.evaluated_at < m_settings.evaluation_interval) {
        return;
    }
    one.evaluated_at = now;
    const canary::verdict before = one.trial.last().found;
    const canary::judgement found = one.trial.look(one.evidence.sum());
    if (found.found == before) {
        return;
    }
    runtime::log(runtime::log_level::info, component, "judged",
                 {{"pool", pool.value},
                  {"order", std::to_string(one.coordinator.order().number.value)},
                  {"found", std::string(canary::to_string(found.found))},
                  {"route", found.route.value},
                  {"test", found.by_duration ? "duration" : "failures"},
                  {"answers", std::to_string(found.answers)},
                  {"bad_answers", std::to_string(found.bad_answers)},
                  {"evidence", std::to_string(found.evidence)},
                  {"bound", std::to_string(found.bound)}});
}

release::coordinator_view release_service::view_of(const base::pool_name& pool,
                                                   const coordinated_release& one,
                                                   base::monotonic_time now) const {
    release::coordinator_view view;
    view.routers = std::max<std::size_t>(1, m_coordinators.size());
    view.found = to_trial_verdict(one.trial.last().found);
    view.at_deadline = to_trial_verdict(one.trial.at_deadline());
    const release::software_version& target = one.coordinator.order().target;
    for (const auto& [name, engine] : m_ports.registry.engines()) {
        if (engine.listed.pool == pool) {
            view.listed.insert(engine.listed.software);
            const bool counts = engine.listed.software == target && !engine.is_leaving();
            view.target_engines += counts ? 1 : 0;
        }
    }
    if (m_ports.clock.known()) {
        view.store_now_earliest = m_ports.clock.to_owner_earliest(now);
        view.store_now_latest = m_ports.clock.to_owner_latest(now);
    }
    return view;
}

void release_service::tick(const base::pool_name& pool) {
    const auto found = m_coordinated.find(pool);
    if (found == m_coordinated.end() || !m_ports.registry.known()) {
        return;
    }
    coordinated_release& one = found->second;
    const base::monotonic_time now = m_ports.scheduler.now();
    evaluate(pool, one, now);
    const release::release_order order = one.coordinator.order();
    const auto requested = one.coordinator.tick(view_of(pool, one, now), now);
    for (const release::coordinator_action& each : requested) {
        execute(order, each);
    }
}

release_service::coordinated_release* release_service::find_coordinated(
    const base::pool_name& pool, release::order_number order) {
    const auto found = m_coordinated.find(pool);
    const bool same =
        found != m_coordinated.end() && found->second.coordinator.order().number == order;
    return same ? &found->second : nullptr;
}

void release_service::execute(const release::release_order& order,
                              const release::coordinator_action& requested) {
    if (std::holds_alternative<release::read_record>(requested)) {
        m_ports.scheduler.spawn(component, read_row(order));
    } else if (const auto* record = std::get_if<release::write_record>(&requested)) {
        m_ports.scheduler.spawn(component, write_row(order, *record));
    } else if (const auto* status = std::get_if<release::tell_status>(&requested)) {
        m_ports.scheduler.spawn(component, send_status(order, *status));
    } else if (const auto* all = std::get_if<release::tell_routers>(&requested)) {
        broadcast_phase(all->notice);
    }
}

/// A decision at the deadline has no verdict of its own, so the evidence that is nearest to its
/// bound is logged as the reason.
void release_service::log_decision(const release::phase_notice& decision) {
    const coordinated_release* one = find_coordinated(decision.pool, decision.order);
    const canary::judgement found = one == nullptr ? canary::judgement{} : one->trial.last();
    const auto at_deadline = one == nullptr ? canary::verdict::undecided : one->trial.at_deadline();
    runtime::log(runtime::log_level::info, component, "release phase sent to all routers",
                 {{"pool", decision.pool.value},
                  {"order", std::to_string(decision.order.value)},
                  {"phase", std::string(release::to_string(decision.phase))},
                  {"routers", std::to_string(m_addresses.size())},
                  {"found", std::string(canary::to_string(found.found))},
                  {"at_deadline", std::string(canary::to_string(at_deadline))},
                  {"route", found.route.value},
                  {"test", found.by_duration ? "duration" : "failures"},
                  {"answers", std::to_string(found.answers)},
                  {"bad_answers", std::to_string(found.bad_answers)},
                  {"evidence", std::to_string(found.evidence)},
                  {"bound", std::to_string(found.bound)}});
}

void release_service::broadcast_phase(const release::phase_notice& decision) {
    const peer::release_notice notice{m_self, decision.pool, decision.order, decision, false};
    log_decision(decision);
    handle_notice(notice);
    for (const auto& [name, address] : m_addresses) {
        if (name != m_self) {
            m_ports.transport.send(address, peer::encode(notice));
        }
    }
}

runtime::task<void> release_service::read_row(release::release_order order) {
    ++m_counters.table_calls;
    std::vector<platform::row_key> keys{platform::row_key(record_key(order.pool))};
    const auto rows = co_await m_ports.table.read(std::move(keys));
    coordinated_release* one = find_coordinated(order.pool, order.number);
    if (one == nullptr) {
        co_return;
    }
    const base::monotonic_time now = m_ports.scheduler.now();
    if (!rows) {
        log_call(order, "read", rows.error().message);
        one->coordinator.call_failed(now);
        co_return;
    }
    std::optional<release::release_record> record;
    std::uint64_t version = 0;
    if (!rows->empty()) {
        version = rows->front().version.value;
        record = release::decode_release_record(rows->front().value);
    }
    const bool unreadable = !rows->empty() && !record;
    log_call(order, "read",
             unreadable ? "can't be read"
                        : (record ? std::string(release::to_string(record->phase)) : "absent"));
    one->coordinator.record_read(std::move(record), version, now);
    tick(order.pool);
}

runtime::task<void> release_service::write_row(release::release_order order,
                                               release::write_record requested) {
    ++m_counters.table_calls;
    const platform::row_key key(record_key(order.pool));
    platform::transaction change;
    change.conditions.push_back({key, platform::row_version(requested.expected_row)});
    change.writes.push_back({key, release::encode(requested.record)});
    std::vector<platform::transaction> changes;
    changes.push_back(std::move(change));
    const auto outcomes = co_await m_ports.table.transact(std::move(changes));
    coordinated_release* one = find_coordinated(order.pool, order.number);
    if (one == nullptr) {
        co_return;
    }
    const base::monotonic_time now = m_ports.scheduler.now();
    const std::string phase(release::to_string(requested.record.phase));
    if (!outcomes || outcomes->empty() || !outcomes->front().committed) {
        log_call(order, "write " + phase, outcomes ? "overtaken" : outcomes.error().message);
        one->coordinator.call_failed(now);
        co_return;
    }
    log_call(order, "write " + phase, "done");
    one->coordinator.record_written(outcomes->front().version.value, now);
    tick(order.pool);
}

runtime::task<void> release_service::send_status(release::release_order order,
                                                 release::tell_status requested) {
    ++m_counters.table_calls;
    const std::string phase(release::to_string(requested.phase));
    const auto done = co_await m_ports.publish_status(std::move(requested));
    coordinated_release* one = find_coordinated(order.pool, order.number);
    if (one == nullptr) {
        co_return;
    }
    const base::monotonic_time now = m_ports.scheduler.now();
    if (!done) {
        log_call(order, "tell " + phase, done.error().message);
        one->coordinator.call_failed(now);
        co_return;
    }
    log_call(order, "tell " + phase, "done");
    one->coordinator.status_told(now);
    tick(order.pool);
}

}  // namespace ferryroad::relay
