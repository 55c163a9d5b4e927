#include "ferryroad/http/client.hpp"

#include "ferryroad/http/client_exchange.hpp"

namespace ferryroad::http {

struct client::state {
    std::shared_ptr<connection_pool> pool;
};

client::client(runtime::scheduler& scheduler, client_limits limits)
    : state_(std::make_shared<state>()) {
    state_->pool = std::make_shared<connection_pool>(scheduler, limits);
}

client::~client() = default;

bool client::has_idle_connection(const base::endpoint& address) const {
    return state_->pool->has_idle_connection(address);
}

runtime::task<connect_outcome> client::try_connect(base::endpoint address) {
    const std::shared_ptr<connection> link = state_->pool->make();
    link->set_timeout(state_->pool->limits().connect);
    const boost::system::error_code failure = co_await link->connect(address);
    link->throw_if_cancelled(failure);
    link->close();
    if (!failure) {
        co_return connect_outcome::connected;
    }
    const bool refused = failure == boost::asio::error::connection_refused;
    co_return refused ? connect_outcome::refused : connect_outcome::failed;
}

runtime::task<result<response>> client::send(const base::endpoint& address, request message,
                                             base::duration limit, resend again,
                                             connection_choice choice) {
    return send_request(state_->pool, {address, std::move(message), limit, again, choice});
}

runtime::task<result<response>> client::fetch(const base::endpoint& address, request message,
                                              fetch_options options, resend again) {
    exchange_parameters parameters{address, std::move(message), options.first, again};
    return fetch_answer(state_->pool, std::move(parameters), std::move(options));
}

runtime::task<result<std::unique_ptr<response_stream>>> client::open(const base::endpoint& address,
                                                                     request message,
                                                                     base::duration limit,
                                                                     resend again) {
    return open_stream(state_->pool, {address, std::move(message), limit, again});
}

runtime::task<result<std::unique_ptr<byte_stream>>> client::relay(const base::endpoint& address,
                                                                  request message,
                                                                  relay_options options) {
    exchange_parameters parameters{address, std::move(message), options.limit, resend::forbidden};
    return open_relay(state_->pool, std::move(parameters), std::move(options));
}

}  // namespace ferryroad::http
