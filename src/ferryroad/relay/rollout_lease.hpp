/// @file
/// The lease that entitles a router to act on a rollout (to order engines to load weights), with
/// the note that holders write into the lease. A holder announces in it that it is about to act;
/// when it is done, it replaces this by the time of its last action. The next holder therefore has
/// to wait only where a predecessor may have acted recently.
///
/// The note covers the actions of all holders so far: a holder that has not acted passes on what
/// its predecessor left, whenever and however it ends.
#pragma once

#include "ferryroad/base/ids.hpp"
#include "ferryroad/base/time.hpp"
#include "ferryroad/leases/lease_service.hpp"
#include "ferryroad/relay/naming_record_sync.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>

namespace ferryroad::relay {

/// A router that may contend for the rollout's lease.
struct lease_contender {
    bool stopping = false;        ///< Shuts down.
    bool reads_owner = false;     ///< Reads the store's tables for other routers.
    bool holds = false;           ///< Holds the lease.
    bool reaches_engines = true;  ///< Its orders would arrive.
    base::duration uptime{};      ///< Time since its start.

    friend bool operator==(const lease_contender&, const lease_contender&) = default;
};

/// Only a few routers contend, so that the cost of polling the lease does not grow with the number
/// of routers: those that read the store on behalf of all, and the holder. Where the readers are
/// silent, other routers take their place as readers and contend.
/// @return whether the router contends for the lease. Thread-safe.
bool contends_for_rollout(const lease_contender& router);

/// Not thread-safe: to be used from the event loop's thread. Collaborators must outlive it.
class rollout_lease {
  public:
    /// @param handover_gap least time between the last action of a holder and the first of the
    /// next.
    rollout_lease(const runtime::scheduler& scheduler, leases::lease_service& leases,
                  const owner_clock& clock, leases::lease_name name, base::duration handover_gap);

    /// Tries to acquire and keep the lease while `wanted` returns true, and releases it when
    /// `wanted` returns false. To be called once.
    void contend(std::function<bool()> wanted);
    /// States whether this router wants to act; the note in the lease follows. To be called often.
    /// @param acting whether there is something to do.
    void set_intent(bool acting);
    /// Ends this router's actions for good. To be called on a planned stop; the time of the last
    /// action is written when the lease is released.
    void finish();
    /// To be called immediately before each action.
    /// @return the fencing token that the action must carry, or nothing where this router may not
    /// act now.
    std::optional<base::fencing_token> token();
    /// Records that an action is sent. It may reach its engine at any time until `end_action`,
    /// which must be called once for it.
    void begin_action() { ++m_actions_in_flight; }
    /// Records that an action was answered or timed out: if it ever reaches its engine, it has done
    /// so.
    void end_action();
    /// @return whether this router holds the lease, acting or not.
    bool held() const { return m_leases.token(m_name).has_value(); }

  private:
    /// Value of the note while a holder acts. Greater ones are the time of the last action, in
    /// milliseconds of the table owner's clock.
    static constexpr std::uint64_t note_acting = 1;
    /// A holder that still has to wait announces its actions only this long before it may act. If
    /// it ends before that, its successor does not have to wait for it.
    static constexpr base::duration announce_lead = std::chrono::milliseconds(300);
    /// Longest time from sending an action to its arrival at the engine: the timeout of the call
    /// (`rollout_settings::call_timeout`).
    static constexpr base::duration max_action_time = std::chrono::milliseconds(700);

    /// @return a time after which no action of this router arrives at an engine, unless it starts
    /// another one.
    base::monotonic_time latest_arrival_time() const;
    /// @return the note to store in the lease. Precondition: this router holds it.
    std::uint64_t current_note();
    std::uint64_t last_action_note() const;
    /// Resets the state where this router has got or lost the lease since the last call.
    void track_holder_change();
    void log_takeover() const;
    /// @return when this router, a new holder, may act for the first time.
    base::monotonic_time first_action_time(std::uint64_t predecessor_note) const;

    const runtime::scheduler& m_scheduler;
    leases::lease_service& m_leases;
    const owner_clock& m_clock;
    leases::lease_name m_name;
    base::duration m_handover_gap;
    std::optional<base::fencing_token> m_hold;  ///< Token of the hold that the members refer to.
    base::monotonic_time m_may_act_from{};
    bool m_wants_to_act = false;
    std::optional<base::monotonic_time> m_last_action;
    std::size_t m_actions_in_flight = 0;  ///< Sent, and neither answered nor timed out.
    bool m_finished = false;
};

}  // namespace ferryroad::relay
