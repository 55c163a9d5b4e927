#include "ferryroad/core/quarantine/part_identity.hpp"

#include "ferryroad/core/quarantine/request_identity.hpp"

#include <algorithm>

namespace ferryroad::core::quarantine {

std::vector<part_identity> parts_of(const prefix::declared_prompt& prompt) {
    std::vector<part_identity> parts;
    for (std::size_t index = 0; index < prompt.shared_parts(); ++index) {
        const part_identity part{base::hash_fields({prompt.model, prompt.parts[index].id})};
        if (std::find(parts.begin(), parts.end(), part) == parts.end()) {
            parts.push_back(part);
        }
        if (parts.size() == max_identified_parts) {
            break;
        }
    }
    return parts;
}

std::string to_string(const std::vector<part_identity>& parts) {
    std::string text;
    for (const part_identity& one : parts) {
        text += text.empty() ? "" : " ";
        text += to_string(request_identity{one.digest});
    }
    return text;
}

}  // namespace ferryroad::core::quarantine
