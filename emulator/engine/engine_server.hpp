/// @file
/// The HTTP shell of an emulated engine: listens, answers the test bench, crashes, restarts
/// and stops.
#pragma once

#include "emulator/engine/engine_service.hpp"
#include "ferryroad/http/server.hpp"
#include "ferryroad/runtime/scheduler.hpp"

#include <memory>

namespace ferryroad::emulator {

/// One engine on one address, over all its incarnations. Used from the event loop's thread;
/// outlives every handler, so is kept until the loop has ended.
class engine_server {
  public:
    /// @param scheduler outlives this.
    engine_server(runtime::scheduler& scheduler, std::unique_ptr<engine_service> service);

    /// @return the address listened on, kept over crashes.
    base::endpoint listen(const base::endpoint& address);

    /// Planned stop: refuses new work, finishes what runs, closes.
    runtime::task<void> stop();

    /// Closes all connections and the address, forgets everything but the executions, and
    /// comes back under a new incarnation after `delay`.
    runtime::task<void> crash(base::duration delay);

    /// @return false while crashed.
    bool is_open() const { return server_ != nullptr; }
    engine_service& service() { return *service_; }

  private:
    void open();
    runtime::task<void> handle(http::request request, http::response_writer& writer);
    runtime::task<void> take_faults(std::string body, http::response_writer& writer);
    runtime::task<void> come_back();

    runtime::scheduler& scheduler_;
    std::unique_ptr<engine_service> service_;
    std::unique_ptr<http::server> server_;
    base::endpoint address_;
    bool stopping_ = false;
};

}  // namespace ferryroad::emulator
