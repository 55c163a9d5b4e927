/// @file
/// What the HTTP shell of an emulated engine needs of its kind: model or application.
#pragma once

#include "emulator/engine/faults.hpp"
#include "emulator/engine/model_types.hpp"
#include "ferryroad/http/server.hpp"

#include <vector>

namespace ferryroad::emulator {

/// Answers an engine's HTTP requests. Used on the event loop's thread; must outlive the
/// connections that it answers on.
class engine_service {
  public:
    virtual ~engine_service() = default;
    /// Answers all paths except those below `/emulator/`.
    virtual runtime::task<void> handle(http::request request, http::response_writer& writer) = 0;
    /// Changes the faults in force. Ignores `fault_request::crash`, which `engine_server` handles.
    virtual void apply(const fault_request& request) = 0;
    /// While leaving, the service refuses new work.
    virtual void set_leaving(bool leaving) = 0;
    /// Discards all state but the execution records.
    virtual void crash() = 0;
    /// @param process a higher incarnation than all earlier ones.
    virtual void restart(base::incarnation process) = 0;
    /// @return whether no work is queued or running.
    virtual bool idle() const = 0;
    virtual base::incarnation process() const = 0;
    /// @return the executions of all incarnations, oldest first.
    virtual const std::vector<execution_record>& executions() const = 0;
};

/// @return the body of `GET /emulator/executions`.
std::string executions_json(base::incarnation process,
                            const std::vector<execution_record>& executions);

http::response json_response(unsigned status, std::string body);

/// @return the error in the engine protocol's form, with the header `Ferryroad-Execution`.
http::response error_response(const engine::error& failure);

/// As above, with the attempt that the error concerns.
http::response error_response(const engine::error& failure, const base::attempt_id& attempt);

/// @return the refusal of a request that the engine can't parse.
http::response malformed_response(const http::error& fault);

}  // namespace ferryroad::emulator
