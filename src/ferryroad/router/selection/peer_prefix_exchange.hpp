/// @file
/// The shared index over the transport between routers, both ways.
#pragma once

#include "ferryroad/peer/messages.hpp"
#include "ferryroad/peer/transport.hpp"
#include "ferryroad/router/selection/prefix_exchange.hpp"
#include "ferryroad/router/selection/shared_prefix_knowledge.hpp"

#include <optional>
#include <string_view>

namespace ferryroad::router::selection {

/// Asks and reports by calls of schema/wire.fbs. Used from the event loop's thread.
class peer_prefix_exchange final : public prefix_exchange {
  public:
    /// @param transport outlives the object. @param self names this process to others.
    peer_prefix_exchange(peer::transport& transport, router_contact self);

    runtime::task<runtime::result<core::prefix::owner_answer, exchange_error>> lookup(
        router_contact owner, core::prefix::cache_namespace scope, core::prefix::piece_chain pieces,
        base::duration limit) override;
    runtime::task<runtime::result<void, exchange_error>> report(
        router_contact owner, std::vector<core::prefix::prefix_report> reports,
        base::duration limit) override;

  private:
    /// @return the body of the answer.
    runtime::task<runtime::result<peer::call_body, exchange_error>> exchange(base::endpoint to,
                                                                             peer::call_body body,
                                                                             base::duration limit);

    peer::transport& transport_;
    router_contact self_;
};

/// Answers a call of another router where it concerns the shared index.
/// @return nothing where the call is about something else.
std::optional<peer::call_body> answer_prefix_call(shared_prefix_knowledge& knowledge,
                                                  const peer::call_body& body);

}  // namespace ferryroad::router::selection
