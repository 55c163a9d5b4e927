#include "ferryroad/http/client_exchange.hpp"

#include "ferryroad/http/line_stream.hpp"

#include <algorithm>
#include <stdexcept>

namespace ferryroad::http {

namespace {

constexpr std::size_t answer_header_bytes = std::size_t{64} * 1024;

/// An exchange whose answer's headers have come.
using started_exchange = result<std::unique_ptr<exchange>>;

/// @return whether a try may be followed by one on a fresh connection: the first one used a
/// pooled connection that proved dead before any byte of an answer.
bool may_send_again(exchange& tried, const error& reason, resend again) {
    return tried.is_reused() && again == resend::allowed && !tried.decoder().started() &&
           reason.code == error_code::connection_lost;
}

runtime::task<started_exchange> start_exchange(std::shared_ptr<connection_pool> pool,
                                               exchange_order order,
                                               std::optional<std::size_t> body_bytes) {
    const base::monotonic_time deadline = pool->scheduler().now() + order.limit;
    const response_decoder::limits limits{answer_header_bytes, body_bytes};
    std::string head;
    try {
        head = encode_head(order.message, order.address.to_string());
    } catch (const std::invalid_argument& fault) {
        co_return error{error_code::malformed, fault.what()};
    }
    for (bool fresh = false;; fresh = true) {
        auto attempt =
            std::make_unique<exchange>(pool, order.address, limits, order.message.method == "HEAD");
        const auto connected = co_await attempt->connect(fresh, deadline);
        if (!connected) {
            co_return connected.error();
        }
        const auto started = co_await attempt->start(head, order.message.body, deadline);
        if (started) {
            co_return started_exchange(std::move(attempt));
        }
        if (!may_send_again(*attempt, started.error(), order.again)) {
            co_return started.error();
        }
    }
}

}  // namespace

exchange::exchange(std::shared_ptr<connection_pool> pool, base::endpoint address,
                   response_decoder::limits limits, bool answers_head)
    : pool_(std::move(pool)), address_(std::move(address)), decoder_(limits, answers_head) {}

exchange::~exchange() {
    if (link_) {
        link_->close();
    }
}

runtime::task<result<void>> exchange::connect(bool fresh, base::monotonic_time deadline) {
    link_ = fresh ? nullptr : pool_->take(address_);
    reused_ = link_ != nullptr;
    if (reused_) {
        co_return result<void>();
    }
    link_ = pool_->make();
    link_->set_limit(std::min(time_left(deadline), pool_->limits().connect));
    const boost::system::error_code failure = co_await link_->connect(address_);
    link_->throw_if_cancelled(failure);
    if (failure || link_->is_expired()) {
        const std::string reason = link_->is_expired() ? "timed out" : failure.message();
        co_return fail({error_code::connect_failed,
                        "no connection to " + address_.to_string() + ": " + reason});
    }
    link_->lift_limit();
    co_return result<void>();
}

runtime::task<result<void>> exchange::start(const std::string& head, const std::string& body,
                                            base::monotonic_time deadline) {
    link_->set_limit(time_left(deadline));
    const boost::system::error_code failure =
        co_await link_->write(head, body, base::duration::zero());
    if (failure) {
        co_return fail(fault(failure));
    }
    while (!decoder_.headers_complete()) {
        const boost::system::error_code read_failure = co_await link_->read_more();
        if (read_failure) {
            co_return fail(fault(read_failure));
        }
        const auto decoded = decode();
        if (!decoded) {
            const result<void> failed = fail(decoded.error());
            // A fault in the body is told by the body's reads, after what came before it.
            co_return decoder_.headers_complete() ? result<void>() : failed;
        }
    }
    if (decoder_.is_unbounded()) {
        co_return fail({error_code::malformed,
                        "the answer has neither a length nor chunks: its end can't be told "
                        "from a cut"});
    }
    link_->lift_limit();
    finish();
    co_return result<void>();
}

runtime::task<result<void>> exchange::read_some(base::monotonic_time deadline) {
    if (failure_) {
        co_return *failure_;
    }
    link_->set_limit(time_left(deadline));
    const boost::system::error_code failure = co_await link_->read_more();
    if (failure) {
        co_return fail(fault(failure));
    }
    link_->lift_limit();
    const auto decoded = decode();
    if (!decoded) {
        co_return fail(decoded.error());
    }
    finish();
    co_return result<void>();
}

runtime::task<result<void>> exchange::read_all(base::monotonic_time deadline) {
    while (!is_complete()) {
        const auto read = co_await read_some(deadline);
        if (!read) {
            co_return read;
        }
    }
    co_return result<void>();
}

base::monotonic_time exchange::deadline_after(base::duration limit) const {
    return pool_->scheduler().now() + limit;
}

base::duration exchange::time_left(base::monotonic_time deadline) const {
    return std::max(base::duration::zero(), deadline - pool_->scheduler().now());
}

result<void> exchange::decode() {
    link_->consume(decoder_.feed(link_->received()));
    switch (decoder_.state()) {
        case decode_state::need_more:
        case decode_state::complete:
            return {};
        case decode_state::headers_too_large:
            return error{error_code::too_large, "the answer's headers are too large"};
        case decode_state::body_too_large:
            return error{error_code::too_large, "the answer's body is too large"};
        case decode_state::malformed:
            break;
    }
    return error{error_code::malformed, "the answer is not HTTP/1.1"};
}

error exchange::fault(const boost::system::error_code& failure) const {
    link_->throw_if_cancelled(failure);
    if (link_->is_expired()) {
        return {error_code::timed_out, "no whole answer in time from " + address_.to_string()};
    }
    return {error_code::connection_lost,
            "connection to " + address_.to_string() + " lost: " + failure.message()};
}

result<void> exchange::fail(error reason) {
    failure_ = std::move(reason);
    link_->close();
    return *failure_;
}

void exchange::finish() {
    if (!is_complete() || !link_) {
        return;
    }
    if (decoder_.keep_alive()) {
        pool_->put_back(address_, std::move(link_));
    } else {
        link_->close();
    }
    link_ = nullptr;
}

runtime::task<result<response>> send_request(std::shared_ptr<connection_pool> pool,
                                             exchange_order order) {
    const base::monotonic_time deadline = pool->scheduler().now() + order.limit;
    const std::size_t body_bytes = pool->limits().body_bytes;
    auto started = co_await start_exchange(pool, std::move(order), body_bytes);
    if (!started) {
        co_return started.error();
    }
    exchange& current = **started;
    const auto read = co_await current.read_all(deadline);
    if (!read) {
        co_return read.error();
    }
    response answer;
    answer.status = current.decoder().status();
    answer.headers = current.decoder().headers();
    answer.body = current.decoder().take_body();
    co_return answer;
}

runtime::task<result<std::unique_ptr<response_stream>>> open_stream(
    std::shared_ptr<connection_pool> pool, exchange_order order) {
    auto started = co_await start_exchange(pool, std::move(order), std::nullopt);
    if (!started) {
        co_return started.error();
    }
    const line_limits limits{pool->limits().line_bytes, pool->limits().body_bytes};
    std::unique_ptr<response_stream> stream =
        std::make_unique<line_stream>(std::move(*started), limits);
    co_return std::move(stream);
}

}  // namespace ferryroad::http
