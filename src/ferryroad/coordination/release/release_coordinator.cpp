#include "ferryroad/coordination/release/release_coordinator.hpp"

#include <algorithm>
#include <utility>

namespace ferryroad::coordination::release {

namespace {

/// So many routers that saw a bad version by themselves are believed without the judge.
constexpr std::size_t enough_witnesses = 2;

}  // namespace

release_coordinator::release_coordinator(release_order order, coordinator_tunables tunables)
    : m_order(std::move(order)), m_tunables(tunables) {}

// ---- Events ----

void release_coordinator::reported(const router_report& report, base::monotonic_time now) {
    note_time(now);
    if (report.order == m_order.number) {
        const bool may_be_old = now < m_settled_at;
        const base::monotonic_time at = may_be_old ? now - 2 * m_tunables.fresh : now;
        m_heard.insert_or_assign(report.router, heard_router{report, at});
    }
}

void release_coordinator::note_time(base::monotonic_time now) {
    if (m_started_at && now - m_now > m_tunables.fresh) {
        m_settled_at = now + m_tunables.settle;
        m_must_read = true;
    }
    m_now = std::max(m_now, now);
}

void release_coordinator::answered(base::monotonic_time now) {
    note_time(now);
    m_call = call::none;
    m_answered_at = now;
    m_confirmed_at = m_call_from;
}

void release_coordinator::record_read(std::optional<release_record> record,
                                      std::uint64_t row_version, base::monotonic_time now) {
    answered(now);
    m_must_read = false;
    m_record = std::move(record);
    m_row_version = row_version;
    m_ours = is_ours() ? m_record : m_ours;
    if (is_ours() && is_final(m_record->phase) && m_record->status_told && !m_spread) {
        m_spread = m_record->phase;  // An old story: routers that start ask by themselves.
    }
}

void release_coordinator::record_written(std::uint64_t row_version, base::monotonic_time now) {
    answered(now);
    m_record = m_writing;
    m_ours = m_writing;
    m_row_version = row_version;
}

void release_coordinator::status_told(base::monotonic_time now) {
    note_time(now);
    m_call = call::none;
    m_status = m_record->phase;
}

void release_coordinator::call_failed(base::monotonic_time now) {
    note_time(now);
    m_call = call::none;
    m_must_read = true;
    m_not_before = now + m_tunables.retry;
}

// ---- Questions ----

std::optional<phase_notice> release_coordinator::notice() const {
    if (!is_ours()) {
        return std::nullopt;
    }
    phase_notice told{m_order.pool,    m_order.number,    m_record->target,
                      m_record->phase, m_record->refused, m_record->replaced};
    if (m_going_back && is_open()) {
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
    return end_is_told() || overtaken();
}

bool release_coordinator::end_is_told() const {
    const bool recorded = is_ours() && is_final(m_record->phase) && m_record->status_told;
    return recorded && (!m_may_have_told_running || m_status == m_record->phase);
}

bool release_coordinator::stands_alone(const coordinator_view& view) const {
    const bool others =
        std::any_of(view.listed.begin(), view.listed.end(), [&](const software_version& each) {
            return each != m_order.target && !(m_record && m_record->refused.contains(each));
        });
    return view.target_engines > 0 && !others;
}

base::duration release_coordinator::elapsed(const coordinator_view& view,
                                            base::monotonic_time now) const {
    // Each is a bound: an early end costs nothing but a part of the trial, a late one the deadline.
    const base::duration here = now - *m_started_at + m_tunables.sight_lag;
    if (view.store_now_latest == 0 || m_record->ordered_after == 0) {
        return here;
    }
    const auto there = std::chrono::milliseconds(view.store_now_latest - m_record->ordered_after);
    return std::max<base::duration>(here, there);
}

base::duration release_coordinator::shift_moment() const {
    // Where there is less than twice the time for the shift, half of it is left to the trial.
    return std::max(m_order.allowed - m_tunables.shift, m_order.allowed / 2);
}

base::duration release_coordinator::last_moment() const {
    return std::max(m_order.allowed - m_tunables.last_moment,
                    (shift_moment() + m_order.allowed) / 2);
}

release_coordinator::touch release_coordinator::touch_of(const coordinator_view& view,
                                                         base::monotonic_time now) const {
    touch found;
    found.all_switched = true;
    for (const auto& [router, heard] : m_heard) {
        if (now - heard.at > m_tunables.fresh) {
            continue;
        }
        ++found.fresh;
        const auto& phase = heard.report.phase;
        const bool heard_of_it = phase && *phase != release_phase::trial;
        found.all_switched =
            found.all_switched && heard_of_it && heard.report.unrepeatable_at_replaced == 0;
    }
    found.most = 2 * found.fresh > view.routers;
    return found;
}

bool release_coordinator::sees_bad(const coordinator_view& view) const {
    std::size_t witnesses = 0;
    for (const auto& [router, heard] : m_heard) {
        witnesses += heard.report.saw_bad ? 1 : 0;
        if (heard.report.phase == release_phase::rolled_back) {
            return true;  // Another coordinator has gone back.
        }
    }
    return view.found == trial_verdict::bad || witnesses >= enough_witnesses ||
           (witnesses > 0 && witnesses >= view.routers);
}

// ---- Steps ----

std::vector<coordinator_action> release_coordinator::tick(const coordinator_view& view,
                                                          base::monotonic_time now) {
    note_time(now);
    note_first_sight(view, now);
    weigh_back(view);
    std::vector<coordinator_action> actions;
    auto wanted = next_call(view, now);  // May decide to go back, which is told first.
    const auto told = notice();
    if (told && told->phase != release_phase::trial && m_spread != told->phase) {
        m_spread = told->phase;
        actions.emplace_back(tell_routers{*told});
    }
    if (wanted) {
        m_call_from = now;
        actions.push_back(std::move(*wanted));
    }
    return actions;
}

void release_coordinator::note_first_sight(const coordinator_view& view, base::monotonic_time now) {
    if (!m_started_at) {
        m_started_at = now;
    }
    if (!m_ordered_after && view.store_now_earliest != 0) {
        const base::duration ago = now - *m_started_at + m_tunables.sight_lag;
        m_ordered_after = view.store_now_earliest - base::to_milliseconds(ago);
    }
    const bool others = std::any_of(view.listed.begin(), view.listed.end(),
                                    [&](const auto& each) { return each != m_order.target; });
    m_others_listed = m_others_listed || others;
}

void release_coordinator::weigh_back(const coordinator_view& view) {
    m_going_back = m_going_back || (is_open() && sees_bad(view));
}

std::optional<coordinator_action> release_coordinator::next_call(const coordinator_view& view,
                                                                 base::monotonic_time now) {
    if (m_call != call::none || now < m_not_before) {
        return std::nullopt;
    }
    const bool recheck = !done() && now - m_answered_at >= m_tunables.recheck;
    if (m_must_read || recheck) {
        m_call = call::read;
        return read_record{};
    }
    return step(view, now);
}

std::optional<coordinator_action> release_coordinator::step(const coordinator_view& view,
                                                            base::monotonic_time now) {
    if (overtaken()) {
        return std::nullopt;
    }
    if (!is_ours()) {
        return begin(view);
    }
    if (is_final(m_record->phase)) {
        return end();
    }
    if (m_going_back) {
        return go_back();
    }
    return m_record->phase == release_phase::trial ? step_trial(view, now)
                                                   : step_promoted(view, now);
}

std::optional<coordinator_action> release_coordinator::begin(const coordinator_view& view) {
    if (m_ours) {
        return write(*m_ours);  // The table has lost it: no second trial, no later deadline.
    }
    if (!m_ordered_after) {
        return std::nullopt;  // A record without its time would have no deadline.
    }
    m_began_here = true;
    release_record fresh;
    fresh.order = m_order.number;
    fresh.target = m_order.target;
    fresh.ordered_after = *m_ordered_after;
    if (m_record) {
        fresh.refused = m_record->refused;
        if (m_record->phase != release_phase::completed) {
            fresh.refused.insert(m_record->target);
        }
        fresh.refused.erase(m_order.target);
    }
    const bool refused_only =
        std::all_of(view.listed.begin(), view.listed.end(), [&](const software_version& each) {
            return each == m_order.target || fresh.refused.contains(each);
        });
    if (view.target_engines > 0 && refused_only) {
        fresh.phase = release_phase::completed;
    }
    return write(std::move(fresh));
}

std::optional<coordinator_action> release_coordinator::step_trial(const coordinator_view& view,
                                                                  base::monotonic_time now) {
    if (m_began_here && !m_others_listed && stands_alone(view)) {
        release_record next = *m_record;
        next.phase = release_phase::completed;
        return write(std::move(next));
    }
    const touch routers = touch_of(view, now);
    const base::duration gone = elapsed(view, now);
    if (gone < shift_moment() || !routers.most) {
        return tell(release_phase::trial);
    }
    const trial_verdict verdict =
        view.found == trial_verdict::undecided ? view.at_deadline : view.found;
    const bool no_time = gone >= last_moment();
    if (view.target_engines == 0 || verdict == trial_verdict::bad ||
        (verdict == trial_verdict::undecided && no_time)) {
        return go_back();
    }
    if (verdict == trial_verdict::undecided) {
        return tell(release_phase::trial);
    }
    release_record next = *m_record;
    next.phase = release_phase::promoted;
    next.replaced = view.listed;
    next.replaced.erase(m_order.target);
    return write(std::move(next));
}

std::optional<coordinator_action> release_coordinator::step_promoted(const coordinator_view& view,
                                                                     base::monotonic_time now) {
    const touch routers = touch_of(view, now);
    if (!routers.most) {
        return tell(release_phase::promoted);
    }
    if (view.target_engines == 0 && !view.listed.empty()) {
        return go_back();  // Nothing there to move to.
    }
    if (routers.all_switched || elapsed(view, now) >= last_moment()) {
        release_record next = *m_record;
        next.phase = release_phase::completed;
        return write(std::move(next));
    }
    return tell(release_phase::promoted);
}

std::optional<coordinator_action> release_coordinator::go_back() {
    m_going_back = true;
    release_record next = *m_record;
    next.phase = release_phase::rolled_back;
    next.refused.insert(next.target);
    next.replaced.clear();
    return write(std::move(next));
}

std::optional<coordinator_action> release_coordinator::end() {
    if (end_is_told()) {
        return std::nullopt;
    }
    if (m_status != m_record->phase) {
        return tell(m_record->phase);
    }
    release_record next = *m_record;
    next.status_told = true;
    return write(std::move(next));
}

std::optional<coordinator_action> release_coordinator::tell(release_phase phase) {
    // Operators know one state for both phases before the end.
    if (m_status && (m_status == phase || !is_final(phase))) {
        return std::nullopt;
    }
    m_call = call::status;
    m_may_have_told_running = m_may_have_told_running || !is_final(phase);
    return tell_status{m_order.pool, m_order.target, phase};
}

std::optional<coordinator_action> release_coordinator::write(release_record record) {
    m_call = call::write;
    m_writing = record;
    return write_record{std::move(record), m_row_version};
}

}  // namespace ferryroad::coordination::release
