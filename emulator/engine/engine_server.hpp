/// @file
/// The HTTP shell of an emulated engine: listens, answers the test bench, crashes, restarts
/// and stops.
#pragma once

#include "emulator/engine/engine_service.hpp"
#include "ferryroad/http/server.hpp"
#include "ferryroad/runtime/scheduler.hpp"

#include <memory>

namespace ferryroad::emulator {

/// Serves one engine on one address across its emulated crashes. Used on the event loop's thread.
/// Its owner must keep it until the loop has ended, since handlers refer to it.
class engine_server {
  public:
    /// @param scheduler must outlive this object.
    engine_server(runtime::scheduler& scheduler, std::unique_ptr<engine_service> service);

    /// @return the address listened on, which stays the same after crashes.
    base::endpoint listen(const base::endpoint& address);

    /// Shuts down gracefully: refuses new requests, finishes running ones and closes.
    runtime::task<void> stop();

    /// Emulates a crash: closes all connections and the listening socket, discards all state but
    /// the execution records, and restarts as a new incarnation after `delay`.
    runtime::task<void> crash(base::duration delay);

    /// @return false while crashed.
    bool is_open() const { return server_ != nullptr; }
    engine_service& service() { return *service_; }

  private:
    void open();
    runtime::task<void> handle(http::request request, http::response_writer& writer);
    runtime::task<void> handle_faults(std::string body, http::response_writer& writer);
    runtime::task<void> reopen();

    runtime::scheduler& scheduler_;
    std::unique_ptr<engine_service> service_;
    std::unique_ptr<http::server> server_;
    base::endpoint address_;
    bool stopping_ = false;
};

}  // namespace ferryroad::emulator
