/// @file
/// Identity of a request by its content, independent of request ids, deadlines and routers.
#pragma once

#include "ferryroad/base/hash.hpp"

#include <functional>
#include <string>
#include <string_view>

namespace ferryroad::core::quarantine {

/// Content and caller of a request. Equal for repeats of a request at any router.
struct request_content {
    std::string_view method;
    std::string_view host;
    std::string_view target;  ///< Path and query.
    std::string_view caller;  ///< The tenant; empty on public routes.
    std::string_view body;
};

/// Digest of a request's content. All functions of this file are thread-safe.
struct request_identity {
    base::hash128 digest;

    friend bool operator==(const request_identity&, const request_identity&) = default;
    friend bool operator<(const request_identity& first, const request_identity& second) {
        return first.digest < second.digest;
    }
};

request_identity identity_of(const request_content& content);

/// @return 32 lower-case hex digits.
std::string to_string(const request_identity& identity);

}  // namespace ferryroad::core::quarantine

template <>
struct std::hash<ferryroad::core::quarantine::request_identity> {
    std::size_t operator()(const ferryroad::core::quarantine::request_identity& one) const {
        return one.digest.low;
    }
};
