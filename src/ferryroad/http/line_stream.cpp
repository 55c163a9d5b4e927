#include "ferryroad/http/line_stream.hpp"

namespace ferryroad::http {

line_stream::line_stream(std::unique_ptr<exchange> started, line_limits limits)
    : exchange_(std::move(started)),
      limits_(limits),
      status_(exchange_->decoder().status()),
      headers_(exchange_->decoder().headers()) {
    take_body();
}

void line_stream::take_body() {
    pending_.append(exchange_->decoder().take_body());
}

std::optional<std::string> line_stream::take_line() {
    const auto end = pending_.find('\n', searched_);
    if (end == std::string::npos) {
        searched_ = pending_.size();
        return std::nullopt;
    }
    std::string line = pending_.substr(0, end);
    pending_.erase(0, end + 1);
    searched_ = 0;
    if (!line.empty() && line.back() == '\r') {
        line.pop_back();
    }
    return line;
}

runtime::task<result<std::optional<std::string>>> line_stream::next_line(base::duration limit) {
    const base::monotonic_time deadline = exchange_->deadline_after(limit);
    for (;;) {
        std::optional<std::string> line = take_line();
        const std::size_t length = line ? line->size() : pending_.size();
        if (length > limits_.line_bytes) {
            co_return error{error_code::too_large,
                            "line of a streamed response exceeds the size limit"};
        }
        if (line) {
            co_return std::move(line);
        }
        if (exchange_->is_complete()) {
            break;
        }
        const auto read = co_await exchange_->read_some(deadline);
        if (!read) {
            co_return read.error();
        }
        take_body();
    }
    if (!pending_.empty()) {
        co_return error{error_code::malformed, "streamed response ends in the middle of a line"};
    }
    co_return std::optional<std::string>();
}

runtime::task<result<std::string>> line_stream::read_rest(base::duration limit) {
    const base::monotonic_time deadline = exchange_->deadline_after(limit);
    while (!exchange_->is_complete()) {
        const auto read = co_await exchange_->read_some(deadline);
        if (!read) {
            co_return read.error();
        }
        take_body();
        if (pending_.size() > limits_.rest_bytes) {
            co_return error{error_code::too_large, "response body exceeds the size limit"};
        }
    }
    searched_ = 0;
    co_return std::move(pending_);
}

}  // namespace ferryroad::http
