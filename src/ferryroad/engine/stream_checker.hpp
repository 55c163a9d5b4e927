/// @file
/// Validation of a stream's lines: right attempt, right incarnation, right order. Does no I/O.
#pragma once

#include "ferryroad/base/ids.hpp"
#include "ferryroad/engine/errors.hpp"
#include "ferryroad/engine/protocol/answers.hpp"
#include "ferryroad/engine/types.hpp"
#include "ferryroad/runtime/task.hpp"

#include <cstdint>

namespace ferryroad::engine {

/// Validates the lines of one stream, from the first to `end`.
class stream_checker {
  public:
    /// @param incarnation the engine incarnation that must have started the stream.
    /// @param first_token index of the first token expected.
    stream_checker(base::attempt_id attempt, base::incarnation incarnation,
                   std::uint32_t first_token);

    /// Validates the next line.
    /// @return the line's event, `protocol_violation` if the line is invalid, or `failed` if the
    /// engine reports a failure.
    runtime::result<stream_event, error> accept(const protocol::stream_line& line);

    /// @return whether the `started` line has been accepted.
    bool started() const { return started_; }

  private:
    runtime::result<stream_event, error> accept_event(const stream_started& started);
    runtime::result<stream_event, error> accept_event(const stream_token& token);
    runtime::result<stream_event, error> accept_event(const stream_end& end);
    runtime::result<stream_event, error> accept_event(const protocol::stream_break& failure);

    base::attempt_id attempt_;
    base::incarnation incarnation_;
    std::uint32_t next_token_;
    bool started_ = false;
    bool ended_ = false;
};

}  // namespace ferryroad::engine
