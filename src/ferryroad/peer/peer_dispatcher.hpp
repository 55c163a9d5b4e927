/// @file
/// Typed calls over a transport: incoming ones go to the handler of their message, outgoing
/// ones return the answer's type.
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

/// The router process on the other end of a call.
struct call_sender {
    base::router_name name;
    base::incarnation process;
};

struct dispatcher_counters {
    std::uint64_t calls_handled = 0;
    std::uint64_t calls_malformed = 0;
    std::uint64_t calls_unhandled = 0;  ///< No handler for that message.
};

/// Takes the transport's call handler. Used from the event loop's thread.
class peer_dispatcher {
  public:
    /// @param calls outlives the dispatcher, which outlives every call.
    peer_dispatcher(transport& calls, base::router_name self, base::incarnation process);
    peer_dispatcher(const peer_dispatcher&) = delete;
    peer_dispatcher& operator=(const peer_dispatcher&) = delete;
    ~peer_dispatcher();

    /// Answers `Request` messages from now on. A message without handler closes its connection.
    /// @param handler called as `Answer(const call_sender&, Request)`.
    template <typename Request, typename Handler>
    void handle(Handler handler) {
        handlers_[call_body(Request{}).index()] = [handler = std::move(handler)](
                                                      const call_sender& sender, call_body body) {
            return call_body(handler(sender, std::move(std::get<Request>(body))));
        };
    }

    /// One request and its own answer.
    /// @return `malformed` where the answer is no `Answer`.
    template <typename Answer>
    runtime::task<result<Answer>> call(base::endpoint to, call_body request, base::duration limit) {
        result<call_body> answer = co_await exchange(std::move(to), std::move(request), limit);
        if (!answer) {
            co_return answer.error();
        }
        Answer* wanted = std::get_if<Answer>(&*answer);
        if (wanted == nullptr) {
            co_return error{error_code::malformed, "an answer of another kind"};
        }
        co_return std::move(*wanted);
    }

    const dispatcher_counters& counters() const { return counters_; }

  private:
    using any_handler = std::function<call_body(const call_sender&, call_body)>;

    runtime::task<result<call_body>> exchange(base::endpoint to, call_body request,
                                              base::duration limit);
    runtime::task<message_bytes> serve(message_bytes request);

    transport& transport_;
    base::router_name self_;
    base::incarnation process_;
    std::array<any_handler, std::variant_size_v<call_body>> handlers_;
    dispatcher_counters counters_;
};

}  // namespace ferryroad::peer
