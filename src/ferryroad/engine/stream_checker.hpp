/// @file
/// Whether a stream's lines are the ones its attempt must bring, in order. Pure.
#pragma once

#include "ferryroad/base/ids.hpp"
#include "ferryroad/engine/errors.hpp"
#include "ferryroad/engine/protocol/answers.hpp"
#include "ferryroad/engine/types.hpp"
#include "ferryroad/runtime/task.hpp"

#include <cstdint>

namespace ferryroad::engine {

/// Takes the lines of one stream from its first to its `end`.
class stream_checker {
  public:
    /// @param process the incarnation that must answer.
    stream_checker(base::attempt_id attempt, base::incarnation process, std::uint32_t first_token);

    /// @return the line's event, or `protocol_violation`, or `failed` where the engine says
    /// that it failed.
    runtime::result<stream_event, error> accept(const protocol::stream_line& line);

    bool started() const { return started_; }

  private:
    runtime::result<stream_event, error> accept_event(const stream_started& started);
    runtime::result<stream_event, error> accept_event(const stream_token& token);
    runtime::result<stream_event, error> accept_event(const stream_end& end);
    runtime::result<stream_event, error> accept_event(const protocol::stream_break& broken);

    base::attempt_id attempt_;
    base::incarnation process_;
    std::uint32_t next_token_;
    bool started_ = false;
    bool ended_ = false;
};

}  // namespace ferryroad::engine
