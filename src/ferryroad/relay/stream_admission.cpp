#include "ferryroad/relay/stream_admission.hpp"

#include "ferryroad/base/hash.hpp"
#include "ferryroad/runtime/log.hpp"

#include <array>
#include <cstdio>
#include <limits>
#include <string>

namespace ferryroad::relay {

namespace {

constexpr std::string_view component = "relay.admission";

double draw_of(const base::request_id& id) {
    const auto all = static_cast<double>(std::numeric_limits<std::uint64_t>::max());
    return static_cast<double>(base::hash_bytes(id.value)) / all;
}

std::string share_text(double share) {
    std::array<char, 16> text{};
    const int length = std::snprintf(text.data(), text.size(), "%.2f", share);
    return {text.data(), static_cast<std::size_t>(length)};
}

}  // namespace

stream_admission::stream_admission(core::admission::load_shedder& shedder,
                                   const runtime::scheduler& scheduler, const relay_plan& plan)
    : m_shedder(shedder),
      m_scheduler(scheduler),
      m_plan(plan),
      m_is_stream(plan.matched_route->kind == core::traffic::request_kind::streaming),
      m_draw(draw_of(plan.call->id)) {}

bool stream_admission::refuses() {
    if (!m_is_stream || !m_shedder.refuses(m_draw, m_scheduler.now())) {
        return false;
    }
    runtime::log(runtime::log_level::warning, component, "shed",
                 {{"request_id", m_plan.call->id.value},
                  {"pool", m_plan.pool.value},
                  {"pressure", share_text(m_shedder.pressure())},
                  {"refused_share", share_text(m_shedder.refused_share())},
                  {"delay_ms", std::to_string(base::to_milliseconds(m_shedder.delay()))},
                  {"retry_after_ms", std::to_string(base::to_milliseconds(retry_after()))}});
    return true;
}

base::duration stream_admission::retry_after() const {
    return base::from_seconds(base::to_seconds(m_shedder.delay()) * (1 + m_draw));
}

void stream_admission::sent() {
    ended();
    if (m_is_stream) {
        m_number = m_shedder.sent(m_plan.matched_route->target_latency, m_scheduler.now());
    }
}

void stream_admission::answered() {
    if (m_number) {
        m_shedder.answered(*m_number, m_scheduler.now());
        m_number.reset();
    }
}

void stream_admission::ended() {
    if (m_number) {
        m_shedder.ended(*m_number, m_scheduler.now());
        m_number.reset();
    }
}

}  // namespace ferryroad::relay
