#include "ferryroad/catalog/difference.hpp"

namespace ferryroad::catalog {

std::vector<difference> find_differences(const resource_texts& before,
                                         const resource_texts& after) {
    std::vector<difference> found;
    auto old = before.begin();
    auto fresh = after.begin();
    while (old != before.end() || fresh != after.end()) {
        if (fresh == after.end() || (old != before.end() && old->first < fresh->first)) {
            found.push_back({old->first, old->second, std::nullopt});
            ++old;
        } else if (old == before.end() || fresh->first < old->first) {
            found.push_back({fresh->first, std::nullopt, fresh->second});
            ++fresh;
        } else {
            if (old->second != fresh->second) {
                found.push_back({old->first, old->second, fresh->second});
            }
            ++old;
            ++fresh;
        }
    }
    return found;
}

std::vector<difference> find_differences(const catalog& before, const catalog& after) {
    return find_differences(encode_resources(before), encode_resources(after));
}

}  // namespace ferryroad::catalog
