/// @file
/// Tokens on their way from a request that runs to its end in any case to a caller who may
/// leave before.
#pragma once

#include "ferryroad/router/request_types.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/experimental/channel.hpp>

#include <cstddef>

namespace ferryroad::router {

/// Keeps tokens until the caller's coroutine passes them on. Shared by both coroutines.
class token_relay final : public token_sink {
  public:
    /// @param most tokens of the answer.
    token_relay(const boost::asio::any_io_executor& executor, std::size_t most);

    runtime::task<bool> accept(engine::stream_token token) override;
    /// No more tokens come.
    void close();

    /// Passes tokens on until the relay is closed or the sink's caller is gone.
    runtime::task<void> pass_on(token_sink& sink);

  private:
    boost::asio::experimental::channel<void(boost::system::error_code, engine::stream_token)>
        tokens_;
};

}  // namespace ferryroad::router
