/// @file
/// Reads the request headers that callers send.
#pragma once

#include "ferryroad/base/ids.hpp"
#include "ferryroad/caller/tunables.hpp"
#include "ferryroad/http/message.hpp"

#include <boost/leaf/result.hpp>

#include <optional>
#include <string>

namespace ferryroad::caller {

/// Values taken from the request headers.
struct caller_headers {
    std::string bearer_key;                    ///< From `Authorization: Bearer KEY`.
    std::optional<base::idempotency_key> key;  ///< From `Idempotency-Key`; empty when absent.
};

/// Reads and checks the headers. Errors are LEAF error objects of type `caller::error`:
/// `missing_key` without a bearer key, `invalid_header` for a malformed idempotency key.
boost::leaf::result<caller_headers> read_caller_headers(const http::header_list& headers,
                                                        const tunables& limits);

}  // namespace ferryroad::caller
