/// @file
/// The operators' gRPC service, which runs its calls on the event loop.
#pragma once

#include "ferryroad/router/configuration/control.hpp"
#include "ferryroad/router/configuration_view.hpp"
#include "ferryroad/router/engine_selector.hpp"
#include "ferryroad/router/status_source.hpp"
#include "ferryroad/runtime/scheduler.hpp"

#include <grpcpp/grpcpp.h>

#include <operator/operator.grpc.pb.h>

namespace ferryroad::operators {

/// The router components that operators' calls use. All must outlive the service.
struct operator_ports {
    router::configuration_view& view;
    router::configuration_control& control;
    router::status_source& status;
    router::engine_selector& selector;
    runtime::scheduler& scheduler;
};

/// Called on gRPC's threads. Each call is posted to the event loop, which must run until the server
/// has shut down.
class operator_service final : public v1::Operator::CallbackService {
  public:
    explicit operator_service(operator_ports ports) : ports_(ports) {}

    grpc::ServerUnaryReactor* Plan(grpc::CallbackServerContext* context,
                                   const v1::PlanRequest* request, v1::PlanAnswer* answer) override;
    grpc::ServerUnaryReactor* Apply(grpc::CallbackServerContext* context,
                                    const v1::ApplyRequest* request,
                                    v1::ApplyAnswer* answer) override;
    grpc::ServerUnaryReactor* Get(grpc::CallbackServerContext* context,
                                  const v1::GetRequest* request, v1::GetAnswer* answer) override;
    grpc::ServerWriteReactor<v1::WatchEvent>* Watch(grpc::CallbackServerContext* context,
                                                    const v1::WatchRequest* request) override;
    grpc::ServerUnaryReactor* Status(grpc::CallbackServerContext* context,
                                     const v1::StatusRequest* request,
                                     v1::StatusAnswer* answer) override;
    grpc::ServerUnaryReactor* Drain(grpc::CallbackServerContext* context,
                                    const v1::DrainRequest* request,
                                    v1::DrainAnswer* answer) override;
    grpc::ServerUnaryReactor* Confirm(grpc::CallbackServerContext* context,
                                      const v1::ConfirmRequest* request,
                                      v1::ConfirmAnswer* answer) override;
    grpc::ServerUnaryReactor* Explain(grpc::CallbackServerContext* context,
                                      const v1::ExplainRequest* request,
                                      v1::ExplainAnswer* answer) override;

  private:
    operator_ports ports_;
};

}  // namespace ferryroad::operators
