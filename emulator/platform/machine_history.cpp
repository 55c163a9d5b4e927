#include "emulator/platform/machine_history.hpp"

namespace ferryroad::emulator {

namespace {

/// How long past states are kept, hence the longest lag that `list` can apply.
constexpr base::duration retention = std::chrono::minutes(10);

}  // namespace

machine_history::machine_map machine_history::current() const {
    return states_.empty() ? machine_map{} : states_.back().machines;
}

void machine_history::append(machine_map machines, base::monotonic_time now) {
    states_.push_back({now, std::move(machines)});
    while (states_.size() > 1 && states_[1].since <= now - retention) {
        states_.pop_front();
    }
}

void machine_history::put(const platform::machine& added, base::monotonic_time now) {
    machine_map machines = current();
    const auto found = machines.find(added.name);
    if (found != machines.end() && found->second == added) {
        return;  // A re-registration without changes; a new state would only lengthen the history.
    }
    machines[added.name] = added;
    append(std::move(machines), now);
}

void machine_history::remove(const std::string& name, base::monotonic_time now) {
    machine_map machines = current();
    if (machines.erase(name) != 0) {
        append(std::move(machines), now);
    }
}

std::vector<platform::machine> machine_history::list(base::monotonic_time now,
                                                     base::duration lag) const {
    std::vector<platform::machine> machines;
    const base::monotonic_time seen_at = now - lag;
    for (auto past = states_.rbegin(); past != states_.rend(); ++past) {
        if (past->since > seen_at) {
            continue;
        }
        for (const auto& [name, listed] : past->machines) {
            machines.push_back(listed);
        }
        break;
    }
    return machines;
}

}  // namespace ferryroad::emulator
