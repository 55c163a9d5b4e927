#include "ferryroad/relay/engine_slots.hpp"

#include "ferryroad/runtime/log.hpp"

#include <algorithm>
#include <string>
#include <utility>

namespace ferryroad::relay {

namespace {

/// Registers an ask for a slot of an engine while it waits for its answer.
class pending_ask {
  public:
    pending_ask(engine_registry& registry, known_engine& engine, std::uint64_t number)
        : m_registry(registry),
          m_name(engine.listed.name),
          m_process(engine.process),
          m_number(number) {
        engine.slot_asks.push_back(m_number);
    }
    ~pending_ask() {
        if (known_engine* same = engine()) {
            std::erase(same->slot_asks, m_number);
        }
    }
    pending_ask(const pending_ask&) = delete;
    pending_ask& operator=(const pending_ask&) = delete;

    /// @return the engine, or null if its process is no longer listed.
    known_engine* engine() const {
        known_engine* listed = m_registry.find(m_name);
        return listed != nullptr && listed->process == m_process ? listed : nullptr;
    }

  private:
    engine_registry& m_registry;
    base::engine_name m_name;
    std::uint64_t m_process;
    std::uint64_t m_number;
};

}  // namespace

std::string grantor_of(const slot_permit& permit) {
    if (permit.by_own_share) {
        return "own share";
    }
    return permit.counted_by.value.empty() ? "none" : permit.counted_by.value;
}

engine_slots::engine_slots(runtime::scheduler& scheduler, engine_registry& registry,
                           base::router_name self, slot_calls calls, engine_slot_settings settings)
    : m_scheduler(scheduler),
      m_registry(registry),
      m_calls(std::move(calls)),
      m_own_shares(std::move(self)),
      m_settings(settings),
      m_process(scheduler.random().next()) {}

void engine_slots::set_routers(std::vector<base::router_name> present) {
    m_own_shares.set_routers(std::move(present));
    report_all();
}

bool engine_slots::is_counted(const known_engine& engine) const {
    return m_registry.rejection_limit(engine.listed.pool).has_value();
}

quotas::slot_use engine_slots::use_of(const known_engine& engine) {
    return {engine.listed.process_start_ms.value_or(0),
            engine.listed.slots,
            engine.running,
            engine.unreported_rejections,
            m_registry.rejection_limit(engine.listed.pool).value_or(0),
            m_process,
            ++m_last_message,
            engine.slot_asks};
}

runtime::task<slot_permit> engine_slots::acquire(base::engine_name name, base::duration wait) {
    known_engine* listed = m_registry.find(name);
    if (listed == nullptr || !is_counted(*listed)) {
        co_return slot_permit{};
    }
    const quotas::slot_use use = use_of(*listed);
    std::optional<pending_ask> pending(std::in_place, m_registry, *listed, use.number);
    base::engine_name subject = name;
    quotas::slot_use sent = use;
    const auto decision = co_await m_calls.acquire(std::move(subject), std::move(sent), wait);
    known_engine* engine = pending->engine();
    pending.reset();
    if (engine == nullptr) {
        co_return slot_permit{false, {}};
    }
    if (!decision) {
        released(name);  // The slot may have been granted all the same.
        co_return refuse(*engine, m_settings.unanswered_retry);
    }
    const quotas::quota_verdict& verdict = decision->verdict;
    if (!verdict.decided) {
        co_return decide_locally(*engine);
    }
    clear_reported(name, use);
    if (verdict.queued && !verdict.granted) {
        released(name);  // As above, at the last moment.
    }
    if (!verdict.granted) {
        co_return refuse(*engine, verdict.retry_after);
    }
    ++m_counters.granted;
    co_return slot_permit{true, decision->counted_by};
}

slot_permit engine_slots::decide_locally(known_engine& engine) {
    ++m_counters.own_share;
    const std::uint32_t in_use =
        engine.running + static_cast<std::uint32_t>(engine.slot_asks.size());
    slot_permit permit;
    if (in_use < m_own_shares.share_of(engine.listed.name, engine.listed.slots)) {
        ++m_counters.granted;
    } else {
        permit = refuse(engine, m_settings.own_share_retry);
    }
    permit.by_own_share = true;
    return permit;
}

slot_permit engine_slots::refuse(known_engine& engine, base::duration retry_after) {
    ++m_counters.refused;
    engine.full_until = m_scheduler.now() + retry_after;
    return {false, {}};
}

void engine_slots::released(const base::engine_name& name) {
    const known_engine* engine = m_registry.find(name);
    if (engine != nullptr && is_counted(*engine)) {
        m_scheduler.spawn(component, report(name));
    }
}

void engine_slots::rejected(known_engine& engine) {
    if (is_counted(engine)) {
        ++m_counters.rejections;
        ++engine.unreported_rejections;
    }
}

void engine_slots::report_all() {
    for (const known_engine* engine : m_registry.active(m_scheduler.now())) {
        if (is_counted(*engine) && engine->running > 0) {
            m_scheduler.spawn(component, report(engine->listed.name));
        }
    }
}

runtime::task<void> engine_slots::run() {
    for (;;) {
        co_await m_scheduler.sleep_for(coordination::quota::slot_report_interval);
        report_all();
    }
}

runtime::task<void> engine_slots::report(base::engine_name name) {
    const known_engine* engine = m_registry.find(name);
    if (engine == nullptr) {
        co_return;
    }
    const quotas::slot_use use = use_of(*engine);
    base::engine_name subject = name;
    quotas::slot_use sent = use;
    const bool answered = co_await m_calls.report(std::move(subject), std::move(sent));
    if (answered) {
        clear_reported(name, use);
    }
}

void engine_slots::clear_reported(const base::engine_name& name, const quotas::slot_use& reported) {
    if (known_engine* engine = m_registry.find(name)) {
        engine->unreported_rejections -= std::min(engine->unreported_rejections, reported.rejected);
    }
}

}  // namespace ferryroad::relay
