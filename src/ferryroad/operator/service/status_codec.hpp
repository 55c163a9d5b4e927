/// @file
/// Converts errors, status and routing decisions to the messages of schema/operator.proto.
#pragma once

#include "ferryroad/router/configuration/errors.hpp"
#include "ferryroad/router/engine_selector.hpp"
#include "ferryroad/router/status_source.hpp"

#include <grpcpp/support/status.h>

#include <operator/operator.pb.h>

namespace ferryroad::operators {

grpc::Status to_status(const router::configuration_error& failure);
void encode_status(const router::system_status& status, v1::StatusAnswer& into);
void encode_decision(const router::decision_record& decision, v1::ExplainAnswer& into);

}  // namespace ferryroad::operators
