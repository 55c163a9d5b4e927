/// @file
/// What an engine says it ran: one row of `GET /emulator/executions`.
#pragma once

#include "ferryroad/base/ids.hpp"
#include "ferryroad/engine/types.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace ferryroad::bench::audit {

enum class execution_state { queued, running, complete, cancelled, failed };

struct execution {
    std::size_t engine = 0;  ///< Place of the engine in the endpoints file.
    base::incarnation process;
    base::request_id request;
    base::attempt_id attempt;
    std::optional<base::idempotency_key> key;
    base::tenant_name tenant;
    base::model_name model;
    base::weights_version version;
    engine::engine_kind kind{};
    execution_state state{};
    std::uint32_t tokens = 0;
    std::uint32_t first_token = 0;
    std::uint32_t cached_pieces = 0;
    std::uint32_t total_pieces = 0;
    std::string prompt_sha256;

    /// @return false only where the engine never began to work on it.
    bool ran() const {
        return state == execution_state::running || state == execution_state::complete ||
               state == execution_state::failed || tokens > 0;
    }
};

}  // namespace ferryroad::bench::audit
