/// @file
/// Past states of the machine list, from which the emulated platform serves a stale list.
#pragma once

#include "ferryroad/base/time.hpp"
#include "ferryroad/platform/services.hpp"

#include <deque>
#include <map>
#include <string>
#include <vector>

namespace ferryroad::emulator {

/// Machines by name, with the past states of the list. `now` must not decrease from call to
/// call. Not thread-safe.
class machine_history {
  public:
    /// Adds the machine or replaces the one of the same name.
    void put(const platform::machine& added, base::monotonic_time now);
    /// Removes the machine of that name, if there is one.
    void remove(const std::string& name, base::monotonic_time now);
    /// @return the list as it was `lag` before `now`, sorted by name; empty if nothing was
    /// recorded by then.
    std::vector<platform::machine> list(base::monotonic_time now, base::duration lag) const;

  private:
    using machine_map = std::map<std::string, platform::machine>;
    struct state {
        base::monotonic_time since;
        machine_map machines;
    };

    void append(machine_map machines, base::monotonic_time now);
    machine_map current() const;

    std::deque<state> states_;  ///< Oldest first.
};

}  // namespace ferryroad::emulator
