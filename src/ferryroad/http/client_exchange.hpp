/// @file
/// One request and its answer on a connection of the pool. Internal to this folder.
#pragma once

#include "ferryroad/http/codec.hpp"
#include "ferryroad/http/connection_pool.hpp"

namespace ferryroad::http {

/// What the caller asked for.
struct exchange_order {
    base::endpoint address;
    request message;
    base::duration limit;
    resend again;
};

runtime::task<result<response>> send_request(std::shared_ptr<connection_pool> pool,
                                             exchange_order order);
runtime::task<result<response>> fetch_answer(std::shared_ptr<connection_pool> pool,
                                             exchange_order order, fetch_options options);
runtime::task<result<std::unique_ptr<response_stream>>> open_stream(
    std::shared_ptr<connection_pool> pool, exchange_order order);

runtime::task<result<std::unique_ptr<byte_stream>>> open_relay(
    std::shared_ptr<connection_pool> pool, exchange_order order, relay_options options);

/// One try on one connection. Closes the connection unless the answer was read whole.
class exchange {
  public:
    exchange(std::shared_ptr<connection_pool> pool, base::endpoint address,
             response_decoder::limits limits, bool answers_head);
    ~exchange();
    exchange(const exchange&) = delete;
    exchange& operator=(const exchange&) = delete;

    /// Before `start`: what makes this exchange one of `client::relay`.
    void relay_with(std::optional<header> echoed);

    /// Takes an idle connection, or connects within the pool's limit and by `deadline`.
    runtime::task<result<void>> connect(bool fresh, base::monotonic_time deadline);
    bool is_reused() const { return reused_; }
    /// Sends the request and reads on until the headers have come.
    runtime::task<result<void>> start(const std::string& head, const std::string& body,
                                      base::monotonic_time deadline);
    /// Reads some more of the body. Only while not `is_complete`.
    runtime::task<result<void>> read_some(base::monotonic_time deadline);
    /// Reads all of the body.
    runtime::task<result<void>> read_all(base::monotonic_time deadline);
    /// @return the deadline of something that may take `limit` from now on.
    base::monotonic_time deadline_after(base::duration limit) const;

    bool is_complete() const { return decoder_.state() == decode_state::complete; }
    response_decoder& decoder() { return decoder_; }

  private:
    base::duration time_left(base::monotonic_time deadline) const;
    /// Writes the request while the answer's head is awaited, for it may come early.
    runtime::task<result<void>> write_and_read_head(std::string head, std::string body);
    /// Reads until the head of the answer to this request has come.
    runtime::task<result<void>> read_head();
    /// @return whether the head just read answers another request.
    bool is_foreign() const;
    /// Consumes the answer to another request as far as it has come.
    /// @return whether bytes that follow it wait to be decoded.
    bool skip_foreign();
    /// @return how long the other side keeps the connection idle, where it says so.
    std::optional<base::duration> idle_hint() const;
    /// Feeds what was received. @return the decoder's fault, if any.
    result<void> decode();
    /// @throws boost::system::system_error where the caller was cancelled.
    error fault(const boost::system::error_code& failure) const;
    result<void> fail(error reason);
    /// Gives the connection back once the answer is complete.
    void finish();

    std::shared_ptr<connection_pool> pool_;
    base::endpoint address_;
    std::shared_ptr<connection> link_;
    response_decoder decoder_;
    std::optional<error> failure_;
    std::optional<header> echoed_;
    bool relayed_ = false;
    bool reusable_ = true;  ///< As far as is known beside what the answer says.
    bool reused_ = false;
};

}  // namespace ferryroad::http
