/// @file
/// What callers say in headers.
#pragma once

#include "ferryroad/base/ids.hpp"
#include "ferryroad/caller/tunables.hpp"
#include "ferryroad/http/message.hpp"

#include <boost/leaf/result.hpp>

#include <optional>
#include <string>

namespace ferryroad::caller {

struct caller_headers {
    std::string bearer_key;
    std::optional<base::idempotency_key> key;
};

/// Errors are LEAF error objects of type `caller::error`.
boost::leaf::result<caller_headers> read_caller_headers(const http::header_list& headers,
                                                        const tunables& limits);

}  // namespace ferryroad::caller
