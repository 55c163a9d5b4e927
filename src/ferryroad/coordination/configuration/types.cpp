#include "ferryroad/coordination/configuration/types.hpp"

namespace ferryroad::coordination::configuration {

std::vector<resource_difference> find_differences(const resources& before, const resources& after) {
    std::vector<resource_difference> found;
    for (const auto& [key, value] : before) {
        const auto still = after.find(key);
        if (still == after.end()) {
            found.push_back({key, value, std::nullopt});
        } else if (still->second != value) {
            found.push_back({key, value, still->second});
        }
    }
    for (const auto& [key, value] : after) {
        if (!before.contains(key)) {
            found.push_back({key, std::nullopt, value});
        }
    }
    return found;
}

std::vector<resource_change> to_changes(const std::vector<resource_difference>& differences) {
    std::vector<resource_change> changes;
    changes.reserve(differences.size());
    for (const resource_difference& difference : differences) {
        changes.push_back({difference.key, difference.after});
    }
    return changes;
}

}  // namespace ferryroad::coordination::configuration
