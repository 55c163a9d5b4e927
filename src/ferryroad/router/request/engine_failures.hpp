/// @file
/// Converts errors of the engine layer to events of the execution state machine, and the state
/// machine's refusals to the caller's.
#pragma once

#include "ferryroad/core/execution/actions.hpp"
#include "ferryroad/core/execution/events.hpp"
#include "ferryroad/engine/errors.hpp"
#include "ferryroad/router/engine_selector.hpp"
#include "ferryroad/router/request_types.hpp"

namespace ferryroad::router {

/// @return the event for an exchange that failed with an engine error.
core::execution::exchange_failed to_event(core::execution::exchange_number exchange,
                                          const engine::error& failure);

/// @return the event for a failed engine selection.
core::execution::selection_failed to_event(const selection_error& failure);

/// @return the refusal for the caller. Its message doesn't name any engine.
refusal to_refusal(const core::execution::refuse& refuse_action);

}  // namespace ferryroad::router
