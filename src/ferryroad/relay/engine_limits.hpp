/// @file
/// Request limits that engines state in their answers. A limit holds for all routers together, for
/// as long as the engine states it.
#pragma once

#include "ferryroad/base/ids.hpp"
#include "ferryroad/base/time.hpp"
#include "ferryroad/relay/engine_registry.hpp"
#include "ferryroad/relay/types.hpp"
#include "ferryroad/runtime/scheduler.hpp"

#include <cstdint>
#include <string_view>

namespace ferryroad::relay {

struct engine_limit_counters {
    std::uint64_t changes = 0;  ///< Limits that began, changed or ended.
};

/// Not thread-safe: used from the event loop's thread only. The registry and the scheduler must
/// outlive it.
class engine_limits {
  public:
    engine_limits(runtime::scheduler& scheduler, engine_registry& registry)
        : m_scheduler(scheduler), m_registry(registry) {}

    /// Records what the head of an answer states. @param engine the process that answered.
    void record_answer(known_engine& engine, const stated_limit& stated);

    /// @return the number of engines that state a limit.
    std::size_t limited() const;
    const engine_limit_counters& counters() const { return m_counters; }

  private:
    static constexpr std::string_view component = "relay.limits";

    runtime::scheduler& m_scheduler;
    engine_registry& m_registry;
    engine_limit_counters m_counters;
};

/// @return the limit in requests per second for logs, `none` if there is none. Thread-safe.
std::string to_string(const engine_limit& limit);

}  // namespace ferryroad::relay
