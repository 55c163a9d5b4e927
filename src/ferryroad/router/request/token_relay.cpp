#include "ferryroad/router/request/token_relay.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace ferryroad::router {

token_relay::token_relay(const boost::asio::any_io_executor& executor, std::size_t capacity)
    : tokens_(executor, capacity) {}

runtime::task<bool> token_relay::accept(engine::stream_token token) {
    // The channel has room for a complete answer, so no token is dropped.
    tokens_.try_send(boost::system::error_code(), std::move(token));
    co_return true;
}

void token_relay::close() {
    tokens_.close();
}

runtime::task<void> token_relay::forward_to(token_sink& sink) {
    for (;;) {
        boost::system::error_code closed;
        auto completion = boost::asio::redirect_error(boost::asio::use_awaitable, closed);
        engine::stream_token token = co_await tokens_.async_receive(completion);
        if (closed) {
            co_return;
        }
        const bool accepted = co_await sink.accept(std::move(token));
        if (!accepted) {
            co_return;
        }
    }
}

}  // namespace ferryroad::router
