#include "ferryroad/relay/exchange_evidence.hpp"

#include <algorithm>
#include <chrono>

namespace ferryroad::relay {

namespace {

/// With at least this many events, latency is measured as the mean gap between them.
constexpr std::uint32_t min_events_for_gap = 3;
/// Lower bound of the time to the first event less the prefill time, which is only an estimate.
constexpr base::duration min_latency = std::chrono::milliseconds(1);
constexpr unsigned first_failure_status = 500;

}  // namespace

void exchange_evidence::begin(const relay_plan& plan, const known_engine* engine,
                              base::duration prefill, base::monotonic_time now) {
    m_result.reset();
    if (m_releases == nullptr || engine == nullptr) {
        return;
    }
    const auto order = m_releases->order_in_progress(plan.pool);
    if (!order) {
        return;
    }
    m_result = exchange_result{plan.pool, plan.matched_route->name, engine->listed.name,
                               engine->listed.software, *order};
    m_result->timed = now >= engine->warm_at;
    m_began_at = now;
    m_prefill = prefill;
    m_events = 0;
}

void exchange_evidence::event(base::monotonic_time now) {
    if (m_events == 0) {
        m_first_event_at = now;
    }
    ++m_events;
    m_last_event_at = now;
}

base::duration exchange_evidence::latency(bool pending, base::monotonic_time now) const {
    if (m_events >= min_events_for_gap) {
        const auto until = pending ? now : m_last_event_at;
        const std::uint32_t gaps = m_events - (pending ? 0 : 1);
        return (until - m_first_event_at) / gaps;
    }
    const auto until = m_events == 0 ? now : m_first_event_at;
    return std::max(until - m_began_at - m_prefill, min_latency);
}

void exchange_evidence::report_result(base::monotonic_time now) {
    m_releases->ended(*m_result, now);
    m_result.reset();
}

void exchange_evidence::answered(unsigned status, base::monotonic_time now) {
    if (!m_result) {
        return;
    }
    m_result->failed = status >= first_failure_status;
    m_result->taken = latency(false, now);
    report_result(now);
}

void exchange_evidence::failed(const dispatch_failure& failure, bool streaming, bool own_limit,
                               base::monotonic_time now) {
    namespace execution = core::execution;
    if (!m_result) {
        return;
    }
    switch (failure.kind) {
        case execution::failure_kind::engine_failure:
            m_result->failed = true;
            report_result(now);
            return;
        case execution::failure_kind::broken:
            if (streaming) {
                m_result->failed = true;
                m_result->broken_off = true;
                report_result(now);
            }
            break;
        case execution::failure_kind::timed_out:
            if (own_limit) {  // A lower bound of the latency.
                m_result->taken = latency(true, now);
                report_result(now);
            }
            break;
        default:
            break;  // The request did not run.
    }
    m_result.reset();
}

}  // namespace ferryroad::relay
