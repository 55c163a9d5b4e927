/// @file
/// The rollout's right to act: its lease, and the word that its holders leave in it. A holder
/// that means to act says so first; one that has done acting says since when. So the next
/// holder waits only after one that may have acted just now.
#pragma once

#include "ferryroad/base/ids.hpp"
#include "ferryroad/base/time.hpp"
#include "ferryroad/leases/lease_service.hpp"
#include "ferryroad/relay/naming_journal.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace ferryroad::relay {

/// A router that may contend for the rollout's lease.
struct lease_contender {
    bool stopping = false;
    bool reads_owner = false;  ///< Reads the store's tables for other routers.
    bool holds = false;        ///< Has the lease.
    base::duration up_for{};   ///< Since its start.

    friend bool operator==(const lease_contender&, const lease_contender&) = default;
};

/// Few contend, so that asking whether the lease is free doesn't cost more with each router: those
/// that read the store for all, and whoever holds it. While readers aren't heard, others take their
/// place and contend.
/// @return whether the router does. Thread-safe.
bool contends_for_rollout(const lease_contender& router);

/// Used from the event loop's thread. Collaborators outlive it.
class rollout_lease {
  public:
    /// @param turn least time between the acts of two holders.
    rollout_lease(const runtime::scheduler& scheduler, leases::lease_service& leases,
                  const owner_clock& clock, leases::lease_name name, base::duration turn);

    /// Called often. @param acting whether there is something to do.
    void intend(bool acting);
    /// This router acts no more, and leaves word since when. To be called before the lease is
    /// released on a planned stop.
    void finish();
    /// To be asked right before each act. @return the token that it must carry, or nothing
    /// where this router may not act now.
    std::optional<base::fencing_token> token();
    /// An act goes out; it may reach its engine at any moment until `act_ended`, which must follow.
    void act_begins() { ++m_acts_out; }
    /// Its answer came, or none in time: it has reached its engine by now, if ever.
    void act_ended();
    /// @return whether this router holds the lease, acting or not.
    bool held() const { return m_leases.token(m_name).has_value(); }

  private:
    static constexpr std::uint64_t note_acting = 1;
    /// Before its turn a holder says that it acts only this much ahead: if it ends until then,
    /// the next one need not wait for it.
    static constexpr base::duration say_ahead = std::chrono::milliseconds(300);
    /// Within which an act that is out reaches its engine: the call's limit
    /// (`rollout_settings::call_limit`).
    static constexpr base::duration longest_act = std::chrono::milliseconds(700);

    /// @return a moment after which no act of this router reaches an engine, if it begins no more.
    base::monotonic_time last_arrival() const;
    void leave_word();
    void note_new_hold();
    base::monotonic_time end_of_turn(std::uint64_t predecessor_note) const;

    const runtime::scheduler& m_scheduler;
    leases::lease_service& m_leases;
    const owner_clock& m_clock;
    leases::lease_name m_name;
    base::duration m_turn;
    std::optional<base::fencing_token> m_last_token;
    base::monotonic_time m_act_from{};
    std::optional<base::monotonic_time> m_last_act;
    std::size_t m_acts_out = 0;  ///< Begun and not ended.
    bool m_finished = false;
};

}  // namespace ferryroad::relay
