/// @file
/// Turns the engine layer's errors and the execution machine's refusals into each other's
/// neighbours' terms.
#pragma once

#include "ferryroad/core/execution/actions.hpp"
#include "ferryroad/core/execution/events.hpp"
#include "ferryroad/engine/errors.hpp"
#include "ferryroad/router/engine_selector.hpp"
#include "ferryroad/router/request_types.hpp"

namespace ferryroad::router {

core::execution::exchange_failed to_event(core::execution::exchange_number exchange,
                                          const engine::error& failure);

core::execution::selection_failed to_event(const selection_error& failure);

/// @return the caller's answer, with a message that names no engine.
refusal to_refusal(const core::execution::refuse& given_up);

}  // namespace ferryroad::router
