#include "ferryroad/core/quarantine/request_identity.hpp"

#include <array>
#include <cinttypes>
#include <cstdio>

namespace ferryroad::core::quarantine {

request_identity identity_of(const request_content& content) {
    return {base::hash_fields(
        {content.method, content.host, content.target, content.caller, content.body})};
}

std::string to_string(const request_identity& identity) {
    std::array<char, 33> text{};
    std::snprintf(text.data(), text.size(), "%016" PRIx64 "%016" PRIx64, identity.digest.high,
                  identity.digest.low);
    return text.data();
}

}  // namespace ferryroad::core::quarantine
