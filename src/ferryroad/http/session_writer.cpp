#include "ferryroad/http/session_writer.hpp"

#include "ferryroad/runtime/boot_clock.hpp"

#include <boost/asio/error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <stdexcept>

namespace ferryroad::http {

session_writer::session_writer(std::shared_ptr<connection> link,
                               std::shared_ptr<server_shared> shared, terms request_terms)
    : link_(std::move(link)), shared_(std::move(shared)), terms_(request_terms) {}

runtime::task<runtime::result<void, error>> session_writer::put(std::string head, std::string body,
                                                                stage next) {
    stage_ = stage::broken;
    const boost::system::error_code failure =
        co_await link_->write(std::move(head), std::move(body), shared_->limits.write);
    link_->throw_if_cancelled(failure);
    if (failure) {
        const error_code code =
            link_->is_expired() ? error_code::timed_out : error_code::connection_lost;
        link_->close();
        co_return error{code, "answer not written: " + failure.message()};
    }
    stage_ = next;
    co_return runtime::result<void, error>();
}

bool session_writer::may_be_kept_alive() const {
    return terms_.keep_alive && !shared_->draining && !shared_->leaving;
}

runtime::result<void, error> session_writer::misuse(const char* message) {
    if (stage_ == stage::broken) {
        return error{error_code::connection_lost, "the connection is lost"};
    }
    throw std::logic_error(message);
}

runtime::task<runtime::result<void, error>> session_writer::send(response answer) {
    if (stage_ != stage::none) {
        co_return misuse("send after the answer was begun");
    }
    if (is_bodiless(answer.status)) {
        answer.body.clear();
    }
    kept_alive_ = may_be_kept_alive();
    answer_head head;
    head.status = answer.status;
    head.headers = &answer.headers;
    head.body_bytes = answer.body.size();
    head.keep_alive = kept_alive_;
    head.http_1_0 = !terms_.accepts_chunks;
    std::string text = encode_head(head);
    if (terms_.is_head) {
        answer.body.clear();
    }
    co_return co_await put(std::move(text), std::move(answer.body), stage::complete);
}

runtime::task<runtime::result<void, error>> session_writer::begin_stream(unsigned status,
                                                                         header_list headers) {
    if (stage_ != stage::none) {
        co_return misuse("begin_stream after the answer was begun");
    }
    kept_alive_ = may_be_kept_alive() && terms_.accepts_chunks;
    answer_head head;
    head.status = status;
    head.headers = &headers;
    head.body_framing = terms_.accepts_chunks ? framing::chunks : framing::until_close;
    head.keep_alive = kept_alive_;
    head.http_1_0 = !terms_.accepts_chunks;
    std::string text = encode_head(head);
    co_return co_await put(std::move(text), std::string(), stage::streaming);
}

runtime::task<runtime::result<void, error>> session_writer::write(std::string chunk) {
    if (stage_ != stage::streaming) {
        co_return misuse("write outside of a stream");
    }
    if (chunk.empty() || terms_.is_head) {
        co_return runtime::result<void, error>();  // An empty chunk would end the body.
    }
    if (terms_.accepts_chunks) {
        chunk = encode_chunk(chunk);
    }
    co_return co_await put(std::string(), std::move(chunk), stage::streaming);
}

runtime::task<runtime::result<void, error>> session_writer::end_stream() {
    if (stage_ != stage::streaming) {
        co_return misuse("end_stream outside of a stream");
    }
    std::string end(terms_.accepts_chunks && !terms_.is_head ? last_chunk : std::string_view());
    co_return co_await put(std::move(end), std::string(), stage::complete);
}

runtime::task<void> session_writer::wait_closed() {
    // Bytes that come are a next request, kept for after this one.
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
