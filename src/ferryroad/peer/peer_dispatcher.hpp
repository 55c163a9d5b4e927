/// @file
/// Typed calls over a transport: dispatches incoming calls to the handler of their message type and
/// returns typed responses of outgoing calls.
#pragma once

#include "ferryroad/base/endpoint.hpp"
#include "ferryroad/base/ids.hpp"
#include "ferryroad/base/time.hpp"
#include "ferryroad/peer/messages.hpp"
#include "ferryroad/peer/transport.hpp"
#include "ferryroad/runtime/task.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <utility>
#include <variant>

namespace ferryroad::peer {

/// The router process that sent a call.
struct call_sender {
    base::router_name name;
    base::incarnation process;
};

/// Totals of incoming calls.
struct dispatcher_counters {
    std::uint64_t calls_handled = 0;
    std::uint64_t calls_malformed = 0;
    std::uint64_t calls_unhandled = 0;  ///< No handler for the type of the message.
};

/// Registers itself as the call handler of the transport. Must be used from the event loop's
/// thread.
class peer_dispatcher {
  public:
    /// @param calls transport that carries the calls; it must outlive the dispatcher, which must
    /// outlive every call.
    /// @param self name of this router, sent with every message.
    /// @param incarnation incarnation of this router process, sent with every message.
    peer_dispatcher(transport& calls, base::router_name self, base::incarnation incarnation);
    peer_dispatcher(const peer_dispatcher&) = delete;
    peer_dispatcher& operator=(const peer_dispatcher&) = delete;
    ~peer_dispatcher();

    /// Registers the handler of `Request` messages. A message without a handler closes its
    /// connection.
    /// @param handler called as `Answer(const call_sender&, Request)`.
    template <typename Request, typename Handler>
    void handle(Handler handler) {
        handlers_[call_body(Request{}).index()] = [handler = std::move(handler)](
                                                      const call_sender& sender, call_body body) {
            return call_body(handler(sender, std::move(std::get<Request>(body))));
        };
    }

    /// Sends a request and waits for its response.
    /// @param limit time allowed for the whole call.
    /// @return the response, or `malformed` if it is not an `Answer`.
    template <typename Answer>
    runtime::task<result<Answer>> call(base::endpoint to, call_body request, base::duration limit) {
        result<call_body> answer = co_await exchange(std::move(to), std::move(request), limit);
        if (!answer) {
            co_return answer.error();
        }
        Answer* typed = std::get_if<Answer>(&*answer);
        if (typed == nullptr) {
            co_return error{error_code::malformed, "response has an unexpected message type"};
        }
        co_return std::move(*typed);
    }

    const dispatcher_counters& counters() const { return counters_; }

  private:
    using any_handler = std::function<call_body(const call_sender&, call_body)>;

    runtime::task<result<call_body>> exchange(base::endpoint to, call_body request,
                                              base::duration limit);
    runtime::task<message_bytes> serve(message_bytes request);

    transport& transport_;
    base::router_name self_;
    base::incarnation incarnation_;
    std::array<any_handler, std::variant_size_v<call_body>> handlers_;
    dispatcher_counters counters_;
};

}  // namespace ferryroad::peer
