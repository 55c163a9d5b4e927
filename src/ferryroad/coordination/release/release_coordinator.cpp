#include "ferryroad/coordination/release/release_coordinator.hpp"

#include <algorithm>
#include <utility>

namespace ferryroad::coordination::release {

namespace {

/// Reports of a bad version from this many routers suffice without the judge's verdict.
constexpr std::size_t sufficient_bad_reports = 2;

}  // namespace

release_coordinator::release_coordinator(release_order order, coordinator_tunables tunables)
    : m_order(std::move(order)), m_tunables(tunables) {}

// ---- Events ----

void release_coordinator::reported(const router_report& report, base::monotonic_time now) {
    record_time(now);
    if (report.order == m_order.number) {
        const bool may_be_old = now < m_settled_at;
        const base::monotonic_time at = may_be_old ? now - 2 * m_tunables.report_validity : now;
        m_reports.insert_or_assign(report.router, received_report{report, at});
    }
}

void release_coordinator::record_time(base::monotonic_time now) {
    if (m_started_at && now - m_now > m_tunables.report_validity) {
        m_settled_at = now + m_tunables.settle_time;
        m_must_read = true;
    }
    m_now = std::max(m_now, now);
}

void release_coordinator::on_answer(base::monotonic_time now) {
    record_time(now);
    m_call = call::none;
    m_answered_at = now;
    m_confirmed_at = m_call_started_at;
}

void release_coordinator::record_read(std::optional<release_record> record,
                                      std::uint64_t row_version, base::monotonic_time now) {
    on_answer(now);
    m_must_read = false;
    m_record = std::move(record);
    m_row_version = row_version;
    m_last_of_order = is_ours() ? m_record : m_last_of_order;
    if (is_ours() && is_final(m_record->phase) && m_record->status_told && !m_notified_phase) {
        // It ended earlier; routers that start ask for it themselves.
        m_notified_phase = m_record->phase;
    }
}

void release_coordinator::record_written(std::uint64_t row_version, base::monotonic_time now) {
    on_answer(now);
    m_record = m_writing;
    m_last_of_order = m_writing;
    m_row_version = row_version;
}

void release_coordinator::status_told(base::monotonic_time now) {
    record_time(now);
    m_call = call::none;
    m_reported_status = m_record->phase;
}

void release_coordinator::call_failed(base::monotonic_time now) {
    record_time(now);
    m_call = call::none;
    m_must_read = true;
    m_not_before = now + m_tunables.retry_delay;
}

// ---- Questions ----

std::optional<phase_notice> release_coordinator::notice() const {
    if (!is_ours()) {
        return std::nullopt;
    }
    phase_notice told{m_order.pool,    m_order.number,    m_record->target,
                      m_record->phase, m_record->refused, m_record->replaced};
    if (m_rolling_back && is_open()) {
        told.phase = release_phase::rolled_back;
        told.refused.insert(told.target);
        told.replaced.clear();
    }
    const bool too_old = m_now - m_confirmed_at >= m_tunables.hold;
    if (told.phase == release_phase::trial && too_old) {
        return std::nullopt;
    }
    return told;
}

bool release_coordinator::done() const {
    return end_is_reported() || superseded();
}

bool release_coordinator::end_is_reported() const {
    const bool recorded = is_ours() && is_final(m_record->phase) && m_record->status_told;
    return recorded && (!m_may_have_reported_running || m_reported_status == m_record->phase);
}

bool release_coordinator::target_is_only_version(const coordinator_view& view) const {
    const bool others =
        std::any_of(view.listed.begin(), view.listed.end(), [&](const software_version& each) {
            return each != m_order.target && !(m_record && m_record->refused.contains(each));
        });
    return view.target_engines > 0 && !others;
}

base::duration release_coordinator::elapsed(const coordinator_view& view,
                                            base::monotonic_time now) const {
    // Both are upper bounds: ending early costs only a part of the trial, ending late costs the
    // deadline.
    const base::duration here = now - *m_started_at + m_tunables.max_order_age;
    if (view.store_now_latest == 0 || m_record->ordered_after == 0) {
        return here;
    }
    const auto there = std::chrono::milliseconds(view.store_now_latest - m_record->ordered_after);
    return std::max<base::duration>(here, there);
}

base::duration release_coordinator::switchover_start() const {
    // If less than twice the switchover time is allowed, half of it is left for the trial.
    return std::max(m_order.allowed - m_tunables.switchover_time, m_order.allowed / 2);
}

base::duration release_coordinator::completion_deadline() const {
    return std::max(m_order.allowed - m_tunables.completion_margin,
                    (switchover_start() + m_order.allowed) / 2);
}

release_coordinator::report_summary release_coordinator::summarize_reports(
    const coordinator_view& view, base::monotonic_time now) const {
    report_summary found;
    found.all_switched = true;
    for (const auto& [router, heard] : m_reports) {
        if (now - heard.at > m_tunables.report_validity) {
            continue;
        }
        ++found.fresh;
        const auto& phase = heard.report.phase;
        const bool notified = phase && *phase != release_phase::trial;
        found.all_switched =
            found.all_switched && notified && heard.report.unrepeatable_at_replaced == 0;
    }
    found.majority = 2 * found.fresh > view.routers;
    return found;
}

bool release_coordinator::has_bad_evidence(const coordinator_view& view) const {
    std::size_t bad_reports = 0;
    for (const auto& [router, heard] : m_reports) {
        bad_reports += heard.report.saw_bad ? 1 : 0;
        if (heard.report.phase == release_phase::rolled_back) {
            return true;  // Another coordinator has rolled back.
        }
    }
    return view.found == trial_verdict::bad || bad_reports >= sufficient_bad_reports ||
           (bad_reports > 0 && bad_reports >= view.routers);
}

// ---- Steps ----

std::vector<coordinator_action> release_coordinator::tick(const coordinator_view& view,
                                                          base::monotonic_time now) {
    record_time(now);
    record_first_seen(view, now);
    check_for_rollback(view);
    std::vector<coordinator_action> actions;
    // May decide to roll back, which is announced before it is written.
    auto wanted = next_call(view, now);
    const auto told = notice();
    if (told && told->phase != release_phase::trial && m_notified_phase != told->phase) {
        m_notified_phase = told->phase;
        actions.emplace_back(tell_routers{*told});
    }
    if (wanted) {
        m_call_started_at = now;
        actions.push_back(std::move(*wanted));
    }
    return actions;
}

void release_coordinator::record_first_seen(const coordinator_view& view,
                                            base::monotonic_time now) {
    if (!m_started_at) {
        m_started_at = now;
    }
    if (!m_ordered_after && view.store_now_earliest != 0) {
        const base::duration ago = now - *m_started_at + m_tunables.max_order_age;
        m_ordered_after = view.store_now_earliest - base::to_milliseconds(ago);
    }
    const bool others = std::any_of(view.listed.begin(), view.listed.end(),
                                    [&](const auto& each) { return each != m_order.target; });
    m_others_listed = m_others_listed || others;
}

void release_coordinator::check_for_rollback(const coordinator_view& view) {
    m_rolling_back = m_rolling_back || (is_open() && has_bad_evidence(view));
}

std::optional<coordinator_action> release_coordinator::next_call(const coordinator_view& view,
                                                                 base::monotonic_time now) {
    if (m_call != call::none || now < m_not_before) {
        return std::nullopt;
    }
    const bool recheck = !done() && now - m_answered_at >= m_tunables.recheck_period;
    if (m_must_read || recheck) {
        m_call = call::read;
        return read_record{};
    }
    return step(view, now);
}

std::optional<coordinator_action> release_coordinator::step(const coordinator_view& view,
                                                            base::monotonic_time now) {
    if (superseded()) {
        return std::nullopt;
    }
    if (!is_ours()) {
        return create_record(view);
    }
    if (is_final(m_record->phase)) {
        return finish();
    }
    if (m_rolling_back) {
        return roll_back();
    }
    return m_record->phase == release_phase::trial ? step_trial(view, now)
                                                   : step_promoted(view, now);
}

std::optional<coordinator_action> release_coordinator::create_record(const coordinator_view& view) {
    if (m_last_of_order) {
        // The table has lost the record: restore it, so that there is no second trial and no later
        // deadline.
        return write(*m_last_of_order);
    }
    if (!m_ordered_after) {
        return std::nullopt;  // A record without the time of the order would have no deadline.
    }
    m_created_here = true;
    release_record created;
    created.order = m_order.number;
    created.target = m_order.target;
    created.ordered_after = *m_ordered_after;
    if (m_record) {
        created.refused = m_record->refused;
        if (m_record->phase != release_phase::completed) {
            created.refused.insert(m_record->target);
        }
        created.refused.erase(m_order.target);
    }
    const bool refused_only =
        std::all_of(view.listed.begin(), view.listed.end(), [&](const software_version& each) {
            return each == m_order.target || created.refused.contains(each);
        });
    if (view.target_engines > 0 && refused_only) {
        created.phase = release_phase::completed;
    }
    return write(std::move(created));
}

std::optional<coordinator_action> release_coordinator::step_trial(const coordinator_view& view,
                                                                  base::monotonic_time now) {
    if (m_created_here && !m_others_listed && target_is_only_version(view)) {
        release_record next = *m_record;
        next.phase = release_phase::completed;
        return write(std::move(next));
    }
    const report_summary routers = summarize_reports(view, now);
    const base::duration elapsed_time = elapsed(view, now);
    if (elapsed_time < switchover_start() || !routers.majority) {
        return report_status(release_phase::trial);
    }
    const trial_verdict verdict =
        view.found == trial_verdict::undecided ? view.at_deadline : view.found;
    const bool out_of_time = elapsed_time >= completion_deadline();
    if (view.target_engines == 0 || verdict == trial_verdict::bad ||
        (verdict == trial_verdict::undecided && out_of_time)) {
        return roll_back();
    }
    if (verdict == trial_verdict::undecided) {
        return report_status(release_phase::trial);
    }
    release_record next = *m_record;
    next.phase = release_phase::promoted;
    next.replaced = view.listed;
    next.replaced.erase(m_order.target);
    return write(std::move(next));
}

std::optional<coordinator_action> release_coordinator::step_promoted(const coordinator_view& view,
                                                                     base::monotonic_time now) {
    const report_summary routers = summarize_reports(view, now);
    if (!routers.majority) {
        return report_status(release_phase::promoted);
    }
    if (view.target_engines == 0 && !view.listed.empty()) {
        return roll_back();  // No engine is left to move requests to.
    }
    if (routers.all_switched || elapsed(view, now) >= completion_deadline()) {
        release_record next = *m_record;
        next.phase = release_phase::completed;
        return write(std::move(next));
    }
    return report_status(release_phase::promoted);
}

std::optional<coordinator_action> release_coordinator::roll_back() {
    m_rolling_back = true;
    release_record next = *m_record;
    next.phase = release_phase::rolled_back;
    next.refused.insert(next.target);
    next.replaced.clear();
    return write(std::move(next));
}

std::optional<coordinator_action> release_coordinator::finish() {
    if (end_is_reported()) {
        return std::nullopt;
    }
    if (m_reported_status != m_record->phase) {
        return report_status(m_record->phase);
    }
    release_record next = *m_record;
    next.status_told = true;
    return write(std::move(next));
}

std::optional<coordinator_action> release_coordinator::report_status(release_phase phase) {
    // Operators see a single state for both phases before the end.
    if (m_reported_status && (m_reported_status == phase || !is_final(phase))) {
        return std::nullopt;
    }
    m_call = call::status;
    m_may_have_reported_running = m_may_have_reported_running || !is_final(phase);
    return tell_status{m_order.pool, m_order.target, phase};
}

std::optional<coordinator_action> release_coordinator::write(release_record record) {
    m_call = call::write;
    m_writing = record;
    return write_record{std::move(record), m_row_version};
}

}  // namespace ferryroad::coordination::release
