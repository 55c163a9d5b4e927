/// @file
/// Constants of the routing policies.
#pragma once

#include "ferryroad/base/time.hpp"

#include <cstddef>

namespace ferryroad::core::routing {

struct routing_tunables {
    /// Prefill rate assumed for an engine until it reports one, in tokens per second.
    double default_prefill_tokens_per_second = 8000;

    /// Bounded rendezvous skips an engine whose wait is above this multiple of the mean wait plus
    /// `bounded_load_slack`.
    double bounded_load_factor = 1.25;
    base::duration bounded_load_slack = std::chrono::milliseconds(400);
    /// Number of engines in rendezvous order that bounded rendezvous tries before it chooses the
    /// least loaded of them.
    std::size_t bounded_load_choices = 6;

    /// Rendezvous choices that the cost policy evaluates at each depth. With two, a prefix would be
    /// cached by more engines than its request rate requires.
    std::size_t rendezvous_choices = 1;
    /// Random engines that the cost policy evaluates beside holders and rendezvous choices.
    std::size_t random_choices = 2;
    /// Penalty of a candidate outside the rendezvous order and without cached pieces, as a multiple
    /// of one piece's prefill time. It makes routers without cache information choose alike.
    double off_order_penalty_pieces = 0.4;
    /// Price of an imported piece as a share of its prefill time, since it takes cache space from
    /// other pieces. It is weighted like avoidable prefill.
    double import_price = 0.5;
};

inline constexpr routing_tunables default_routing_tunables{};

}  // namespace ferryroad::core::routing
