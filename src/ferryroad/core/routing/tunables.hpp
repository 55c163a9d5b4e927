/// @file
/// Constants of the routing policies.
#pragma once

#include "ferryroad/base/time.hpp"

#include <cstddef>

namespace ferryroad::core::routing {

struct routing_tunables {
    /// Taken for an engine's prefill rate until it reports one, in tokens a second.
    double default_prefill_tokens_per_second = 8000;

    /// Rendezvous with bounded load skips an engine whose wait is above this multiple of the
    /// mean wait plus the slack.
    double bounded_load_factor = 1.25;
    base::duration bounded_load_slack = std::chrono::milliseconds(400);
    /// Engines of the rendezvous order that bounded load tries before the least loaded of them.
    std::size_t bounded_load_choices = 6;

    /// Rendezvous choices the cost policy weighs at each depth. A second one spreads a prefix
    /// over more engines than its heat needs.
    std::size_t rendezvous_choices = 1;
    /// Engines the cost policy weighs beyond holders and rendezvous choices.
    std::size_t random_choices = 2;
    /// A candidate outside the rendezvous order and without cached pieces costs this share of
    /// one piece's prefill more, so that routers without knowledge agree.
    double stray_penalty_pieces = 0.4;
    /// An imported piece takes cache from others: it is priced like avoidable prefill of this
    /// share of its own.
    double copy_price = 0.5;
};

inline constexpr routing_tunables default_routing_tunables{};

}  // namespace ferryroad::core::routing
