#include "ferryroad/relay/exchange_timing.hpp"

#include <algorithm>

namespace ferryroad::relay {

namespace {

/// Without a recent confirmation, this router may learn late of weights that were announced longer
/// ago than the limit. Checking at this period stays well within the margin that the limit leaves
/// (`outdated_margin`, 250 ms).
constexpr base::duration unconfirmed_check_period = std::chrono::milliseconds(100);

}  // namespace

void exchange_timing::sent(const selected_engine& chosen, base::monotonic_time now) {
    m_work = chosen.work;
    m_expected_version = chosen.expected_version;
    m_stop_by = chosen.stop_by;
    m_sent_at = now;
    m_first_event_at.reset();
}

std::optional<base::duration> exchange_timing::begun(const std::optional<std::uint64_t>& version,
                                                     base::monotonic_time now) {
    m_first_event_at = now;
    if (!m_plan.call->prompt) {
        return std::nullopt;
    }
    m_selection.record_begin_delay(m_plan.pool, m_work, since_sent(now));
    const auto since =
        version ? m_policies.outdated_since(m_plan.call->prompt->model, *version) : std::nullopt;
    return since ? std::optional(now - *since) : std::nullopt;
}

void exchange_timing::ended(base::monotonic_time now) {
    if (m_plan.call->prompt && m_first_event_at) {
        m_selection.record_run_time(m_plan.pool, m_work, now - *m_first_event_at);
    }
}

void exchange_timing::withdrawn(base::monotonic_time now) {
    // A lower bound of the wait, since the request would have waited longer; later selections take
    // it into account.
    m_selection.record_begin_delay(m_plan.pool, m_work, since_sent(now));
}

std::optional<base::monotonic_time> exchange_timing::begin_by() const {
    if (!m_plan.call->prompt || !m_expected_version) {
        return std::nullopt;
    }
    return m_selection.begin_by(m_plan.call->prompt->model, *m_expected_version);
}

bool exchange_timing::may_no_longer_begin(base::monotonic_time now) const {
    const auto by = is_waiting() ? begin_by() : std::nullopt;
    return by && now >= *by;
}

base::duration exchange_timing::wait_limit(base::duration silence, base::duration refusal_wait,
                                           base::monotonic_time now) const {
    const auto by = is_waiting() ? begin_by() : std::nullopt;
    if (!by) {
        return silence;
    }
    const base::duration extra = m_stop_by ? refusal_wait : base::duration{};
    return std::min(silence, std::max(*by - now, base::duration{}) + extra);
}

bool exchange_timing::can_become_outdated() const {
    const bool is_version_bound = m_plan.call->prompt && m_expected_version;
    return is_version_bound && is_waiting() && !m_stop_by && m_selection.has_outdated_limit() &&
           !begin_by();
}

base::monotonic_time exchange_timing::next_check(base::monotonic_time now) const {
    if (const auto by = begin_by()) {
        return *by;
    }
    const auto earliest = m_selection.earliest_deadline();
    return earliest && *earliest > now ? *earliest : now + unconfirmed_check_period;
}

base::duration exchange_timing::time_for_engine(base::monotonic_time now) const {
    // An engine refuses a request that has no time left when its turn comes, even if it has not
    // noticed that the connection was closed. Without this bound, requests under load waited up to
    // 2.7 s at engines and then began on weights that had become too old.
    return std::min(m_plan.deadline, m_stop_by.value_or(m_plan.deadline)) - now;
}

}  // namespace ferryroad::relay
