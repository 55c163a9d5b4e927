#include "ferryroad/relay/engine_limits.hpp"

#include "ferryroad/runtime/log.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

namespace ferryroad::relay {

std::string to_string(const engine_limit& limit) {
    if (!limit.per_second) {
        return "none";
    }
    std::array<char, 32> text{};
    const int length = std::snprintf(text.data(), text.size(), "%.6g", *limit.per_second);
    return {text.data(), static_cast<std::size_t>(length)};
}

void engine_limits::record_answer(known_engine& engine, const stated_limit& stated) {
    const base::monotonic_time now = m_scheduler.now();
    const engine_limit previous = std::exchange(engine.limit, engine_limit{stated.per_second, now});
    if (previous.per_second == stated.per_second) {
        return;
    }
    ++m_counters.changes;
    runtime::log(
        runtime::log_level::info, component, "request limit of an engine changed",
        {{"engine", engine.listed.name.value},
         {"per_second", to_string(engine.limit)},
         {"previous", to_string(previous)},
         {"previous_age_ms", std::to_string(base::to_milliseconds(now - previous.as_of))}});
}

std::size_t engine_limits::limited() const {
    const auto& engines = m_registry.engines();
    return static_cast<std::size_t>(
        std::count_if(engines.begin(), engines.end(),
                      [](const auto& entry) { return entry.second.limit.per_second.has_value(); }));
}

}  // namespace ferryroad::relay
