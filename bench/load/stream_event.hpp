/// @file
/// Lines of the server-sent events that a router streams.
#pragma once

#include "bench/load/errors.hpp"
#include "ferryroad/runtime/task.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace ferryroad::bench::load {

/// An answer's token counts as the router states them.
struct usage {
    std::uint64_t prompt_tokens = 0;
    std::uint64_t completion_tokens = 0;
};

/// An error as the router states it, in a body or in a stream.
struct stated_error {
    std::string code;
    std::string message;
    std::string execution;  ///< `complete`, `not-run` or `unknown`; empty where not stated.
};

/// What one event of a stream, or one whole answer, holds; several members may be set.
struct answer_part {
    std::string text;
    std::optional<std::string> finish_reason;
    std::optional<load::usage> usage;
    std::optional<stated_error> failure;
    std::string execution;  ///< `complete`, `not-run` or `unknown`; empty where not stated.
    bool done = false;      ///< `[DONE]`: the proper end.
};

/// @param line one line of a `text/event-stream`.
/// @return nothing for lines without data (blank, comments, other fields).
runtime::result<std::optional<answer_part>, error> parse_stream_line(std::string_view line);

/// @param body of an answer that is no stream: a completion or an error.
runtime::result<answer_part, error> parse_whole_answer(std::string_view body);

}  // namespace ferryroad::bench::load
