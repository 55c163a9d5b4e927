/// @file
/// Response bodies of the engine protocol. Engines encode them and routers decode them.
#pragma once

#include "ferryroad/engine/protocol/fields.hpp"
#include "ferryroad/engine/types.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace ferryroad::engine::protocol {

/// Stream line that reports a failure of the engine after the response began.
struct stream_break {
    std::string code;
    std::string message;
};

/// One line of a stream: an event of an attempt.
struct stream_line {
    base::attempt_id attempt;
    std::variant<stream_started, stream_token, stream_end, stream_break> event;
};

std::string encode(const load_report& load);
std::string encode(const cache_event_batch& batch);
std::string encode(const import_answer& answer);
/// @return the line including its terminating newline.
std::string encode_line(const stream_line& line);

decoded<load_report> decode_load(std::string_view body);
decoded<cache_event_batch> decode_events(std::string_view body);
decoded<import_answer> decode_import_answer(std::string_view body);
decoded<stream_line> decode_line(std::string_view line);

/// An error response: HTTP status and JSON body.
struct error_answer {
    unsigned status = 0;
    std::string body;
};

/// Encodes an error response.
/// @param failure the error; a code that the protocol doesn't define is sent as `failed`.
error_answer encode_error(const error& failure);

/// Decodes a response with a status other than 200.
/// @return the error, or `protocol_violation` with proof `unknown` if the body doesn't conform to
/// the protocol.
error decode_error(unsigned status, std::string_view body);

}  // namespace ferryroad::engine::protocol
