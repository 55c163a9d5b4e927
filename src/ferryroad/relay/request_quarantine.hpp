/// @file
/// Detects, together with the other routers, requests that crash the engines that run them, and
/// decides whether a request may be sent. A broken exchange alone does not prove a crash: an engine
/// is taken to have crashed only if it refuses connections or is known to have restarted.
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

/// Checks whether the address refuses connections; a timeout does not count as a refusal.
using refusal_probe = std::function<runtime::task<bool>(engine_target)>;

/// Settings of `request_quarantine`.
struct quarantine_settings {
    core::quarantine::suspects_tunables suspects;
    /// From the first broken exchange until the engine is probed. An engine's other exchanges break
    /// within a few milliseconds, and a terminating process may still accept connections briefly.
    base::duration gather_time = std::chrono::milliseconds(20);
    /// How long after a broken exchange a restart of the engine still confirms a crash that the
    /// probe did not.
    base::duration confirm_within = std::chrono::seconds(5);
    /// Requests that one router reports for one crash; a report must fit into a datagram.
    std::size_t max_candidates = 24;
    /// Distinct prompt parts of these requests that it reports.
    std::size_t max_parts = 24;
    /// A request with a part whose quarantine is over is tried for this long before another one is.
    base::duration part_trial_interval = std::chrono::seconds(5);
};

/// Counters since the start of the process.
struct quarantine_counters {
    std::uint64_t crashes_seen = 0;  ///< Crashes confirmed by this router.
    std::uint64_t crashes_told = 0;  ///< Crashes first learnt from other routers.
    /// Crashes suspected but not confirmed, as the engine did not refuse connections.
    std::uint64_t breaks_unconfirmed = 0;
    std::uint64_t quarantined = 0;        ///< Requests quarantined.
    std::uint64_t released = 0;           ///< Suspects cleared by a completed exchange.
    std::uint64_t quarantined_parts = 0;  ///< Prompt parts quarantined.
    std::uint64_t part_trials = 0;        ///< Requests sent with a part whose quarantine was over.
};

/// How an exchange broke.
struct broken_exchange {
    bool silent = true;            ///< As in `crash_candidate`.
    bool replaced = false;         ///< A new process has registered under the engine's name.
    base::monotonic_time began{};  ///< When the exchange began.
    std::vector<core::quarantine::part_identity> parts{};  ///< Of the request's prompt.
};

/// A quarantined request that was withdrawn from the engine where it waited.
struct withdrawn_request {
    core::quarantine::request_identity request;
    base::monotonic_time began{};  ///< When its exchange began.
    /// Until when the engine may run it nevertheless: it may have begun already, or the engine may
    /// keep queued requests whose connection was closed.
    base::monotonic_time until{};
    std::vector<core::quarantine::part_identity> parts{};  ///< Of its prompt.

    friend bool operator==(const withdrawn_request&, const withdrawn_request&) = default;
};

/// Callbacks that report this router's findings to the other routers.
struct quarantine_callbacks {
    /// An engine crashed.
    std::function<void(const core::quarantine::engine_crash&)> crash;
    /// Suspects completed an exchange.
    std::function<void(const core::quarantine::cleared_suspects&)> cleared;
};

/// Used from the event loop's thread. It must live until the event loop has stopped, and the
/// scheduler must outlive it.
class request_quarantine {
  public:
    request_quarantine(runtime::scheduler& scheduler, refusal_probe probe,
                       quarantine_settings settings = {});

    /// Sets the callbacks for this router's findings. Call once, before any traffic.
    void set_callbacks(quarantine_callbacks callbacks) { m_callbacks = std::move(callbacks); }
    /// Call once, before any traffic. @param callback called for each request when it is
    /// quarantined, whichever routers detected the crashes.
    void on_quarantined(std::function<void(const core::quarantine::request_identity&)> callback) {
        m_on_quarantined = std::move(callback);
    }

    /// Call once, before any traffic. @param callback called for each prompt part when it is
    /// quarantined.
    void on_part_quarantined(std::function<void()> callback) {
        m_on_part_quarantined = std::move(callback);
    }
    /// Call once, before any traffic. @param tries_part says whether this router is the one that
    /// tries a part after its quarantine. By default each router does.
    void set_trial_check(std::function<bool(const core::quarantine::part_identity&)> tries_part) {
        m_tries_part = std::move(tries_part);
    }

