/// @file
/// HTTP around the platform's model (docs/reference/platform-protocol.md).
#pragma once

#include "emulator/platform/platform_model.hpp"
#include "ferryroad/http/server.hpp"
#include "ferryroad/runtime/scheduler.hpp"

#include <string>

namespace ferryroad::emulator {

/// Owned by the composition root, which keeps it until the loop has ended.
class platform_server {
  public:
    /// @param scheduler outlives this.
    platform_server(runtime::scheduler& scheduler, platform_options options);

    /// @return the address listened on. @throws boost::system::system_error where it can't.
    base::endpoint listen(const base::endpoint& address) { return server_.listen(address); }
    /// Planned stop. @return once the last connection is closed.
    runtime::task<void> drain() { return server_.drain(); }

    platform_model& model() { return model_; }

  private:
    runtime::task<void> handle(http::request message, http::response_writer& writer);
    /// Lets a call's time pass. @return the refusal, or nothing where it is admitted.
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
