#include "ferryroad/peer/peer_dispatcher.hpp"

#include "ferryroad/peer/codec.hpp"

namespace ferryroad::peer {

peer_dispatcher::peer_dispatcher(transport& calls, base::router_name self,
                                 base::incarnation incarnation)
    : transport_(calls), self_(std::move(self)), incarnation_(incarnation) {
    transport_.on_call([this](message_bytes request) { return serve(std::move(request)); });
}

peer_dispatcher::~peer_dispatcher() {
    transport_.on_call(nullptr);
}

runtime::task<result<call_body>> peer_dispatcher::exchange(base::endpoint to, call_body request,
                                                           base::duration limit) {
    message_bytes bytes = encode(peer::call{self_, incarnation_, std::move(request)});
    const result<message_bytes> answer = co_await transport_.call(to, std::move(bytes), limit);
    if (!answer) {
        co_return answer.error();
    }
    result<peer::call> message = decode_call(*answer);
    if (!message) {
        co_return message.error();
    }
    co_return std::move(message->body);
}

runtime::task<message_bytes> peer_dispatcher::serve(message_bytes request) {
    result<peer::call> message = decode_call(request);
    if (!message) {
        ++counters_.calls_malformed;
        co_return message_bytes();
    }
    const any_handler& handler = handlers_[message->body.index()];
    if (!handler) {
        ++counters_.calls_unhandled;
        co_return message_bytes();
    }
    ++counters_.calls_handled;
    const call_sender sender{message->sender, message->sender_incarnation};
    call_body answer = handler(sender, std::move(message->body));
    co_return encode(peer::call{self_, incarnation_, std::move(answer)});
}

}  // namespace ferryroad::peer