    /// @return the quarantine of the first of the parts that has one, or null if none has. It may
    /// be over; see `begin_part_trial`. The pointer is valid until the next call.
    const core::quarantine::quarantined_part* find_part(
        const std::vector<core::quarantine::part_identity>& parts);
    /// Asks whether a request may find out if a part still crashes engines. One at a time may, at
    /// one router, once the quarantine is over.
    bool begin_part_trial(const core::quarantine::quarantined_part& quarantined);
    /// @return the request's quarantine, or null if it may be sent. The pointer is valid until the
    /// next call.
    const core::quarantine::quarantined_request* find(
        const core::quarantine::request_identity& request);
    /// @return whether an engine is known to have crashed with the request in progress.
    bool is_suspect(const core::quarantine::request_identity& request) const {
        return m_suspects.is_candidate(request);
    }
    /// @return whether several engines are known to have crashed with one of the parts in progress.
    bool is_suspect(const std::vector<core::quarantine::part_identity>& parts) const;
    /// Reports a broken exchange with an engine that is not known to be shutting down.
    void exchange_broke(const engine_target& engine,
                        const core::quarantine::request_identity& request,
                        const broken_exchange& how);
    /// Reports a request withdrawn from an engine. If the engine crashes nevertheless, the
    /// withdrawn request becomes a candidate for having caused it.
    void withdrawn(const base::engine_name& engine, const withdrawn_request& withdrawal);
    /// Reports that an engine completed its answer to the request, whatever the status.
    /// @param parts of its prompt.
    void exchange_completed(const core::quarantine::request_identity& request,
                            const std::vector<core::quarantine::part_identity>& parts = {});
    /// Reports that the engine of that name is a new process.
    void engine_restarted(const base::engine_name& engine);
    /// Reports that no engine of that name is registered any more.
    void engine_gone(const base::engine_name& engine);

    /// Takes in a crash reported by another router. @param from name of the router, for the log.
    /// @return what of the crash's candidates recently completed an exchange here.
    core::quarantine::cleared_suspects learn(const core::quarantine::engine_crash& reported,
                                             std::string_view from);
    /// Takes in another router's report of what completed an exchange.
    void learn_cleared(const core::quarantine::cleared_suspects& cleared, std::string_view from);

    /// @return the counters since the start of the process.
    const quarantine_counters& counters() const { return m_counters; }
    /// @return the number of requests quarantined now.
    std::size_t quarantined() const { return m_suspects.quarantined(m_scheduler.now()); }
    /// @return the number of prompt parts quarantined now.
    std::size_t quarantined_parts() const { return m_suspects.quarantined_parts(); }

  private:
    static constexpr std::string_view component = "relay.quarantine";

    /// Exchanges with one engine that broke at about the same time.
    struct broken_exchanges {
        engine_target engine;
        base::monotonic_time at{};
        std::vector<core::quarantine::crash_candidate> candidates;
        std::uint32_t unnamed = 0;  ///< Silent requests beyond `max_candidates`.
        bool replaced = false;
        base::monotonic_time began{};  ///< Start of the newest of the exchanges.
    };

    /// Probes the engine and records a crash if the probe or a restart confirms it.
    runtime::task<void> confirm(base::engine_name name);
    void record_confirmed_crash(const broken_exchanges& broken, std::string_view evidence);
    void wait_for_restart(broken_exchanges broken);
    /// Logs requests that have been quarantined since the last call and invokes `m_on_quarantined`.
    void report_quarantined();
    void schedule_evaluation();
    runtime::task<void> evaluate_suspects();
    /// Removes the requests that were withdrawn from the engine before it crashed.
    /// @return those that may have been running there when it crashed.
    std::vector<withdrawn_request> take_withdrawn(const base::engine_name& engine,
                                                  base::monotonic_time crashed_at);
    /// Removes what recently completed an exchange here from a crash. @return what was removed.
    core::quarantine::cleared_suspects remove_completed(
        core::quarantine::engine_crash& crash) const;
    /// @return what of it was suspected.
    core::quarantine::cleared_suspects record_success(
        const core::quarantine::cleared_suspects& completed);
    void report_cleared(const core::quarantine::cleared_suspects& cleared, std::string_view from);

    runtime::scheduler& m_scheduler;
    refusal_probe m_probe;
    quarantine_settings m_settings;
    core::quarantine::crash_suspects m_suspects;
    std::map<base::engine_name, broken_exchanges> m_broken;  ///< By engine, while it is probed.
    std::map<base::engine_name, broken_exchanges> m_unconfirmed;  ///< The probe was not refused.
    std::map<base::engine_name, std::vector<withdrawn_request>> m_withdrawn;
    quarantine_callbacks m_callbacks;
    std::function<void(const core::quarantine::request_identity&)> m_on_quarantined;
    std::function<void()> m_on_part_quarantined;
    std::function<bool(const core::quarantine::part_identity&)> m_tries_part;
    std::map<core::quarantine::part_identity, base::monotonic_time> m_part_trials;  ///< Their ends.
    bool m_evaluating = false;  ///< `evaluate_suspects` is running.
    quarantine_counters m_counters;
};

}  // namespace ferryroad::relay
