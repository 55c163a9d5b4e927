#include "ferryroad/http/session.hpp"

#include "ferryroad/http/error_response.hpp"
#include "ferryroad/http/session_writer.hpp"
#include "ferryroad/runtime/log.hpp"

#include <boost/asio/error.hpp>
#include <boost/system/system_error.hpp>

#include <algorithm>

namespace ferryroad::http {

namespace {

/// Time for the peer to read an error response and to close the connection.
constexpr base::duration linger_timeout = std::chrono::seconds(2);
/// Time for the first request of a connection that was accepted just before a graceful shutdown.
constexpr base::duration first_request_drain_timeout = std::chrono::seconds(1);
/// A connection that has waited for its client for a shorter time isn't closed to make room.
constexpr base::duration min_wait_to_evict = std::chrono::seconds(1);
constexpr std::string_view continue_answer = "HTTP/1.1 100 Continue\r\n\r\n";
constexpr std::string_view log_component = "http.server";

/// Counts a request as active during the lifetime of this object.
class active_count {
  public:
    explicit active_count(std::size_t& count) : count_(count) { ++count_; }
    ~active_count() { --count_; }
    active_count(const active_count&) = delete;
    active_count& operator=(const active_count&) = delete;

  private:
    std::size_t& count_;
};

}  // namespace

session::session(std::shared_ptr<connection> link, std::shared_ptr<server_shared> shared)
    : link_(std::move(link)), shared_(std::move(shared)), in_phase_since_(shared_->clock.now()) {}

void session::enter(phase next) {
    phase_ = next;
    in_phase_since_ = shared_->clock.now();
}

session::eviction_class session::eviction_class_at(base::monotonic_time now) const {
    const bool for_long = now - in_phase_since_ >= min_wait_to_evict;
    if (phase_ == phase::idle) {
        return eviction_class::idle;
    }
    if (phase_ == phase::handling || !for_long) {
        return eviction_class::none;
    }
    return phase_ == phase::fresh ? eviction_class::silent : eviction_class::stalled;
}

void session::drain() {
    if (phase_ == phase::fresh) {
        link_->set_timeout(first_request_drain_timeout);
    } else if (phase_ == phase::idle && !link_->has_input()) {
        link_->close();
    }
}

runtime::task<void> session::run() {
    bool keep = true;
    while (keep) {
        const bool complete = co_await read_request();
        keep = complete && co_await handle_request();
        memory_.reset();
        enter(phase::idle);
    }
    link_->close();
}

void session::begin_request() {
    decoder_.emplace(shared_->limits.header_bytes, shared_->limits.body_bytes);
    if (shared_->memory) {
        memory_.emplace(
            shared_->memory, shared_->clock, [this] { evict_request(); },
            runtime::account_terms{request_memory_share, true});
    }
}

bool session::decode_received() {
    link_->consume(decoder_->feed(link_->received()));
    received_bytes_ = decoder_->buffered_bytes() + link_->received().size();
    return !memory_ || memory_->grow_to(received_bytes_);
}

void session::evict_request() {
    evicted_ = true;
    free_request();
    link_->interrupt();
}

runtime::task<bool> session::wait_for_input() {
    const bool draining_without_input = shared_->draining && !link_->has_input();
    if (draining_without_input && phase_ == phase::idle) {
        co_return false;
    }
    link_->set_timeout(draining_without_input ? first_request_drain_timeout : shared_->limits.idle);
    const boost::system::error_code failure = co_await link_->read_more();
    co_return !failure;
}

runtime::task<bool> session::read_request() {
    if (link_->received().empty()) {
        const bool has_bytes = co_await wait_for_input();
        if (!has_bytes) {
            co_return false;
        }
    }
    enter(phase::reading);
    begin_request();
    link_->set_timeout(std::min(shared_->limits.header_read, shared_->limits.request_read));
    bool continue_sent = false;
    bool reading_body = false;
    for (;;) {
        if (!decode_received()) {
            co_await refuse_for_memory();
            co_return false;
        }
        const decode_state state = decoder_->state();
        if (state == decode_state::complete) {
            link_->clear_timeout();
            co_return true;
        }
        if (state != decode_state::need_more) {
            co_await refuse_input(state);
            co_return false;
        }
        if (decoder_->headers_complete() && !reading_body) {
            reading_body = true;
            link_->set_timeout(shared_->limits.request_read);
        }
        if (decoder_->expects_continue() && !continue_sent) {
            continue_sent = true;
            std::string text(continue_answer);
            co_await link_->write(std::move(text), std::string_view(), base::duration::zero());
        }
        boost::system::error_code failure;
        if (!evicted_) {
            failure = co_await link_->read_more();
        }
        const bool refuses = evicted_ && link_->is_open();
        if (refuses) {
            co_await refuse_for_memory();
        }
        if (failure || evicted_) {
            co_return false;
        }
    }
}

runtime::task<bool> session::handle_request() {
    enter(phase::handling);
    if (memory_) {
        memory_->keep();
    }
    const active_count active(shared_->active_requests);
    const bool keep_alive = decoder_->keep_alive();
    const bool accepts_chunks = decoder_->accepts_chunks();
    request message = decoder_->take();
    decoder_.reset();
    session_writer writer(link_, shared_, {keep_alive, accepts_chunks, message.method == "HEAD"});
    bool failed = false;
    try {
        co_await shared_->handle(std::move(message), writer);
    } catch (const std::exception&) {
        runtime::log_exception(log_component, std::current_exception());
        failed = true;
    }
    if (!writer.is_started() && link_->is_open()) {
        const error_text text{
            "server_error", "internal_error",
            failed ? "the request's handler failed" : "the request's handler gave no answer"};
        response answer = error_response(500, text);
        co_await writer.send(std::move(answer));
    }
    co_return writer.may_keep_alive();
}

runtime::task<void> session::refuse() {
    co_await write_refusal(503, "too_many_connections", "too many connections");
}

void session::free_request() {
    decoder_.reset();
    link_->consume(link_->received().size());
    if (memory_) {
        memory_->release();
    }
}

runtime::task<void> session::refuse_input(decode_state state) {
    free_request();
    if (state == decode_state::headers_too_large) {
        co_await write_refusal(431, "request_headers_too_large",
                               "the request's headers are over the limit of " +
                                   std::to_string(shared_->limits.header_bytes) + " bytes");
    } else if (state == decode_state::body_too_large) {
        co_await write_refusal(413, "request_body_too_large",
                               "the request's body is over the limit of " +
                                   std::to_string(shared_->limits.body_bytes) + " bytes");
    } else {
        co_await write_refusal(400, "malformed_request", "the request is not HTTP/1.1");
    }
}

runtime::task<void> session::refuse_for_memory() {
    const runtime::memory_counters& used = memory_->budget().counters();
    runtime::log(runtime::log_level::warning, log_component,
                 "request refused before it was complete: no memory left for it",
                 {{"reason", evicted_ ? "evicted for other messages" : "no message can be evicted"},
                  {"received_bytes", std::to_string(received_bytes_)},
                  {"used_bytes", std::to_string(used.used_bytes)},
                  {"limit_bytes", std::to_string(memory_->budget().limits().total_bytes)}});
    free_request();
    co_await write_refusal(503, "memory_exhausted",
                           "no memory is left for the request's body; it was not read");
}

runtime::task<void> session::write_refusal(unsigned status, std::string_view code,
                                           std::string_view message) {
    const std::string_view type = status == 503 ? "server_error" : "invalid_request_error";
    response answer = error_response(status, {type, code, message});
    if (status == 503) {
        answer.headers.add("Retry-After", "1");
    }
    if (shared_->complete_refusal) {
        shared_->complete_refusal(answer);
    }
    response_head head;
    head.status = status;
    head.headers = &answer.headers;
    head.body_bytes = answer.body.size();
    head.keep_alive = false;
    std::string text = encode_head(head);
    const boost::system::error_code failure = co_await link_->write(
        std::move(text), std::string_view(answer.body), shared_->limits.write);
    if (!failure) {
        co_await link_->close_gracefully(linger_timeout);
    }
    link_->close();
}

}  // namespace ferryroad::http
