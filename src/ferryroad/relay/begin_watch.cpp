#include "ferryroad/relay/begin_watch.hpp"

#include <algorithm>

namespace ferryroad::relay {

namespace {

/// Without a fresh confirmation, a naming may be learnt that is older than the limit: looked for
/// this often, well within the margin that the limit leaves (`outdated_margin`, 250 ms).
constexpr base::duration unconfirmed_look_period = std::chrono::milliseconds(100);

}  // namespace

void begin_watch::sent(const selected_engine& chosen, base::monotonic_time now) {
    m_work = chosen.work;
    m_expected_version = chosen.expected_version;
    m_stop_by = chosen.stop_by;
    m_sent_at = now;
    m_first_event_at.reset();
}

std::optional<base::duration> begin_watch::begun(const std::optional<std::uint64_t>& version,
                                                 base::monotonic_time now) {
    m_first_event_at = now;
    if (!m_plan.call->prompt) {
        return std::nullopt;
    }
    m_selection.record_beginning(m_plan.pool, m_work, since_sent(now));
    const auto since =
        version ? m_policies.outdated_since(m_plan.call->prompt->model, *version) : std::nullopt;
    return since ? std::optional(now - *since) : std::nullopt;
}

void begin_watch::ended(base::monotonic_time now) {
    if (m_plan.call->prompt && m_first_event_at) {
        m_selection.record_run(m_plan.pool, m_work, now - *m_first_event_at);
    }
}

void begin_watch::withdrawn(base::monotonic_time now) {
    // It would have taken longer still, and the next ones are to be placed by that.
    m_selection.record_beginning(m_plan.pool, m_work, since_sent(now));
}

std::optional<base::monotonic_time> begin_watch::begin_by() const {
    if (!m_plan.call->prompt || !m_expected_version) {
        return std::nullopt;
    }
    return m_selection.begin_by(m_plan.call->prompt->model, *m_expected_version);
}

bool begin_watch::may_no_longer_begin(base::monotonic_time now) const {
    const auto by = waits() ? begin_by() : std::nullopt;
    return by && now >= *by;
}

base::duration begin_watch::patience(base::duration silence, base::duration refusal_wait,
                                     base::monotonic_time now) const {
    const auto by = waits() ? begin_by() : std::nullopt;
    if (!by) {
        return silence;
    }
    const base::duration word = m_stop_by ? refusal_wait : base::duration{};
    return std::min(silence, std::max(*by - now, base::duration{}) + word);
}

bool begin_watch::depends_on_namings() const {
    const bool weights_count = m_plan.call->prompt && m_expected_version;
    return weights_count && waits() && !m_stop_by && m_selection.limits_outdated() && !begin_by();
}

base::monotonic_time begin_watch::next_look(base::monotonic_time now) const {
    if (const auto by = begin_by()) {
        return *by;
    }
    const auto earliest = m_selection.earliest_limit();
    return earliest && *earliest > now ? *earliest : now + unconfirmed_look_period;
}

base::duration begin_watch::time_for_engine(base::monotonic_time now) const {
    // An engine refuses what has no time left when its turn comes, also where the connection was
    // closed before. Without it requests waited up to 2.7 s at engines and began on weights that
    // were too old by then (27 requests in 120 runs of 7 routers under load).
    return std::min(m_plan.deadline, m_stop_by.value_or(m_plan.deadline)) - now;
}

}  // namespace ferryroad::relay
