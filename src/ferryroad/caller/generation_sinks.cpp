#include "ferryroad/caller/generation_sinks.hpp"

#include "ferryroad/caller/refusal_answer.hpp"

#include <utility>

namespace ferryroad::caller {

namespace {

constexpr unsigned ok_status = 200;

}  // namespace

bool timed_sink::record_token() {
    const bool first = !first_token_at_.has_value();
    if (first) {
        first_token_at_ = clock_.now();
    }
    return first;
}

runtime::task<bool> collecting_sink::accept(engine::stream_token token) {
    record_token();
    text_ += token.text;
    co_return true;
}

streaming_sink::streaming_sink(const base::clock& clock, const generation_answer& answer,
                               http::response_writer& writer, http::header_list headers)
    : timed_sink(clock), answer_(answer), writer_(writer), headers_(std::move(headers)) {}

runtime::task<bool> streaming_sink::accept(engine::stream_token token) {
    const bool first = record_token();
    const bool open = co_await send_headers();
    if (!open) {
        co_return false;
    }
    std::string chunk = answer_.chunk(token.text, first);
    const bool written = co_await write(std::move(chunk));
    co_return written;
}

runtime::task<void> streaming_sink::finish(router::generation_summary summary) {
    const bool open = co_await send_headers();
    if (!open) {
        co_return;
    }
    std::string last = answer_.end(summary);
    const bool written = co_await write(std::move(last));
    if (written) {
        co_await writer_.end_stream();
    }
}

runtime::task<void> streaming_sink::fail(router::refusal refused) {
    std::string last = refusal_event(refused);
    co_await write(std::move(last));
}

runtime::task<bool> streaming_sink::send_headers() {
    if (headers_sent_) {
        co_return !caller_gone_;
    }
    headers_sent_ = true;
    http::header_list headers = headers_;
    const auto sent = co_await writer_.begin_stream(ok_status, std::move(headers));
    caller_gone_ = sent.has_error();
    co_return !caller_gone_;
}

runtime::task<bool> streaming_sink::write(std::string chunk) {
    const auto written = co_await writer_.write(std::move(chunk));
    caller_gone_ = written.has_error();
    co_return !caller_gone_;
}

}  // namespace ferryroad::caller
