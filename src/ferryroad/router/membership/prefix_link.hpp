/// @file
/// Connects the shared prefix index with the other routers that own parts of it.
#pragma once

#include "ferryroad/peer/peer_dispatcher.hpp"
#include "ferryroad/router/selection/prefix_exchange.hpp"
#include "ferryroad/router/selection/shared_prefix_knowledge.hpp"

#include <vector>

namespace ferryroad::router::membership {

/// Not thread-safe: used from the event loop's thread only. The dispatcher must outlive it.
class prefix_link final : public selection::prefix_exchange {
  public:
    explicit prefix_link(peer::peer_dispatcher& dispatcher) : dispatcher_(dispatcher) {}

    /// Answers the other routers' lookups and reports from `knowledge`, which must outlive every
    /// call.
    void serve(selection::shared_prefix_knowledge& knowledge);

    runtime::task<runtime::result<core::prefix::owner_answer, selection::exchange_error>> lookup(
        selection::router_contact owner, core::prefix::cache_namespace scope,
        core::prefix::piece_chain pieces, base::duration limit) override;
    runtime::task<runtime::result<void, selection::exchange_error>> report(
        selection::router_contact owner, std::vector<core::prefix::prefix_report> reports,
        base::duration limit) override;

  private:
    peer::peer_dispatcher& dispatcher_;
};

}  // namespace ferryroad::router::membership
