/// @file
/// Persists the times at which weight versions were named, so that a router that starts later knows
/// since when older weights are outdated. The router that leads the rollout writes the record to
/// the table periodically; every router reads it once when it starts.
#pragma once

#include "ferryroad/coordination/rollout/naming_record.hpp"
#include "ferryroad/platform/services.hpp"
#include "ferryroad/relay/policy_source.hpp"
#include "ferryroad/runtime/scheduler.hpp"

#include <functional>
#include <optional>

namespace ferryroad::relay {

/// Converts between the steady clock of the table's service (the owner) and that of this process.
/// Keeps a lower and an upper bound of the clocks' difference, as the moment within a round trip at
/// which the owner read its clock is not known.
class owner_clock {
  public:
    /// Narrows the bounds by one round trip.
    /// @param asked_at when the request was sent.
    /// @param answered_at when the answer arrived.
    /// @param owner_time the owner's clock, read between the two.
    void observe(base::monotonic_time asked_at, base::monotonic_time answered_at,
                 std::chrono::milliseconds owner_time);
    /// @return whether `observe` has been called. Precondition of the conversions below.
    bool known() const { return m_known; }
    /// @return the earliest time on the owner's clock that `local` can correspond to.
    coordination::rollout::store_clock_milliseconds to_owner_earliest(
        base::monotonic_time local) const;
    /// @return the earliest time on this process's clock that `owner` can correspond to.
    base::monotonic_time to_local_earliest(
        coordination::rollout::store_clock_milliseconds owner) const;
    /// @return the latest time on the owner's clock that `local` can correspond to.
    coordination::rollout::store_clock_milliseconds to_owner_latest(
        base::monotonic_time local) const;
    /// @return the latest time on this process's clock that `owner` can correspond to.
    base::monotonic_time to_local_latest(
        coordination::rollout::store_clock_milliseconds owner) const;

  private:
    bool m_known = false;
    base::duration m_min_offset{};  ///< Lower bound of the owner's time minus local time.
    base::duration m_max_offset{};  ///< Upper bound of it.
};

struct naming_record_sync_settings {
    /// Time between two writes. Bounds how much too early a router that starts during an outage of
    /// the policy's owner dates a naming.
    base::duration period = std::chrono::milliseconds(1000);
    /// Time between attempts to read the record.
    base::duration retry = std::chrono::milliseconds(200);
};

/// Must be used on the event loop's thread and must exist until the loop has ended. The objects
/// passed to the constructor must outlive it.
class naming_record_sync {
  public:
    /// @param leads whether this router leads the rollout and may write the record.
    naming_record_sync(runtime::scheduler& scheduler, platform::table& table,
                       policy_source& policies, std::function<bool()> leads,
                       naming_record_sync_settings settings = {});

    /// Starts reading and writing. Must be called at most once.
    void start();
    /// Ends reading and writing after the operation in progress.
    void stop() { m_stopped = true; }
    owner_clock& clock() { return m_clock; }

  private:
    runtime::task<void> run();
    /// @return whether reading is done: the record was read or there is none.
    runtime::task<bool> read_record();
    runtime::task<void> write_record();
    /// Adds what a row of the record says to the policies.
    void take_record(const platform::row& row);
    coordination::rollout::naming_record current_record() const;

    runtime::scheduler& m_scheduler;
    platform::table& m_table;
    policy_source& m_policies;
    std::function<bool()> m_leads;
    naming_record_sync_settings m_settings;
    owner_clock m_clock;
    platform::row_version m_row_version;  ///< Of the record as last read or written.
    bool m_stopped = false;
};

}  // namespace ferryroad::relay
