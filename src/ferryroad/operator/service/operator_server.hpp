/// @file
/// Listens for operators' calls.
#pragma once

#include "ferryroad/base/endpoint.hpp"
#include "ferryroad/operator/service/errors.hpp"
#include "ferryroad/operator/service/operator_service.hpp"

#include <memory>
#include <thread>

namespace ferryroad::operators {

/// gRPC server on threads of gRPC's own. Used from the event loop's thread.
class operator_server {
  public:
    explicit operator_server(operator_ports ports);
    /// `stop` must have been awaited, or never have been needed.
    ~operator_server();
    operator_server(const operator_server&) = delete;
    operator_server& operator=(const operator_server&) = delete;

    /// @param listen port 0 takes a free one. @return the address in use.
    runtime::result<base::endpoint, error> start(base::endpoint listen);

    /// Takes no new call, lets calls at work end within `grace`, cancels the rest (watches
    /// always). The event loop goes on meanwhile.
    runtime::task<void> stop(base::duration grace);

  private:
    operator_ports ports_;
    operator_service service_;
    std::unique_ptr<grpc::Server> server_;
    std::thread shutdown_;
};

}  // namespace ferryroad::operators
