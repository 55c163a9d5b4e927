#include "ferryroad/engine/stream_checker.hpp"

#include <string>
#include <utility>

namespace ferryroad::engine {

namespace {

error protocol_error(std::string message) {
    return {error_code::protocol_violation, proof::unknown, std::move(message), std::nullopt};
}

}  // namespace

stream_checker::stream_checker(base::attempt_id attempt, base::incarnation incarnation,
                               std::uint32_t first_token)
    : attempt_(std::move(attempt)), incarnation_(incarnation), next_token_(first_token) {}

runtime::result<stream_event, error> stream_checker::accept(const protocol::stream_line& line) {
    if (line.attempt != attempt_) {
        return protocol_error("stream line belongs to attempt " + line.attempt.value);
    }
    if (ended_) {
        return protocol_error("stream line after the end event");
    }
    return std::visit([this](const auto& event) { return accept_event(event); }, line.event);
}

runtime::result<stream_event, error> stream_checker::accept_event(const stream_started& started) {
    if (started_) {
        return protocol_error("second started event");
    }
    if (started.incarnation != incarnation_) {
        return protocol_error("stream started by unexpected incarnation " +
                              std::to_string(started.incarnation.value));
    }
    started_ = true;
    return stream_event(started);
}

runtime::result<stream_event, error> stream_checker::accept_event(const stream_token& token) {
    if (!started_ || token.index != next_token_) {
        return protocol_error("received token " + std::to_string(token.index) + " where " +
                              std::to_string(next_token_) + " was expected");
    }
    ++next_token_;
    return stream_event(token);
}

runtime::result<stream_event, error> stream_checker::accept_event(const stream_end& end) {
    const bool cancelled = end.reason == finish_reason::cancelled;
    if ((!started_ && !cancelled) || end.tokens != next_token_) {
        return protocol_error("end event counts " + std::to_string(end.tokens) + " tokens where " +
                              std::to_string(next_token_) + " were expected");
    }
    ended_ = true;
    return stream_event(end);
}

runtime::result<stream_event, error> stream_checker::accept_event(
    const protocol::stream_break& failure) {
    ended_ = true;
    return error{error_code::failed, proof::unknown, failure.code + ": " + failure.message,
                 std::nullopt};
}

}  // namespace ferryroad::engine
