#include "ferryroad/http/session_writer.hpp"

#include "ferryroad/runtime/boot_clock.hpp"
#include "ferryroad/runtime/log.hpp"

#include <boost/asio/error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <stdexcept>

namespace ferryroad::http {

namespace {

/// Parts of a response up to this size are not counted as memory: there is at most one for each
/// connection.
constexpr std::size_t uncounted_bytes = std::size_t{16} * 1024;
constexpr std::string_view log_component = "http.server";

}  // namespace

session_writer::session_writer(std::shared_ptr<connection> link,
                               std::shared_ptr<server_shared> shared, request_properties properties)
    : link_(std::move(link)), shared_(std::move(shared)), request_properties_(properties) {}

runtime::task<runtime::result<void, error>> session_writer::write_bytes(std::string head,
                                                                        std::string body,
                                                                        stage next) {
    stage_ = stage::broken;
    if (body.size() > uncounted_bytes && shared_->memory && !memory_) {
        memory_.emplace(
            shared_->memory, shared_->clock, [this] { evict_response(); },
            runtime::account_terms{1.0, false});
        link_->on_written([this](std::size_t bytes) { memory_->record_progress(bytes); });
    }
    if (memory_ && !memory_->grow_to(body.size())) {
        log_closed("no memory left for it");
        link_->close();
    }
    const boost::system::error_code failure =
        co_await link_->write(std::move(head), body, shared_->limits.write);
    if (memory_) {
        memory_->release();
    }
    link_->throw_if_cancelled(failure);
    if (failure) {
        const error_code code =
            link_->is_expired() ? error_code::timed_out : error_code::connection_lost;
        link_->close();
        co_return error{code, "writing the response failed: " + failure.message()};
    }
    stage_ = next;
    co_return runtime::result<void, error>();
}

session_writer::~session_writer() {
    link_->on_written({});
}

void session_writer::evict_response() {
    log_closed("its client has not read it");
    link_->close();
}

void session_writer::log_closed(std::string_view reason) const {
    const runtime::memory_counters& used = shared_->memory->counters();
    runtime::log(runtime::log_level::warning, log_component,
                 "connection closed before the response was written",
                 {{"reason", std::string(reason)},
                  {"used_bytes", std::to_string(used.used_bytes)},
                  {"limit_bytes", std::to_string(shared_->memory->limits().total_bytes)}});
}

bool session_writer::allows_keep_alive() const {
    return request_properties_.keep_alive && !shared_->draining && !shared_->leaving;
}

runtime::result<void, error> session_writer::misuse(const char* message) {
    if (stage_ == stage::broken) {
        return error{error_code::connection_lost,
                     "connection lost before the response was complete"};
    }
    throw std::logic_error(message);
}

runtime::task<runtime::result<void, error>> session_writer::send(response answer) {
    if (stage_ != stage::none) {
        co_return misuse("send called after the response was started");
    }
    if (is_bodiless(answer.status)) {
        answer.body.clear();
    }
    kept_alive_ = allows_keep_alive();
    response_head head;
    head.status = answer.status;
    head.headers = &answer.headers;
    head.body_bytes = answer.body.size();
    head.keep_alive = kept_alive_;
    head.http_1_0 = !request_properties_.accepts_chunks;
    std::string text = encode_head(head);
    if (request_properties_.is_head) {
        answer.body.clear();
    }
    co_return co_await write_bytes(std::move(text), std::move(answer.body), stage::complete);
}

runtime::task<runtime::result<void, error>> session_writer::begin_stream(unsigned status,
                                                                         header_list headers) {
    if (stage_ != stage::none) {
        co_return misuse("begin_stream called after the response was started");
    }
    kept_alive_ = allows_keep_alive() && request_properties_.accepts_chunks;
    response_head head;
    head.status = status;
    head.headers = &headers;
    head.body_framing = request_properties_.accepts_chunks ? framing::chunks : framing::until_close;
    head.keep_alive = kept_alive_;
    head.http_1_0 = !request_properties_.accepts_chunks;
    std::string text = encode_head(head);
    if (!request_properties_.accepts_chunks) {
        // Otherwise the caller would take an early end of the connection for the end of the body.
        link_->set_reset_on_close(true);
    }
    co_return co_await write_bytes(std::move(text), std::string(), stage::streaming);
}

runtime::task<runtime::result<void, error>> session_writer::write(std::string chunk) {
    if (stage_ != stage::streaming) {
        co_return misuse("write called outside begin_stream and end_stream");
    }
    if (chunk.empty() || request_properties_.is_head) {
        co_return runtime::result<void, error>();  // An empty chunk would end the body.
    }
    if (request_properties_.accepts_chunks) {
        chunk = encode_chunk(chunk);
    }
    co_return co_await write_bytes(std::string(), std::move(chunk), stage::streaming);
}

runtime::task<runtime::result<void, error>> session_writer::end_stream() {
    if (stage_ != stage::streaming) {
        co_return misuse("end_stream called without begin_stream");
    }
    std::string end(request_properties_.accepts_chunks && !request_properties_.is_head
                        ? last_chunk
                        : std::string_view());
    auto written = co_await write_bytes(std::move(end), std::string(), stage::complete);
    if (written && !request_properties_.accepts_chunks) {
        link_->set_reset_on_close(false);
    }
    co_return written;
}

runtime::task<void> session_writer::wait_closed() {
    // Bytes received meanwhile belong to the next, pipelined request and stay buffered.
    while (link_->received().size() < shared_->limits.header_bytes) {
        const boost::system::error_code failure = co_await link_->read_more();
        link_->throw_if_cancelled(failure);
        if (failure) {
            link_->close();
            co_return;
        }
    }
    const auto executor = co_await boost::asio::this_coro::executor;
    runtime::boot_timer never(executor);
    never.expires_at(runtime::boot_timer::time_point::max());
    co_await never.async_wait(boost::asio::use_awaitable);
}

void session_writer::abort() {
    stage_ = stage::broken;
    link_->reset();
}

}  // namespace ferryroad::http
