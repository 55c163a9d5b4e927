/// @file
/// What the relay asks of an engine protocol. An adapter for each published protocol models
/// this concept; the relay itself names no header of any.
#pragma once

#include "ferryroad/coordination/rollout/weights_rollout.hpp"
#include "ferryroad/relay/types.hpp"
#include "ferryroad/runtime/task.hpp"

#include <concepts>
#include <optional>

namespace ferryroad::relay {

/// `open` sends a dispatch and returns once the answer's head is there, or says what its
/// failure proves; it asks `dispatch::look_again` before the first byte. `report` asks an engine
/// about itself. `order` sends a fenced order. All are called from the event loop's thread and end
/// by exception where cancelled.
template <typename T>
concept upstream = requires(T& port, const engine_target& target, dispatch sent,
                            weights_order order, base::duration limit) {
    {
        port.open(target, std::move(sent), limit)
        } -> std::same_as<runtime::task<runtime::result<opened_answer, dispatch_failure>>>;
    {
        port.report(target, std::string{}, limit)
        } -> std::same_as<runtime::task<std::optional<coordination::rollout::engine_report>>>;
    {
        port.order(target, std::move(order), limit)
        } -> std::same_as<runtime::task<coordination::rollout::order_answer>>;
};

}  // namespace ferryroad::relay
