/// @file
/// HTTP responses and request decoding of the platform protocol, apart from table data.
#pragma once

#include "emulator/platform/platform_model.hpp"
#include "ferryroad/http/errors.hpp"
#include "ferryroad/http/message.hpp"

#include <string>
#include <string_view>

namespace ferryroad::emulator {

/// @return status 200 with `body` as JSON.
http::response json_answer(std::string body);
/// @return status 200 with the body `{}`.
http::response empty_answer();
/// @return the response to a request that can't be decoded.
http::response bad_request(const http::error& fault);
/// @param what names the missing object or path in the message.
http::response not_found(std::string_view what);
/// @return the response to a method that the path doesn't support.
http::response wrong_method();
/// @param decision must refuse the call. @return status 503 for an outage, 429 for a rate limit.
http::response refusal(const call_decision& decision);
/// @return size and checksum of the transferred weights as JSON.
http::response weights_answer(const weights_transfer& transfer);

/// @param body of `POST /emulator/faults`.
/// @param current faults in force; those that the body doesn't name keep their values.
/// @return the faults to put in force, or why the body is invalid.
runtime::result<platform_faults, http::error> decode_faults(std::string_view body,
                                                            platform_faults current);

}  // namespace ferryroad::emulator
