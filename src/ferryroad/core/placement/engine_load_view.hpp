/// @file
/// What other routers said of the load that they put on engines. Each statement is whole: it
/// replaces the sender's last one, and is forgotten when the sender falls silent.
#pragma once

#include "ferryroad/base/ids.hpp"
#include "ferryroad/base/time.hpp"

#include <cstdint>
#include <map>
#include <vector>

namespace ferryroad::core::placement {

/// One router's requests at one engine.
struct stated_load {
    base::engine_name engine;
    std::uint32_t running = 0;
    std::uint64_t prefill_tokens = 0;  ///< Of prompts that wait for their first event.
    base::duration refuses_for{};      ///< The engine said that it takes no work so long.

    friend bool operator==(const stated_load&, const stated_load&) = default;
};

/// Of all other routers together, at one engine.
struct shared_load {
    std::uint32_t running = 0;
    std::uint64_t prefill_tokens = 0;
    bool refuses = false;

    friend bool operator==(const shared_load&, const shared_load&) = default;
};

/// Not thread-safe.
class engine_load_view {
  public:
    /// @param lifetime a statement holds no longer than this.
    explicit engine_load_view(base::duration lifetime = std::chrono::milliseconds(1500))
        : m_lifetime(lifetime) {}

    /// @param loads all engines that the sender has requests at.
    void state(const base::router_name& sender, std::vector<stated_load> loads,
               base::monotonic_time now);
    /// The router is gone.
    void forget(const base::router_name& sender) { m_statements.erase(sender); }
    /// @return the sum over all routers, by engine; made once for a selection.
    std::map<base::engine_name, shared_load> totals(base::monotonic_time now) const;

  private:
    struct statement {
        std::vector<stated_load> loads;
        base::monotonic_time taken_at{};
    };

    base::duration m_lifetime;
    std::map<base::router_name, statement> m_statements;
};

}  // namespace ferryroad::core::placement
