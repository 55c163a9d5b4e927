/// @file
/// Server side of one connection: reads requests and runs the handler for each. Internal to this
/// folder.
#pragma once

#include "ferryroad/http/codec.hpp"
#include "ferryroad/http/connection.hpp"
#include "ferryroad/http/server.hpp"

namespace ferryroad::http {

/// State shared by all sessions of one server.
struct server_shared {
    server_limits limits;
    server::handler handle;
    server::refusal_hook complete_refusal;  ///< May be empty.
    bool leaving = false;                   ///< Each response closes its connection.
    bool draining = false;                  ///< No connections are accepted, idle ones are closed.
    std::size_t active_requests = 0;
};

/// One connection from accept to close. Owned by the coroutine that runs it.
class session {
  public:
    session(std::shared_ptr<connection> link, std::shared_ptr<server_shared> shared);

    /// Runs until the connection is closed.
    runtime::task<void> run();
    /// Responds with 503 without reading a request, and closes the connection.
    runtime::task<void> refuse();
    /// Graceful shutdown: closes the connection unless a request is being read or handled or may
    /// still arrive.
    void drain();
    /// Closes the connection at once.
    void close() { link_->close(); }

  private:
    enum class phase {
        fresh,    ///< Before the first request.
        idle,     ///< Between requests.
        reading,  ///< Part of a request was received.
        handling  ///< The handler runs.
    };

    /// @return whether a complete request was read. If not, an error response was sent where the
    /// input was invalid.
    runtime::task<bool> read_request(request_decoder& decoder);
    /// @return whether bytes arrived before the timeout and before the peer closed.
    runtime::task<bool> wait_for_input();
    /// @return whether the connection may be used for another request.
    runtime::task<bool> handle_request(request_decoder& decoder);
    runtime::task<void> refuse_input(decode_state state);
    runtime::task<void> write_refusal(unsigned status, std::string_view code,
                                      std::string_view message);
    /// Discards input until the peer closes: closing with unread input would reset the connection
    /// and could destroy the response before the peer has read it.
    runtime::task<void> linger();

    std::shared_ptr<connection> link_;
    std::shared_ptr<server_shared> shared_;
    phase phase_ = phase::fresh;
};

}  // namespace ferryroad::http
