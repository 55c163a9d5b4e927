/// @file
/// Finds out, with the other routers, which requests end the engines that run them, and says of
/// each request whether it may be sent. An exchange that broke says little by itself: only where
/// the engine takes no connection any more, or is known to have started anew, did it end.
#pragma once

#include "ferryroad/core/quarantine/crash_suspects.hpp"
#include "ferryroad/relay/types.hpp"
#include "ferryroad/runtime/scheduler.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace ferryroad::relay {

/// Asks whether a process at the address refuses connections; no answer is no refusal.
using refusal_probe = std::function<runtime::task<bool>(base::endpoint)>;

struct quarantine_settings {
    core::quarantine::suspects_tunables suspects;
    /// From the first exchange that breaks until the engine is asked: the others break within some
    /// milliseconds, and a process that ends may still take connections for a moment.
    base::duration gather = std::chrono::milliseconds(20);
    /// An engine that couldn't be asked may be seen to have started anew so much later.
    base::duration confirm_within = std::chrono::seconds(5);
    /// Named of one crash by one router; a report fits into a datagram.
    std::size_t named = 24;
};

struct quarantine_counters {
    std::uint64_t crashes_seen = 0;        ///< By this router.
    std::uint64_t crashes_told = 0;        ///< Told by others, and new here.
    std::uint64_t breaks_unconfirmed = 0;  ///< Of engines that live on, as far as is known.
    std::uint64_t quarantined = 0;         ///< Requests that came into quarantine.
    std::uint64_t released = 0;            ///< Freed by a good end.
};

struct broken_exchange {
    bool silent = true;            ///< As in `crash_candidate`.
    bool replaced = false;         ///< A new process is known under the engine's name.
    base::monotonic_time began{};  ///< When the exchange did.
};

/// A quarantined request that was taken back from the engine that it waited at.
struct withdrawn_request {
    core::quarantine::request_identity request;
    base::monotonic_time began{};  ///< Its exchange.
    /// An engine may run it until then all the same: it had begun, or goes on with what waits there
    /// after its connection was closed.
    base::monotonic_time until{};

    friend bool operator==(const withdrawn_request&, const withdrawn_request&) = default;
};

/// What this router found out, for the others.
struct quarantine_news {
    std::function<void(const core::quarantine::engine_crash&)> crash;
    std::function<void(const core::quarantine::request_identity&)> cleared;
};

/// Used from the event loop's thread; kept until the loop has ended. The scheduler outlives it.
class request_quarantine {
  public:
    request_quarantine(runtime::scheduler& scheduler, refusal_probe probe,
                       quarantine_settings settings = {});

    /// Called once, before any traffic.
    void on_news(quarantine_news told) { m_news = std::move(told); }
    /// Called once, before any traffic. @param told of each request at the moment when it comes
    /// into quarantine, whoever found it out.
    void on_quarantined(std::function<void(const core::quarantine::request_identity&)> told) {
        m_quarantined = std::move(told);
    }

    /// @return the request's quarantine, or null where it may be sent. The pointer holds until the
    /// next call.
    const core::quarantine::quarantined_request* find(
        const core::quarantine::request_identity& request);
    /// @return whether an engine is known to have ended with the request in progress.
    bool is_suspect(const core::quarantine::request_identity& request) const {
        return m_suspects.is_candidate(request);
    }
    /// An exchange broke, and the engine is not known to leave.
    void exchange_broke(const engine_target& engine,
                        const core::quarantine::request_identity& request,
                        const broken_exchange& how);
    /// If the engine ends all the same, the request is charged with it and not those beside it.
    void withdrawn(const base::engine_name& engine, const withdrawn_request& taken_back);
    /// An engine answered the request to the end, whatever the answer.
    void ended_well(const core::quarantine::request_identity& request);
    /// The engine of that name is a new process.
    void engine_restarted(const base::engine_name& engine);
    /// The list of engines has no engine of that name any more.
    void engine_gone(const base::engine_name& engine);

    /// Another router's findings. @param from names it in the log.
    /// @return those of the requests that ended well here of late.
    std::vector<core::quarantine::request_identity> learn(
        const core::quarantine::engine_crash& told, std::string_view from);
    void learn_cleared(const core::quarantine::request_identity& request, std::string_view from);

    const quarantine_counters& counters() const { return m_counters; }
    std::size_t quarantined() const { return m_suspects.quarantined(m_scheduler.now()); }

  private:
    static constexpr std::string_view component = "relay.quarantine";

    /// Exchanges with one engine that broke about the same time.
    struct broken_exchanges {
        engine_target engine;
        base::monotonic_time at{};
        std::vector<core::quarantine::crash_candidate> candidates;
        std::uint32_t unnamed = 0;
        bool replaced = false;
        base::monotonic_time began{};  ///< The newest of them.
    };

    runtime::task<void> confirm(base::engine_name name);
    void confirmed(const broken_exchanges& broken, std::string_view evidence);
    void wait_for_restart(broken_exchanges broken);
    void note_quarantined();
    void look_when_due();
    runtime::task<void> look_until_found();
    /// @return those withdrawn from the engine that may have run there, as candidates of its end.
    std::vector<withdrawn_request> take_withdrawn(const base::engine_name& engine,
                                                  base::monotonic_time ended_at);
    void note_released(const core::quarantine::request_identity& request, std::string_view from);

    runtime::scheduler& m_scheduler;
    refusal_probe m_probe;
    quarantine_settings m_settings;
    core::quarantine::crash_suspects m_suspects;
    std::map<base::engine_name, broken_exchanges> m_broken;       ///< The engine is being asked.
    std::map<base::engine_name, broken_exchanges> m_unconfirmed;  ///< It took a connection.
    std::map<base::engine_name, std::vector<withdrawn_request>> m_withdrawn;
    quarantine_news m_news;
    std::function<void(const core::quarantine::request_identity&)> m_quarantined;
    bool m_looking = false;  ///< `look_until_found` runs.
    quarantine_counters m_counters;
};

}  // namespace ferryroad::relay
