#include "emulator/engine/stream_writer.hpp"

#include "ferryroad/engine/protocol/answers.hpp"
#include "ferryroad/engine/protocol/headers.hpp"

#include <boost/asio/experimental/awaitable_operators.hpp>

#include <utility>
#include <variant>

namespace ferryroad::emulator {

namespace {

namespace protocol = engine::protocol;

constexpr unsigned status_ok = 200;

protocol::stream_break break_of(const stream_failure& failure) {
    return {"failed", failure.message};
}

}  // namespace

stream_writer::stream_writer(base::attempt_id attempt, std::shared_ptr<attempt_reader> reader,
                             const connection_faults& faults, http::response_writer& connection)
    : attempt_(std::move(attempt)),
      reader_(std::move(reader)),
      faults_(faults),
      connection_(connection) {}

runtime::task<stream_ending> stream_writer::run() {
    using boost::asio::experimental::awaitable_operators::operator||;
    const std::variant<stream_ending, std::monostate> first =
        co_await (write_all() || connection_.wait_closed());
    const stream_ending* ending = std::get_if<stream_ending>(&first);
    co_return ending == nullptr ? stream_ending::closed : *ending;
}

runtime::task<stream_ending> stream_writer::write_all() {
    http::header_list headers;
    headers.add(std::string(protocol::content_type_header), std::string(protocol::stream_content));
    const auto begun = co_await connection_.begin_stream(status_ok, std::move(headers));
    if (begun.has_error()) {
        co_return stream_ending::closed;
    }
    for (;;) {
        while (reader_->pending.empty() && !reader_->replaced) {
            co_await reader_->changed.wait();
        }
        if (reader_->replaced) {
            co_return stream_ending::replaced;
        }
        batch ready = take_batch();
        const auto written = co_await connection_.write(std::move(ready.lines));
        if (written.has_error()) {
            co_return stream_ending::closed;
        }
        if (ready.cut) {
            co_return stream_ending::cut;
        }
        if (ready.ended) {
            [[maybe_unused]] const auto closed = co_await connection_.end_stream();
            co_return stream_ending::complete;
        }
    }
}

stream_writer::batch stream_writer::take_batch() {
    batch ready;
    while (!reader_->pending.empty() && !ready.ended) {
        const model_output output = std::move(reader_->pending.front());
        reader_->pending.pop_front();
        const bool is_start = std::holds_alternative<engine::stream_started>(output.event);
        const std::string line = line_of(output);
        if (!is_start && faults_.must_cut_after(tokens_written_)) {
            // A cut ends the stream in the middle of a line.
            ready.lines += line.substr(0, line.size() / 2);
            ready.cut = true;
            return ready;
        }
        ready.lines += line;
        const bool is_token = std::holds_alternative<engine::stream_token>(output.event);
        tokens_written_ += is_token ? 1 : 0;
        ready.ended = !is_start && !is_token;
    }
    return ready;
}

std::string stream_writer::line_of(const model_output& output) const {
    protocol::stream_line line;
    line.attempt = attempt_;
    if (const auto* started = std::get_if<engine::stream_started>(&output.event)) {
        line.event = *started;
    } else if (const auto* token = std::get_if<engine::stream_token>(&output.event)) {
        line.event = *token;
    } else if (const auto* end = std::get_if<engine::stream_end>(&output.event)) {
        line.event = *end;
    } else {
        line.event = break_of(std::get<stream_failure>(output.event));
    }
    return protocol::encode_line(line);
}

}  // namespace ferryroad::emulator
