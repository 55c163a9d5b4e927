/// @file
/// Where a generation's tokens go: into one answer, or out as server-sent events.
#pragma once

#include "ferryroad/caller/generation_answer.hpp"
#include "ferryroad/http/server.hpp"
#include "ferryroad/router/request_types.hpp"

#include <optional>
#include <string>

namespace ferryroad::caller {

/// Notes when the first token came.
class timed_sink : public router::token_sink {
  public:
    /// @param clock outlives the sink.
    explicit timed_sink(const base::clock& clock) : clock_(clock) {}
    const std::optional<base::monotonic_time>& first_token_at() const { return first_token_at_; }

  protected:
    /// @return whether this is the first token.
    bool note_token();

  private:
    const base::clock& clock_;
    std::optional<base::monotonic_time> first_token_at_;
};

/// Keeps the whole text.
class collecting_sink final : public timed_sink {
  public:
    using timed_sink::timed_sink;
    runtime::task<bool> accept(engine::stream_token token) override;
    const std::string& text() const { return text_; }

  private:
    std::string text_;
};

/// Writes each token at once. The answer's headers go out with the first token, so that a
/// refusal before it still has its own status.
class streaming_sink final : public timed_sink {
  public:
    /// @param answer and `writer` outlive the sink. @param headers of the stream.
    streaming_sink(const base::clock& clock, const generation_answer& answer,
                   http::response_writer& writer, http::header_list headers);

    runtime::task<bool> accept(engine::stream_token token) override;
    /// Whether headers have gone out.
    bool begun() const { return begun_; }
    /// Whether a write failed: nobody reads any more.
    bool caller_gone() const { return caller_gone_; }
    /// Ends a whole stream.
    runtime::task<void> finish(router::generation_summary summary);
    /// Writes the event for a stream that can't be finished and leaves its end open, so that
    /// the connection is closed.
    runtime::task<void> fail(router::refusal refused);

  private:
    runtime::task<bool> begin();
    runtime::task<bool> write(std::string chunk);

    const generation_answer& answer_;
    http::response_writer& writer_;
    http::header_list headers_;
    bool begun_ = false;
    bool caller_gone_ = false;
};

}  // namespace ferryroad::caller
