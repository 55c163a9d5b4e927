/// @file
/// gRPC server for operators' calls.
#pragma once

#include "ferryroad/base/endpoint.hpp"
#include "ferryroad/operator/service/errors.hpp"
#include "ferryroad/operator/service/operator_service.hpp"

#include <memory>
#include <thread>

namespace ferryroad::operators {

/// Runs the operators' gRPC service on gRPC's threads. Call its functions on the event loop's
/// thread.
class operator_server {
  public:
    explicit operator_server(operator_ports ports);
    /// Precondition: `stop` has completed, or `start` has not been called or has failed.
    ~operator_server();
    operator_server(const operator_server&) = delete;
    operator_server& operator=(const operator_server&) = delete;

    /// @param listen port 0 selects a free port.
    /// @return the address that the server listens on, or `listen_failed`.
    runtime::result<base::endpoint, error> start(base::endpoint listen);

    /// Accepts no new calls, gives calls in progress up to `grace` to end, and cancels the rest
    /// (watches don't end by themselves and are always cancelled). The event loop must keep
    /// running until it completes.
    runtime::task<void> stop(base::duration grace);

  private:
    operator_ports ports_;
    operator_service service_;
    std::unique_ptr<grpc::Server> server_;
    std::thread shutdown_;
};

}  // namespace ferryroad::operators
