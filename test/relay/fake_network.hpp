/// @file
/// Test double: a network that delivers datagrams between the routers of a test, synchronously or
/// after a delay.
#pragma once

#include "ferryroad/peer/transport.hpp"
#include "ferryroad/runtime/scheduler.hpp"

#include <cstddef>
#include <map>
#include <utility>

namespace ferryroad::relay::test {

/// Handlers by address; datagrams to an address without a handler are lost.
struct fake_network {
    std::map<base::endpoint, peer::transport::datagram_handler> handlers;
    std::size_t sent = 0;
    base::duration delay{};  ///< Needs `scheduler`.
    runtime::scheduler* scheduler = nullptr;

    void deliver(const base::endpoint& from, const base::endpoint& to,
                 const peer::message_bytes& bytes) {
        if (bytes.size() <= peer::max_datagram_bytes && handlers.contains(to)) {
            handlers[to](from, bytes);
        }
    }
    runtime::task<void> deliver_later(base::endpoint from, base::endpoint to,
                                      peer::message_bytes bytes) {
        co_await scheduler->sleep_for(delay);
        deliver(from, to, bytes);
    }
};

class fake_transport final : public peer::transport {
  public:
    fake_transport(fake_network& network, base::endpoint self)
        : m_network(network), m_self(std::move(self)) {}
    void on_datagram(datagram_handler handler) override {
        m_network.handlers[m_self] = std::move(handler);
    }
    void on_call(call_handler) override {}
    void send(const base::endpoint& to, peer::message_bytes bytes) override {
        ++m_network.sent;
        if (m_network.delay > base::duration{}) {
            m_network.scheduler->spawn("network",
                                       m_network.deliver_later(m_self, to, std::move(bytes)));
        } else {
            m_network.deliver(m_self, to, bytes);
        }
    }
    runtime::task<peer::result<peer::message_bytes>> call(const base::endpoint&,
                                                          peer::message_bytes,
                                                          base::duration) override {
        co_return peer::message_bytes();
    }
    const peer::transport_counters& counters() const override { return m_counters; }

  private:
    fake_network& m_network;
    base::endpoint m_self;
    peer::transport_counters m_counters;
};

}  // namespace ferryroad::relay::test
