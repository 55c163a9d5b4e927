/// @file
/// HTTP server for the platform model. docs/reference/platform-protocol.md describes the protocol.
#pragma once

#include "emulator/platform/platform_model.hpp"
#include "ferryroad/http/server.hpp"
#include "ferryroad/runtime/scheduler.hpp"

#include <string>

namespace ferryroad::emulator {

/// Serves the platform protocol on one address. Used only on the event loop's thread; its owner
/// must keep it until the loop has ended, since handlers refer to it.
class platform_server {
  public:
    /// @param scheduler must outlive this object.
    platform_server(runtime::scheduler& scheduler, platform_options options);

    /// @return the address listened on. @throws boost::system::system_error if it can't listen.
    base::endpoint listen(const base::endpoint& address) { return server_.listen(address); }
    /// Stops accepting requests. Returns once the last connection is closed.
    runtime::task<void> drain() { return server_.drain(); }

    platform_model& model() { return model_; }

  private:
    runtime::task<void> handle(http::request message, http::response_writer& writer);
    /// Waits for the call's simulated delay. @return the refusal, or `nullopt` if the call is
    /// admitted.
    runtime::task<std::optional<http::response>> admit(platform_service service);
    runtime::task<void> serve_table(http::request message, http::response_writer& writer);
    runtime::task<http::response> serve_weights(std::string path);
    http::response serve_object(const http::request& message, const std::string& name);
    http::response serve_machines();
    http::response serve_emulator(const http::request& message);
    http::response change_machine(const http::request& message, const std::string& name);

    runtime::scheduler& scheduler_;
    platform_model model_;
    http::server server_;
};

}  // namespace ferryroad::emulator
