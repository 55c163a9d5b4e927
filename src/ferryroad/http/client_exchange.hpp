/// @file
/// One request and its response on a pooled connection. Internal to this folder.
#pragma once

#include "ferryroad/http/codec.hpp"
#include "ferryroad/http/connection_pool.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

namespace ferryroad::http {

/// The parameters of one request.
struct exchange_parameters {
    base::endpoint address;
    request message;
    base::duration limit;
    resend again;
    connection_choice choice = connection_choice::pooled;
};

/// Implements `client::send`.
runtime::task<result<response>> send_request(std::shared_ptr<connection_pool> pool,
                                             exchange_parameters parameters);
/// Implements `client::fetch`.
runtime::task<result<response>> fetch_answer(std::shared_ptr<connection_pool> pool,
                                             exchange_parameters parameters, fetch_options options);
/// Implements `client::open`.
runtime::task<result<std::unique_ptr<response_stream>>> open_stream(
    std::shared_ptr<connection_pool> pool, exchange_parameters parameters);

/// Implements `client::relay`.
runtime::task<result<std::unique_ptr<byte_stream>>> open_relay(
    std::shared_ptr<connection_pool> pool, exchange_parameters parameters, relay_options options);

/// One attempt on one connection. The destructor closes the connection unless the response was read
/// completely. A relayed response that has begun is closed gracefully, as some servers notice a
/// reset only when they write; so is a relayed request that was written and whose end is waited
/// for.
class exchange {
  public:
    /// @param answers_head whether the request method is HEAD, whose response has no body.
    exchange(std::shared_ptr<connection_pool> pool, base::endpoint address,
             response_decoder::limits limits, bool answers_head);
    ~exchange();
    exchange(const exchange&) = delete;
    exchange& operator=(const exchange&) = delete;

    /// Selects the behaviour of `client::relay`. Call it before `start`.
    /// @param echoed_header see `relay_options`.
    /// @param on_ended see `relay_options`.
    void enable_relay_mode(std::optional<header> echoed_header, std::function<void()> on_ended);

    /// Takes an idle connection from the pool, or opens one within the pool's connect timeout and
    /// before `deadline`.
    /// @param fresh always open a new connection.
    runtime::task<result<void>> connect(bool fresh, base::monotonic_time deadline);
    /// @return whether the connection was taken from the pool.
    bool is_reused() const { return reused_; }
    /// @return why the response counts as this request's. Precondition: `start` has succeeded.
    answer_attribution attribution() const;
    /// Sends the request and reads until the response headers are complete.
    /// @param body must stay valid until the call has completed.
    runtime::task<result<void>> start(std::string head, std::string_view body,
                                      base::monotonic_time deadline);
    /// Reads the next part of the body. Precondition: not `is_complete`.
    runtime::task<result<void>> read_some(base::monotonic_time deadline);
    /// Reads the rest of the body.
    runtime::task<result<void>> read_all(base::monotonic_time deadline);
    /// @return the time `limit` from now.
    base::monotonic_time deadline_after(base::duration limit) const;

    bool is_complete() const { return decoder_.state() == decode_state::complete; }
    response_decoder& decoder() { return decoder_; }

  private:
    base::duration time_left(base::monotonic_time deadline) const;
    /// Writes the request and reads the response head at the same time, as the server may respond
    /// before it has read the whole request.
    runtime::task<result<void>> write_and_read_head(std::string head, std::string_view body);
    /// Reads until the head of the response to this request is complete.
    runtime::task<result<void>> read_head();
    /// @return whether the response head just read belongs to this request: it echoes the header in
    /// `echoed_`.
    bool answers_this_request() const;
    /// @return whether the response head just read, which does not name this request, may belong to
    /// an earlier request or to none, so that this request's own response may follow.
    bool may_precede_own_response() const;
    /// Discards the received part of a response that does not name this request.
    /// @return whether bytes that follow it are waiting to be decoded.
    bool skip_other_response();
    /// @return the server's idle timeout from the Keep-Alive header, if it sent one.
    std::optional<base::duration> announced_idle_timeout() const;
    /// Decodes the received bytes. @return the decoder's error, if any.
    result<void> decode();
    /// @return the error to report for a failed read or write.
    /// @throws boost::system::system_error if the calling coroutine was cancelled.
    error to_error(const boost::system::error_code& failure) const;
    /// Closes the connection and stores `reason` for later reads. @return `reason`.
    result<void> fail(error reason);
    /// Once the response is complete, returns the connection to the pool or closes it.
    void finish();
    /// Calls `on_ended` unless it was called before.
    void notify_ended();
    /// Closes the connection gracefully, as the response is not wanted any more.
    void give_up();

    std::shared_ptr<connection_pool> pool_;
    base::endpoint address_;
    std::shared_ptr<connection> link_;
    response_decoder decoder_;
    std::optional<error> failure_;
    std::optional<header> echoed_;
    bool relayed_ = false;
    /// Whether the connection may be reused, apart from what the response says about keep-alive.
    bool reusable_ = true;
    std::function<void()> on_ended_;  ///< Empty once it was called.
    bool is_request_cut_ = false;     ///< Part of the request was not written.
    bool is_written_ = false;         ///< All of a relayed request was written.
    bool response_begun_ = false;     ///< The response head has arrived.
    bool reused_ = false;
    std::uint32_t skipped_ = 0;  ///< Responses to other requests that were discarded.
};

}  // namespace ferryroad::http
