/// @file
/// The credentials that a request presents in `Authorization`.
#pragma once

#include "ferryroad/http/message.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace ferryroad::http {

/// What a request says of its caller. At most one of the members is set; none if the request
/// presents no credentials.
struct credentials {
    std::optional<std::string> key;  ///< Not empty, without white space.
    /// There are credentials, but they are not exactly one key of the expected scheme.
    bool invalid = false;

    friend bool operator==(const credentials&, const credentials&) = default;
};

/// Thread-safe.
/// @param scheme expected authentication scheme, in any case.
credentials read_credentials(const header_list& headers, std::string_view scheme);

}  // namespace ferryroad::http
