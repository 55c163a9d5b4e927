/// @file
/// `peer::transport` over the simulated network.
#pragma once

#include "bench/simulation/mailbox.hpp"
#include "bench/simulation/network/network.hpp"
#include "ferryroad/peer/transport.hpp"

#include <map>
#include <memory>

namespace ferryroad::bench::simulation {

class peer_transport;

/// Which router process listens at which address now, and the calls under way.
class peer_exchange {
  public:
    explicit peer_exchange(network& carrier) : carrier_(carrier) {}

    network& carrier() { return carrier_; }

  private:
    friend class peer_transport;

    /// The answer, or why there is none.
    using call_outcome = peer::result<peer::message_bytes>;

    /// A call from its sending until its answer has left.
    struct call_state {
        base::endpoint from;
        base::endpoint to;
        process_id caller;
        process_id callee;  ///< 0 before the request arrived.
        std::shared_ptr<mailbox<call_outcome>> answer;
    };

    void arrive_datagram(const base::endpoint& from, const base::endpoint& to,
                         const std::shared_ptr<const peer::message_bytes>& bytes);
    void arrive_call(const std::shared_ptr<call_state>& call, peer::message_bytes request);
    void answer(const std::shared_ptr<call_state>& call, call_outcome outcome);
    void stop_listening(const base::endpoint& address, const peer_transport* listener);

    network& carrier_;
    std::map<base::endpoint, peer_transport*> listeners_;
    std::map<std::uint64_t, std::weak_ptr<call_state>> calls_;
    std::uint64_t next_call_ = 1;
};

/// One router process's transport; listens from construction to destruction.
class peer_transport final : public peer::transport {
  public:
    /// @param scheduler of the process; `exchange` and `scheduler` outlive the transport.
    peer_transport(peer_exchange& exchange, virtual_scheduler& scheduler, base::endpoint own);
    peer_transport(const peer_transport&) = delete;
    peer_transport& operator=(const peer_transport&) = delete;
    ~peer_transport() override;

    void on_datagram(datagram_handler handler) override { datagram_handler_ = std::move(handler); }
    void on_call(call_handler handler) override { call_handler_ = std::move(handler); }
    void send(const base::endpoint& to, peer::message_bytes bytes) override;
    runtime::task<peer::result<peer::message_bytes>> call(const base::endpoint& to,
                                                          peer::message_bytes request,
                                                          base::duration limit) override;
    const peer::transport_counters& counters() const override { return counters_; }

  private:
    friend class peer_exchange;

    runtime::task<void> serve(std::shared_ptr<peer_exchange::call_state> call,
                              peer::message_bytes request);

    peer_exchange& exchange_;
    virtual_scheduler& scheduler_;
    base::endpoint own_;
    datagram_handler datagram_handler_;
    call_handler call_handler_;
    peer::transport_counters counters_;
};

}  // namespace ferryroad::bench::simulation
