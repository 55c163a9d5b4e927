#include "bench/simulation/network/peer_transport.hpp"

#include <utility>

namespace ferryroad::bench::simulation {

namespace {

peer::error failure(peer::error_code code, const char* message) {
    return {code, message};
}

}  // namespace

void peer_exchange::arrive_datagram(const base::endpoint& from, const base::endpoint& to,
                                    const std::shared_ptr<const peer::message_bytes>& bytes) {
    const auto found = listeners_.find(to);
    if (found == listeners_.end()) {
        return;
    }
    peer_transport* listener = found->second;
    carrier_.time().at(carrier_.time().now(), listener->scheduler_.process(),
                       [listener, from, bytes] {
                           listener->counters_.datagram_bytes_received += bytes->size();
                           if (listener->datagram_handler_) {
                               listener->datagram_handler_(from, *bytes);
                           }
                       });
}

void peer_exchange::arrive_call(const std::shared_ptr<call_state>& call,
                                peer::message_bytes request) {
    const auto found = listeners_.find(call->to);
    if (found == listeners_.end() || !found->second->call_handler_) {
        answer(call, failure(peer::error_code::unreachable, "nobody listens there"));
        return;
    }
    peer_transport* listener = found->second;
    call->callee = listener->scheduler_.process();
    carrier_.time().at(
        carrier_.time().now(), call->callee, [listener, call, request = std::move(request)] {
            listener->counters_.call_bytes_received += request.size();
            listener->scheduler_.spawn("simulation.peer_call", listener->serve(call, request));
        });
}

void peer_exchange::answer(const std::shared_ptr<call_state>& call, call_outcome outcome) {
    const auto back = channel::open(carrier_, call->to, call->from);
    back->send([this, call, outcome = std::move(outcome)] {
        carrier_.time().at(carrier_.time().now(), call->caller,
                           [call, outcome] { call->answer->push(outcome); });
    });
}

void peer_exchange::stop_listening(const base::endpoint& address, const peer_transport* listener) {
    const auto found = listeners_.find(address);
    if (found == listeners_.end() || found->second != listener) {
        return;
    }
    listeners_.erase(found);
    const process_id ended = listener->scheduler_.process();
    for (const auto& [number, held] : std::exchange(calls_, {})) {
        const std::shared_ptr<call_state> call = held.lock();
        if (!call) {
            continue;
        }
        calls_.emplace(number, held);
        if (call->callee == ended) {
            answer(call, failure(peer::error_code::connection_lost, "the peer's process ended"));
        }
    }
}

peer_transport::peer_transport(peer_exchange& exchange, virtual_scheduler& scheduler,
                               base::endpoint own)
    : exchange_(exchange), scheduler_(scheduler), own_(std::move(own)) {
    exchange_.listeners_[own_] = this;
}

peer_transport::~peer_transport() {
    exchange_.stop_listening(own_, this);
}

void peer_transport::send(const base::endpoint& to, peer::message_bytes bytes) {
    counters_.datagram_bytes_sent += bytes.size();
    scheduler_.time().record(bytes);
    const auto shared = std::make_shared<const peer::message_bytes>(std::move(bytes));
    peer_exchange* exchange = &exchange_;
    exchange_.carrier().send_datagram(own_, to, [exchange, from = own_, to, shared] {
        exchange->arrive_datagram(from, to, shared);
    });
}

runtime::task<peer::result<peer::message_bytes>> peer_transport::call(const base::endpoint& to,
                                                                      peer::message_bytes request,
                                                                      base::duration limit) {
    counters_.call_bytes_sent += request.size();
    scheduler_.time().record(request);
    const auto answer = std::make_shared<mailbox<peer_exchange::call_outcome>>(scheduler_);
    const auto state = std::make_shared<peer_exchange::call_state>(
        peer_exchange::call_state{own_, to, scheduler_.process(), process_id(0), answer});
    const std::uint64_t number = exchange_.next_call_++;
    exchange_.calls_.emplace(number, state);
    peer_exchange* exchange = &exchange_;
    const auto forth = channel::open(exchange_.carrier(), own_, to);
    forth->send(
        [exchange, state, request = std::move(request)] { exchange->arrive_call(state, request); });
    std::optional<peer_exchange::call_outcome> outcome = co_await answer->take(limit);
    forth->close();
    exchange_.calls_.erase(number);
    if (!outcome) {
        co_return failure(peer::error_code::timed_out, "no answer in time");
    }
    if (outcome->has_value()) {
        counters_.call_bytes_received += (*outcome)->size();
    }
    co_return std::move(*outcome);
}

runtime::task<void> peer_transport::serve(std::shared_ptr<peer_exchange::call_state> call,
                                          peer::message_bytes request) {
    peer::message_bytes bytes = co_await call_handler_(std::move(request));
    counters_.call_bytes_sent += bytes.size();
    scheduler_.time().record(bytes);
    if (bytes.empty()) {
        exchange_.answer(call, failure(peer::error_code::connection_lost, "closed unanswered"));
    } else {
        exchange_.answer(call, std::move(bytes));
    }
    call->callee = process_id(0);
}

}  // namespace ferryroad::bench::simulation
