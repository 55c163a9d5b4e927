/// @file
/// The server's side of one connection: reads a request, runs the handler, answers, repeats.
/// Internal to this folder.
#pragma once

#include "ferryroad/http/codec.hpp"
#include "ferryroad/http/connection.hpp"
#include "ferryroad/http/server.hpp"

namespace ferryroad::http {

/// What every session of one server shares.
struct server_shared {
    server_limits limits;
    server::handler handle;
    server::refusal_completion complete_refusal;  ///< May be empty.
    bool leaving = false;                         ///< Every answer ends its connection.
    bool draining = false;  ///< No connection is accepted, idle ones are closed.
    std::size_t active_requests = 0;
};

/// One connection from accept to close. Held by the coroutine that runs it.
class session {
  public:
    session(std::shared_ptr<connection> link, std::shared_ptr<server_shared> shared);

    /// Runs until the connection is closed.
    runtime::task<void> run();
    /// Answers 503 to whatever comes, and closes.
    runtime::task<void> refuse();
    /// Planned stop: closes the connection if no request is on it or on its way.
    void drain();
    void close() { link_->close(); }

  private:
    enum class phase {
        fresh,    ///< No request yet.
        idle,     ///< Between requests.
        reading,  ///< In the middle of a request.
        handling
    };

    /// @return whether a request was read whole; where not, it has been answered.
    runtime::task<bool> read_request(request_decoder& decoder);
    runtime::task<bool> wait_for_input();
    runtime::task<bool> handle_request(request_decoder& decoder);
    runtime::task<void> refuse_input(decode_state state);
    runtime::task<void> write_refusal(unsigned status, std::string_view code,
                                      std::string_view message);
    /// Closes once the other side has closed, so that unread input doesn't reset the answer.
    runtime::task<void> linger();

    std::shared_ptr<connection> link_;
    std::shared_ptr<server_shared> shared_;
    phase phase_ = phase::fresh;
};

}  // namespace ferryroad::http
