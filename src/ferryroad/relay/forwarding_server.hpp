/// @file
/// Passes requests of other routers on to engines that those routers cannot reach.
#pragma once

#include "ferryroad/http/server.hpp"
#include "ferryroad/relay/engine_registry.hpp"
#include "ferryroad/relay/engine_transport.hpp"
#include "ferryroad/relay/forward_protocol.hpp"
#include "ferryroad/runtime/scheduler.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>

namespace ferryroad::relay {

struct forwarding_server_settings {
    /// Most requests of other routers in progress. Each takes two connections and its share of the
    /// processor; beyond this, the router's own callers would suffer.
    std::size_t max_in_progress = 256;
    /// Longest pause between two parts of an engine's answer. The router that asked has its own
    /// limits; this one ends exchanges whose router has vanished.
    base::duration max_pause = std::chrono::seconds(30);
};

/// Counts for metrics, since the start of the process.
struct forwarding_server_counters {
    std::uint64_t accepted = 0;  ///< Requests passed on to an engine.
    std::uint64_t refused = 0;   ///< Requests that were not sent to an engine.

    friend bool operator==(const forwarding_server_counters&,
                           const forwarding_server_counters&) = default;
};

/// Handler of the forwarding listener. Used from the event loop's thread; its collaborators must
/// outlive it, and it must outlive its requests.
class forwarding_server {
  public:
    forwarding_server(runtime::scheduler& scheduler, const engine_registry& registry,
                      engine_transport& transport, forwarding_server_settings settings = {})
        : m_scheduler(scheduler),
          m_registry(registry),
          m_transport(transport),
          m_settings(settings) {}

    /// Serves a request until its answer has been sent or the router that asked has disconnected.
    /// @param writer must outlive the returned coroutine.
    runtime::task<void> handle(http::request message, http::response_writer& writer);

    /// Refuses all new requests from now on, as this router is shutting down.
    void refuse_new() { m_stopping = true; }
    std::size_t in_progress() const { return m_in_progress; }
    const forwarding_server_counters& counters() const { return m_counters; }

  private:
    runtime::task<void> forward(http::request message, forward_parameters parameters,
                                http::response_writer& writer);
    runtime::task<void> pass_on(http::request message, forward_parameters parameters,
                                http::response_writer& writer);
    runtime::task<void> answer_probe(engine_target target, http::response_writer& writer);
    runtime::task<void> send_answer(http::byte_stream& answer, bool bodiless,
                                    http::response_writer& writer);
    /// @return the engine of a request, or nothing if it is not known or leaves.
    std::optional<engine_target> target_of(const forward_parameters& parameters) const;
    /// @return why a request must not be passed on, or nothing if it may be.
    std::optional<forward_failure> refusal_of(const forward_parameters& parameters) const;

    runtime::scheduler& m_scheduler;
    const engine_registry& m_registry;
    engine_transport& m_transport;
    forwarding_server_settings m_settings;
    forwarding_server_counters m_counters;
    std::size_t m_in_progress = 0;
    bool m_stopping = false;
};

}  // namespace ferryroad::relay
