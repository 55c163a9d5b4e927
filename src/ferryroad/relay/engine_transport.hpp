/// @file
/// Carries requests to engines: over this router's own network path or, while that is lost, through
/// another router that still reaches them.
#pragma once

#include "ferryroad/http/client.hpp"
#include "ferryroad/relay/forward_protocol.hpp"
#include "ferryroad/relay/forwarding_routers.hpp"
#include "ferryroad/relay/path_watch.hpp"
#include "ferryroad/relay/types.hpp"
#include "ferryroad/runtime/scheduler.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace ferryroad::relay {

using path_watcher = path_watch<http::client>;

/// An answer whose head has been received.
struct carried_answer {
    std::unique_ptr<http::byte_stream> body;
    std::optional<base::router_name> via;  ///< The router that passed the request on, if any.
};

/// Why a request brought no answer.
struct carry_failure {
    http::error error;
    std::optional<base::router_name> via;
    /// Whether it was this router that reached no engine, which says nothing about this engine.
    bool own_path = false;
};

struct engine_transport_settings {
    /// Most routers that are asked to pass one request on.
    std::size_t max_routers = 3;
    /// Time for a router to open a connection to an engine and to answer.
    base::duration probe_limit = std::chrono::milliseconds(500);
};

/// Counts for metrics, since the start of the process.
struct transport_counters {
    std::uint64_t forwarded = 0;         ///< Requests that another router passed on.
    std::uint64_t forward_failures = 0;  ///< Routers that were asked and did not pass a request on.

    friend bool operator==(const transport_counters&, const transport_counters&) = default;
};

/// Called with the head of each answer of an engine, and when its request was sent.
using answer_head_listener = std::function<void(const engine_target&, const http::header_list&,
                                                unsigned status, base::monotonic_time sent_at)>;

/// Used from the event loop's thread. Its collaborators must outlive it, and it must outlive the
/// bodies that it returns.
class engine_transport {
  public:
    using carry_result = runtime::result<carried_answer, carry_failure>;
    using stream_result = http::result<std::unique_ptr<http::byte_stream>>;

    /// @param direct client for connections to engines, @param routers client for connections to
    /// other routers.
    engine_transport(runtime::scheduler& scheduler, base::router_name self, http::client& direct,
                     http::client& routers, path_watcher& watch, forwarding_routers& others,
                     engine_transport_settings settings = {})
        : m_scheduler(scheduler),
          m_self(std::move(self)),
          m_direct(direct),
          m_routers(routers),
          m_watch(watch),
          m_others(others),
          m_settings(settings) {}

    /// Sends a request to an engine; see `http::client::relay`. A request that was not sent for
    /// want of a connection goes through another router, unless engines have been heard meanwhile:
    /// then it is the engine that cannot be reached.
    runtime::task<carry_result> relay(engine_target target, http::request message,
                                      http::relay_options options);
    /// Sends a request over this router's own path only.
    runtime::task<stream_result> relay_directly(engine_target target, http::request message,
                                                http::relay_options options);
    /// Opens a connection to an engine. If it is refused, asks other routers, as this one alone may
    /// have lost its path.
    /// @return whether the engine refuses connections: of this router, and of another one that has
    /// heard engines recently, if there is one.
    runtime::task<bool> is_refused(engine_target target);
    /// Opens a connection to an engine on behalf of another router.
    /// @return why it could not be opened, if so.
    runtime::task<std::optional<forward_failure>> probe_for_other(engine_target target);
    /// @return whether this router's own path to the engine is usable as far as is known: an idle
    /// connection may be, even if new ones fail.
    bool reaches(const engine_target& target) const;
    /// @return whether this router's own paths to all engines are lost.
    bool reaches_no_engine() const { return m_watch.paths().all_lost(); }
    const transport_counters& counters() const { return m_counters; }

    /// @param callback is also called for answers that this router passes on for others.
    void on_answer_head(answer_head_listener callback) { m_on_answer_head = std::move(callback); }

  private:
    static constexpr std::string_view component = "relay.request";

    /// Sends a request through other routers, one after the other as long as it has not been sent
    /// to the engine. @return nothing if no router could be asked.
    runtime::task<std::optional<carry_result>> relay_via_others(engine_target target,
                                                                http::request message,
                                                                http::relay_options options);
    /// Sends a request through one router. @return nothing if that router did not try.
    runtime::task<std::optional<carry_result>> relay_via(peer_address router, engine_target target,
                                                         http::request message,
                                                         http::relay_options options);
    /// Asks a router to open a connection to an engine.
    /// @return whether the engine refused it, or nothing if that router could not tell.
    runtime::task<std::optional<bool>> is_refused_at(peer_address router, engine_target target);
    void notify_answer(const engine_target& target, base::monotonic_time sent_at,
                       const http::byte_stream& answer) const;
    void log_forwarding(const peer_address& router, const engine_target& target,
                        const http::relay_options& options) const;
    void log_forward_failure(const peer_address& router, const http::relay_options& options,
                             const std::string& reason);

    runtime::scheduler& m_scheduler;
    base::router_name m_self;
    http::client& m_direct;
    http::client& m_routers;
    path_watcher& m_watch;
    forwarding_routers& m_others;
    engine_transport_settings m_settings;
    transport_counters m_counters;
    answer_head_listener m_on_answer_head;
};

}  // namespace ferryroad::relay
