/// @file
/// Answers and requests of the platform protocol that carry no table data.
#pragma once

#include "emulator/platform/platform_model.hpp"
#include "ferryroad/http/errors.hpp"
#include "ferryroad/http/message.hpp"

#include <string>
#include <string_view>

namespace ferryroad::emulator {

http::response json_answer(std::string body);
/// @return `{}`.
http::response empty_answer();
http::response bad_request(const http::error& fault);
http::response not_found(std::string_view what);
http::response wrong_method();
/// @return 503 or 429. @param decision that refuses the call.
http::response refusal(const call_decision& decision);
http::response weights_answer(const weights_transfer& transfer);

/// @param body of `POST /emulator/faults`. @param current faults, of which those that the body
/// doesn't name stay.
runtime::result<platform_faults, http::error> decode_faults(std::string_view body,
                                                            platform_faults current);

}  // namespace ferryroad::emulator
