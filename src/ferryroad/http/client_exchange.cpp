#include "ferryroad/http/client_exchange.hpp"

#include "ferryroad/http/line_stream.hpp"
#include "ferryroad/http/relayed_body.hpp"

#include <boost/asio/error.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <stdexcept>

namespace ferryroad::http {

namespace {

constexpr std::size_t answer_header_bytes = std::size_t{64} * 1024;

/// How long the server of a response that was given up may take to close the connection. Then it is
/// reset, so that a server that only notices failed writes stops, too.
constexpr base::duration give_up_timeout = std::chrono::milliseconds(250);

/// An exchange whose response headers have arrived.
using started_exchange = result<std::unique_ptr<exchange>>;

/// @return whether the request may be sent again on a new connection: resending is allowed, and the
/// attempt used a pooled connection that was lost before any byte of a response.
bool may_resend(exchange& failed_attempt, const error& reason, resend again) {
    return failed_attempt.is_reused() && again == resend::allowed &&
           !failed_attempt.decoder().started() && reason.code == error_code::connection_lost;
}

result<std::string> encode_request_head(const exchange_parameters& parameters) {
    try {
        return encode_head(parameters.message, parameters.address.to_string());
    } catch (const std::invalid_argument& fault) {
        return error{error_code::malformed, fault.what()};
    }
}

runtime::task<started_exchange> start_exchange(std::shared_ptr<connection_pool> pool,
                                               exchange_parameters parameters,
                                               std::optional<std::size_t> body_bytes) {
    const base::monotonic_time deadline = pool->scheduler().now() + parameters.limit;
    const response_decoder::limits limits{answer_header_bytes, body_bytes};
    const auto head = encode_request_head(parameters);
    if (!head) {
        co_return head.error();
    }
    for (bool fresh = parameters.choice == connection_choice::fresh;; fresh = true) {
        auto attempt = std::make_unique<exchange>(pool, parameters.address, limits,
                                                  parameters.message.method == "HEAD");
        const auto connected = co_await attempt->connect(fresh, deadline);
        if (!connected) {
            co_return connected.error();
        }
        std::string text = *head;
        const std::string_view body = parameters.message.body;
        const auto started = co_await attempt->start(std::move(text), body, deadline);
        if (started) {
            co_return started_exchange(std::move(attempt));
        }
        if (!may_resend(*attempt, started.error(), parameters.again)) {
            co_return started.error();
        }
    }
}

response response_head_of(exchange& answered) {
    response answer;
    answer.status = answered.decoder().status();
    answer.headers = answered.decoder().headers();
    return answer;
}

}  // namespace

exchange::exchange(std::shared_ptr<connection_pool> pool, base::endpoint address,
                   response_decoder::limits limits, bool answers_head)
    : pool_(std::move(pool)), address_(std::move(address)), decoder_(limits, answers_head) {}

exchange::~exchange() {
    if (!link_) {
        return;
    }
    // A request that has not been answered may still be on its way, and is reset unless the caller
    // waits for its end: servers tell that by closing the connection.
    const bool has_arrived = response_begun_ || (is_written_ && on_ended_);
    if (relayed_ && has_arrived && !is_request_cut_ && link_->is_open()) {
        give_up();
    } else {
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
    link_->set_timeout(std::min(time_left(deadline), pool_->limits().connect));
    const boost::system::error_code failure = co_await link_->connect(address_);
    link_->throw_if_cancelled(failure);
    if (failure || link_->is_expired()) {
        const std::string reason = link_->is_expired() ? "timed out" : failure.message();
        co_return fail({error_code::connect_failed,
                        "no connection to " + address_.to_string() + ": " + reason});
    }
    link_->clear_timeout();
    co_return result<void>();
}

runtime::task<result<void>> exchange::start(std::string head, std::string_view body,
                                            base::monotonic_time deadline) {
    link_->set_timeout(time_left(deadline));
    // A request that is given up must not reach the server once the network delivers it.
    link_->reset_when_closed(true);
    if (relayed_) {
        const auto answered = co_await write_and_read_head(std::move(head), body);
        if (!answered) {
            co_return answered;
        }
    } else {
        const boost::system::error_code failure =
            co_await link_->write(std::move(head), body, base::duration::zero());
        if (failure) {
            co_return fail(to_error(failure));
        }
        const auto answered = co_await read_head();
        if (!answered) {
            co_return answered;
        }
    }
    response_begun_ = true;
    if (!is_request_cut_) {
        // The request has arrived, so that its connection can be closed regularly: some servers
        // notice a reset only when they write, and work on until then.
        link_->reset_when_closed(false);
    }
    if (failure_) {
        co_return result<void>();  // Reported by the reads of the body.
    }
    if (decoder_.is_unbounded() && !relayed_) {
        co_return fail({error_code::malformed,
                        "response has neither Content-Length nor chunked encoding: its end "
                        "can't be distinguished from a lost connection"});
    }
    link_->clear_timeout();
    finish();
    co_return result<void>();
}

runtime::task<result<void>> exchange::write_and_read_head(std::string head, std::string_view body) {
    using boost::asio::experimental::awaitable_operators::operator||;
    auto first =
        co_await (link_->write(std::move(head), body, base::duration::zero()) || read_head());
    if (first.index() == 1) {
        reusable_ = false;  // The rest of the request is never sent.
        is_request_cut_ = true;
        co_return std::get<1>(first);
    }
    const boost::system::error_code failure = std::get<0>(first);
    link_->throw_if_cancelled(failure);
    if (failure) {
        reusable_ = false;  // An early response may have arrived before the connection was lost.
        is_request_cut_ = true;
    }
    if (failure_) {
        co_return *failure_;
    }
    is_written_ = !failure;
    co_return co_await read_head();
}

runtime::task<result<void>> exchange::read_head() {
    for (;;) {
        if (decoder_.headers_complete()) {
            if (answers_this_request()) {
                co_return result<void>();
            }
            if (!may_precede_own_response()) {
                co_return fail({error_code::malformed, "the response with status " +
                                                           std::to_string(decoder_.status()) +
                                                           " does not name the request"});
            }
        }
        const bool more_needed = !skip_other_response();
        if (more_needed) {
            const boost::system::error_code failure = co_await link_->read_more();
            if (failure) {
                co_return fail(to_error(failure));
            }
        }
        const auto decoded = decode();
        if (!decoded) {
            const result<void> failed = fail(decoded.error());
            // An error in the body is reported by the reads of the body, after the bytes before it.
            const bool head_is_whole = decoder_.headers_complete() && answers_this_request();
            co_return head_is_whole ? result<void>() : failed;
        }
    }
}

void exchange::enable_relay_mode(std::optional<header> echoed_header,
                                 std::function<void()> on_ended) {
    relayed_ = true;
    echoed_ = std::move(echoed_header);
    on_ended_ = std::move(on_ended);
}

bool exchange::answers_this_request() const {
    return !echoed_ || decoder_.headers().find(echoed_->name) == std::string_view(echoed_->value);
}

bool exchange::may_precede_own_response() const {
    if (decoder_.is_unbounded()) {
        return false;  // It has no end behind which another response could begin.
    }
    const bool names_other = !decoder_.headers().find(echoed_->name).value_or("").empty();
    const bool carried_others = reused_ || skipped_ > 0;
    return names_other || (carried_others && decoder_.keep_alive());
}

bool exchange::skip_other_response() {
    if (!decoder_.headers_complete()) {
        return false;
    }
    reusable_ = false;
    decoder_.take_body();
    if (!is_complete()) {
        return false;
    }
    decoder_.restart();
    ++skipped_;
    return !link_->received().empty();
}

answer_attribution exchange::attribution() const {
    return {reused_, skipped_};
}

runtime::task<result<void>> exchange::read_some(base::monotonic_time deadline) {
    if (failure_) {
        co_return *failure_;
    }
    link_->set_timeout(time_left(deadline));
    const boost::system::error_code failure = co_await link_->read_more();
    const bool ends_regularly = failure == boost::asio::error::eof && !link_->has_write_failed();
    if (ends_regularly) {
        notify_ended();
    }
    if (ends_regularly && relayed_ && decoder_.is_unbounded()) {
        decoder_.finish();
        finish();
        co_return result<void>();
    }
    if (failure) {
        co_return fail(to_error(failure));
    }
    link_->clear_timeout();
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
            return error{error_code::too_large, "response headers exceed the size limit"};
        case decode_state::body_too_large:
            return error{error_code::too_large, "response body exceeds the size limit"};
        case decode_state::malformed:
            break;
    }
    return error{error_code::malformed, "response is not valid HTTP/1.1"};
}

error exchange::to_error(const boost::system::error_code& failure) const {
    link_->throw_if_cancelled(failure);
    const std::string after_skipped =
        skipped_ == 0 ? "" : ", after " + std::to_string(skipped_) + " to other requests";
    if (link_->is_expired()) {
        return {error_code::timed_out, "no complete response before the deadline from " +
                                           address_.to_string() + after_skipped};
    }
    return {error_code::connection_lost, "connection to " + address_.to_string() +
                                             " lost: " + failure.message() + after_skipped};
}

result<void> exchange::fail(error reason) {
    failure_ = std::move(reason);
    link_->close();
    return *failure_;
}

std::optional<base::duration> exchange::announced_idle_timeout() const {
    constexpr std::string_view parameter = "timeout=";
    const header_list headers = decoder_.headers();
    const auto value = headers.find("Keep-Alive");
    const auto start = value ? value->find(parameter) : std::string_view::npos;
    if (start == std::string_view::npos) {
        return std::nullopt;
    }
    const std::string_view digits = value->substr(start + parameter.size());
    std::uint32_t seconds = 0;
    const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
    if (parsed.ec != std::errc{}) {
        return std::nullopt;
    }
    return std::chrono::seconds(seconds);
}

void exchange::finish() {
    if (!is_complete() || !link_) {
        return;
    }
    notify_ended();
    link_->reset_when_closed(false);
    if (decoder_.keep_alive() && reusable_) {
        pool_->put_back(address_, std::move(link_), announced_idle_timeout());
    } else {
        link_->close();
    }
    link_ = nullptr;
}

void exchange::notify_ended() {
    if (const auto on_ended = std::exchange(on_ended_, nullptr)) {
        on_ended();
    }
}

void exchange::give_up() {
    const auto close = [](std::shared_ptr<connection> link,
                          std::function<void()> on_ended) -> runtime::task<void> {
        link->reset_when_closed(true);
        const bool closed_by_peer = co_await link->close_gracefully(give_up_timeout);
        if (closed_by_peer && on_ended) {
            on_ended();
        }
    };
    pool_->scheduler().spawn("http.client", close(std::move(link_), std::move(on_ended_)));
}

runtime::task<result<response>> send_request(std::shared_ptr<connection_pool> pool,
                                             exchange_parameters parameters) {
    const base::monotonic_time deadline = pool->scheduler().now() + parameters.limit;
    const std::size_t body_bytes = pool->limits().body_bytes;
    auto started = co_await start_exchange(pool, std::move(parameters), body_bytes);
    if (!started) {
        co_return started.error();
    }
    exchange& current = **started;
    const auto read = co_await current.read_all(deadline);
    if (!read) {
        co_return read.error();
    }
    response answer = response_head_of(current);
    answer.body = current.decoder().take_body();
    co_return answer;
}

runtime::task<result<response>> fetch_answer(std::shared_ptr<connection_pool> pool,
                                             exchange_parameters parameters,
                                             fetch_options options) {
    const base::monotonic_time deadline = pool->scheduler().now() + options.longest;
    const std::size_t body_bytes = options.body_bytes.value_or(pool->limits().body_bytes);
    auto started = co_await start_exchange(pool, std::move(parameters), body_bytes);
    if (!started) {
        co_return started.error();
    }
    exchange& current = **started;
    response answer = response_head_of(current);
    answer.body = current.decoder().take_body();
    bool large_reported = false;
    for (;;) {
        if (!large_reported && options.on_large_body &&
            answer.body.size() >= options.large_body_bytes) {
            large_reported = true;
            options.on_large_body();
        }
        if (current.is_complete()) {
            co_return answer;
        }
        const base::monotonic_time next = current.deadline_after(options.pause);
        const auto read = co_await current.read_some(std::min(next, deadline));
        if (!read) {
            co_return read.error();
        }
        answer.body += current.decoder().take_body();
    }
}

runtime::task<result<std::unique_ptr<response_stream>>> open_stream(
    std::shared_ptr<connection_pool> pool, exchange_parameters parameters) {
    auto started = co_await start_exchange(pool, std::move(parameters), std::nullopt);
    if (!started) {
        co_return started.error();
    }
    const line_limits limits{pool->limits().line_bytes, pool->limits().body_bytes};
    std::unique_ptr<response_stream> stream =
        std::make_unique<line_stream>(std::move(*started), limits);
    co_return std::move(stream);
}

runtime::task<result<std::unique_ptr<byte_stream>>> open_relay(
    std::shared_ptr<connection_pool> pool, exchange_parameters parameters, relay_options options) {
    const base::monotonic_time deadline = pool->scheduler().now() + parameters.limit;
    const response_decoder::limits limits{answer_header_bytes, std::nullopt};
    auto attempt = std::make_unique<exchange>(pool, parameters.address, limits,
                                              parameters.message.method == "HEAD");
    attempt->enable_relay_mode(std::move(options.echoed_header), std::move(options.on_ended));
    const auto connected = co_await attempt->connect(options.fresh_connection, deadline);
    if (!connected) {
        co_return connected.error();
    }
    if (options.last_look && !options.last_look(parameters.message.headers)) {
        co_return error{error_code::withheld, "request not sent: its preconditions no longer hold"};
    }
    auto head = encode_request_head(parameters);
    if (!head) {
        co_return head.error();
    }
    std::string text = std::move(*head);
    const std::string_view body = parameters.message.body;
    const auto started = co_await attempt->start(std::move(text), body, deadline);
    if (!started) {
        co_return started.error();
    }
    std::unique_ptr<byte_stream> stream = std::make_unique<relayed_body>(std::move(attempt));
    co_return std::move(stream);
}

}  // namespace ferryroad::http
