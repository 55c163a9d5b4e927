/// @file
/// Server side of one connection: reads requests and runs the handler for each. Internal to this
/// folder.
#pragma once

#include "ferryroad/http/codec.hpp"
#include "ferryroad/http/connection.hpp"
#include "ferryroad/http/server.hpp"
#include "ferryroad/runtime/memory_budget.hpp"

#include <optional>

namespace ferryroad::http {

/// State shared by all sessions of one server.
struct server_shared {
    explicit server_shared(const base::clock& clock_in) : clock(clock_in) {}

    const base::clock& clock;
    /// For messages being received, handled or sent. Null: unlimited.
    std::shared_ptr<runtime::memory_budget> memory;
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

    /// How readily a connection is closed to make room for another; the first ones first.
    enum class eviction_class {
        silent,   ///< Nothing has been received for a while since it was opened.
        idle,     ///< Between requests.
        stalled,  ///< A request has been arriving for a while.
        none      ///< It isn't closed.
    };
    eviction_class eviction_class_at(base::monotonic_time now) const;
    /// @return whether the client has sent something that was not read yet.
    bool has_input() const { return link_->has_input(); }
    /// @return since when the connection has been in its phase.
    base::monotonic_time in_phase_since() const { return in_phase_since_; }

  private:
    enum class phase {
        fresh,    ///< Before the first request.
        idle,     ///< Between requests.
        reading,  ///< Part of a request was received.
        handling  ///< The handler runs.
    };

    void enter(phase next);
    /// Starts to decode the next request.
    void begin_request();
    /// @return whether a complete request was read. If not, an error response was sent where the
    /// input was invalid or took more memory than there is.
    runtime::task<bool> read_request();
    /// Decodes what was received. @return whether there is memory for it.
    bool decode_received();
    /// Frees the memory of the request being received, which is then refused. Called by the memory
    /// budget.
    void evict_request();
    /// @return whether bytes arrived before the timeout and before the peer closed.
    runtime::task<bool> wait_for_input();
    /// @return whether the connection may be used for another request.
    runtime::task<bool> handle_request();
    /// Frees the memory of the request being received.
    void free_request();
    runtime::task<void> refuse_input(decode_state state);
    /// Refuses the request being received for lack of memory.
    runtime::task<void> refuse_for_memory();
    runtime::task<void> write_refusal(unsigned status, std::string_view code,
                                      std::string_view message);
    /// Discards input until the peer closes: closing with unread input would reset the connection
    /// and could destroy the response before the peer has read it.

    std::shared_ptr<connection> link_;
    std::shared_ptr<server_shared> shared_;
    phase phase_ = phase::fresh;
    base::monotonic_time in_phase_since_;
    std::optional<request_decoder> decoder_;         ///< Of the request being received.
    std::optional<runtime::memory_account> memory_;  ///< Of the current request.
    std::size_t received_bytes_ = 0;                 ///< Memory of the request being received.
    bool evicted_ = false;
};

}  // namespace ferryroad::http
