/// @file
/// The interface between the relay and an engine protocol. Each supported protocol has an adapter
/// that models this concept; the relay itself depends on no protocol's header names.
#pragma once

#include "ferryroad/coordination/rollout/weights_rollout.hpp"
#include "ferryroad/relay/types.hpp"
#include "ferryroad/runtime/task.hpp"

#include <concepts>
#include <optional>

namespace ferryroad::relay {

/// - `open` calls `dispatch::check_before_send` once it has a connection, sends the dispatch, and
/// returns
///   when the answer's head has been received. A failure states what it proves about whether the
///   request ran.
/// - `report` queries an engine's state; it returns nothing if the engine does not answer.
/// - `order` sends an engine a fenced order to load new weights.
///
/// All are called from the event loop's thread, take at most the given limit, and throw if
/// cancelled.
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
