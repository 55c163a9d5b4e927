/// @file
/// The machine list as it was some time ago.
#pragma once

#include "ferryroad/base/time.hpp"
#include "ferryroad/platform/services.hpp"

#include <deque>
#include <map>
#include <string>
#include <vector>

namespace ferryroad::emulator {

/// Machines by name with their past states. `now` never falls.
class machine_history {
  public:
    void put(const platform::machine& one, base::monotonic_time now);
    void remove(const std::string& name, base::monotonic_time now);
    /// @return the list as it was `lag` before `now`, in order of names.
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
