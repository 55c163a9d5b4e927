/// @file
/// Bodies of engines' answers, both ways: an engine encodes, a router decodes.
#pragma once

#include "ferryroad/engine/protocol/fields.hpp"
#include "ferryroad/engine/types.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace ferryroad::engine::protocol {

/// The engine failed in the middle of a stream.
struct stream_break {
    std::string code;
    std::string message;
};

/// One line of a stream.
struct stream_line {
    base::attempt_id attempt;
    std::variant<stream_started, stream_token, stream_end, stream_break> event;
};

std::string encode(const load_report& load);
std::string encode(const cache_event_batch& batch);
std::string encode(const import_answer& answer);
/// @return the line with its line end.
std::string encode_line(const stream_line& line);

decoded<load_report> decode_load(std::string_view body);
decoded<cache_event_batch> decode_events(std::string_view body);
decoded<import_answer> decode_import_answer(std::string_view body);
decoded<stream_line> decode_line(std::string_view line);

/// An error as it stands on the wire.
struct error_answer {
    unsigned status = 0;
    std::string body;
};

/// @param failure with a code that has a place in the protocol; others become `failed`.
error_answer encode_error(const error& failure);

/// Reads an answer with a status other than 200. A body that is not the protocol's proves
/// nothing: `protocol_violation`, proof `unknown`.
error decode_error(unsigned status, std::string_view body);

}  // namespace ferryroad::engine::protocol
