/// @file
/// Token sinks of the caller front end: one collects the text, one streams server-sent events.
#pragma once

#include "ferryroad/caller/generation_answer.hpp"
#include "ferryroad/http/server.hpp"
#include "ferryroad/router/request_types.hpp"

#include <optional>
#include <string>

namespace ferryroad::caller {

/// Records when the first token arrived.
class timed_sink : public router::token_sink {
  public:
    /// @param clock must outlive the sink.
    explicit timed_sink(const base::clock& clock) : clock_(clock) {}
    const std::optional<base::monotonic_time>& first_token_at() const { return first_token_at_; }

  protected:
    /// Records a token. @return whether it is the first one.
    bool record_token();

  private:
    const base::clock& clock_;
    std::optional<base::monotonic_time> first_token_at_;
};

/// Collects the text of all tokens, for an answer that isn't streamed.
class collecting_sink final : public timed_sink {
  public:
    using timed_sink::timed_sink;
    runtime::task<bool> accept(engine::stream_token token) override;
    const std::string& text() const { return text_; }

  private:
    std::string text_;
};

/// Writes each token as it arrives. The headers of the answer are sent with the first token, so
/// that a refusal before it can still be answered with its own HTTP status.
class streaming_sink final : public timed_sink {
  public:
    /// @param answer, `writer` and `clock` must outlive the sink.
    /// @param headers are sent with status 200 before the first event.
    streaming_sink(const base::clock& clock, const generation_answer& answer,
                   http::response_writer& writer, http::header_list headers);

    runtime::task<bool> accept(engine::stream_token token) override;
    /// @return whether the headers have been sent.
    bool headers_sent() const { return headers_sent_; }
    /// @return whether a write failed, that is, the caller has closed the connection.
    bool caller_gone() const { return caller_gone_; }
    /// Writes the events that end a complete stream, and ends the stream.
    runtime::task<void> finish(router::generation_summary summary);
    /// Writes an error event and leaves the stream without its end, so that the server closes the
    /// connection and the caller can tell that the answer is incomplete.
    runtime::task<void> fail(router::refusal refused);

  private:
    runtime::task<bool> send_headers();
    runtime::task<bool> write(std::string chunk);

    const generation_answer& answer_;
    http::response_writer& writer_;
    http::header_list headers_;
    bool headers_sent_ = false;
    bool caller_gone_ = false;
};

}  // namespace ferryroad::caller
