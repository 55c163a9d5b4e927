/// @file
/// What the HTTP shell of an emulated engine needs of its kind: model or application.
#pragma once

#include "emulator/engine/faults.hpp"
#include "emulator/engine/model_types.hpp"
#include "ferryroad/http/server.hpp"

#include <vector>

namespace ferryroad::emulator {

/// Answers an engine's HTTP requests. Used from the event loop's thread; outlives the
/// connections it answers on.
class engine_service {
  public:
    virtual ~engine_service() = default;
    /// Answers everything but `/emulator/...`.
    virtual runtime::task<void> handle(http::request request, http::response_writer& writer) = 0;
    /// Changes the standing faults; `crash` is the shell's own work.
    virtual void apply(const fault_request& request) = 0;
    virtual void set_leaving(bool leaving) = 0;
    virtual void crash() = 0;
    virtual void restart(base::incarnation process) = 0;
    virtual bool idle() const = 0;
    virtual base::incarnation process() const = 0;
    virtual const std::vector<execution_record>& executions() const = 0;
};

/// @return the body of `GET /emulator/executions`.
std::string executions_json(base::incarnation process,
                            const std::vector<execution_record>& executions);

http::response json_response(unsigned status, std::string body);

/// @return the error as the protocol has it, with `Ferryroad-Execution`.
http::response error_response(const engine::error& failure);

/// @return a refusal of a request that the engine can't read.
http::response malformed_response(const http::error& fault);

}  // namespace ferryroad::emulator
