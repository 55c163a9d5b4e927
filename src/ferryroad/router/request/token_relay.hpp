/// @file
/// Buffers tokens between a claimed request, which runs to its end, and a caller that may leave
/// earlier.
#pragma once

#include "ferryroad/router/request_types.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/experimental/channel.hpp>

#include <cstddef>

namespace ferryroad::router {

/// Buffer for the tokens of one answer, shared by the request's and the caller's coroutines.
class token_relay final : public token_sink {
  public:
    /// @param capacity in tokens; at least the length of the answer.
    token_relay(const boost::asio::any_io_executor& executor, std::size_t capacity);

    runtime::task<bool> accept(engine::stream_token token) override;
    /// Marks the end of the answer; no more tokens follow.
    void close();

    /// Passes tokens to `sink` until the relay is closed or the sink rejects a token because its
    /// caller is gone.
    runtime::task<void> forward_to(token_sink& sink);

  private:
    boost::asio::experimental::channel<void(boost::system::error_code, engine::stream_token)>
        tokens_;
};

}  // namespace ferryroad::router
