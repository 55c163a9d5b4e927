/// @file
/// One process's side of one lease stored in a transactional table.
///
/// Safety depends on no clock but each process's own. A holder counts the lease from the moment it
/// sent its write and stops a margin before the end. A contender waits for the full duration from
/// the moment it first saw the current version of the row. Both allow for the bound on clock drift.
/// Requests that the holder sends carry its fencing token, because the process may be paused
/// between checking the clock and sending.
#pragma once

#include "ferryroad/base/ids.hpp"
#include "ferryroad/base/random.hpp"
#include "ferryroad/base/time.hpp"
#include "ferryroad/coordination/lease/lease_record.hpp"
#include "ferryroad/coordination/lease/messages.hpp"

#include <chrono>
#include <cstdint>
#include <optional>

namespace ferryroad::coordination::lease {

/// Must be equal in all contending processes, except for the poll period.
struct lease_settings {
    /// Length of the lease, counted from the moment a write is sent.
    base::duration duration = std::chrono::seconds(10);
    /// Maximum relative difference between the rates of two clocks.
    double drift_bound = 0.01;
    /// The holder stops acting this long before the end, so that a short operation finishes within
    /// the lease.
    base::duration margin = std::chrono::milliseconds(500);
    /// Time from a write to the next renewal. A third of the duration leaves time for two more
    /// attempts.
    base::duration renew_after = std::chrono::milliseconds(3300);
    /// Time between reads of a contender while another process holds the lease.
    base::duration poll_period = std::chrono::seconds(5);
    /// Delay before a retry; doubles up to the poll period.
    base::duration first_delay = std::chrono::milliseconds(200);
};

/// Acquires, renews and releases one lease. Not thread-safe.
class lease_holder {
  public:
    /// @param random must outlive this object.
    lease_holder(lease_identity self, lease_settings settings, base::random_source& random);

    /// Starts contending for the lease, or gives it up.
    void want(bool wanted) { wanted_ = wanted; }
    bool wanted() const { return wanted_; }

    /// @return the next action. While a read or write is in flight, this is only to wait for its
    /// answer.
    action next(base::monotonic_time now);
    /// Handles the answer to the last read or write.
    void handle(const event& happened, base::monotonic_time now);

    /// Must be called right before each operation that requires the lease.
    /// @return the fencing token that the operation must carry, or nothing if this process may not
    /// act.
    std::optional<base::fencing_token> token(base::monotonic_time now) const;

    /// @return the fencing token of this process's hold, even if it is no longer wanted or has just
    /// expired; nothing if there is no hold.
    std::optional<base::fencing_token> hold_token() const;

    /// Sets the note that the row carries to the next holder. It belongs to the current hold and
    /// has no effect without one; until it is set, the row keeps the note of the previous holder.
    /// It is written with the next renewal, which becomes due at once if the row has a different
    /// note, or with the release.
    void set_note(std::uint64_t note);
    /// @return the note stored in the row while this process holds the lease; nothing if it doesn't
    /// hold the lease, if another note is to replace it, or if a write is not yet known to have
    /// taken effect.
    std::optional<std::uint64_t> stored_note(base::monotonic_time now) const;
    /// @return the note that the previous holder left in the row; 0 if there was none.
    std::uint64_t predecessor_note() const { return predecessor_note_; }
    /// @return a moment by which the previous holder had certainly stopped acting. It may be long
    /// before this process acquired the lease if the table was unreachable.
    base::monotonic_time predecessor_end() const { return predecessor_end_; }

    /// @return the last known holder, for display to operators; nothing if the lease is free or its
    /// holder is not known.
    std::optional<lease_identity> seen_holder() const;
    /// @return whether the row exists but is not a valid lease record; then no process can acquire
    /// the lease.
    bool malformed() const { return row_ && !row_->record && row_->version.value != 0; }

  private:
    /// The row as last seen.
    struct seen_row {
        row_version version;
        std::optional<lease_record> record;  ///< Empty if the row is absent or malformed.
        base::monotonic_time first_seen;     ///< When this version was first read.
    };
    struct hold {
        base::fencing_token token;
        base::monotonic_time valid_until;
        base::monotonic_time renew_at;
        std::uint64_t note = 0;  ///< For the next holder.
    };
    /// A write whose effect is not yet known.
    struct pending_write {
        lease_record record;
        base::monotonic_time sent_at;
        base::monotonic_time predecessor_end{};  ///< End of the hold in the row that it replaces.
    };

    action start_read();
    action start_write(lease_record record, base::monotonic_time now);
    action contend(base::monotonic_time now);
    action acquire(base::monotonic_time now);
    action renew_if_due(base::monotonic_time now);
    action release(base::monotonic_time now);

    void on(const row_read& read, base::monotonic_time now);
    void on(const write_committed& committed, base::monotonic_time now);
    void on(const write_conflicted& conflicted, base::monotonic_time now);
    void on(const write_lost& lost, base::monotonic_time now);
    void on(const refused& refusal, base::monotonic_time now);

    void observe_row(const stored_row& row, base::monotonic_time now);
    void on_write_effective(row_version version, base::monotonic_time now);
    void schedule_retry(base::duration delay, base::monotonic_time now);
    bool is_own(const lease_record& record) const { return record.holder == self_; }
    base::monotonic_time free_at() const;
    base::monotonic_time end_of_seen_hold() const;

    lease_identity self_;
    lease_settings settings_;
    base::random_source& random_;
    bool wanted_ = false;
    bool in_flight_ = false;
    bool must_read_ = true;
    std::optional<seen_row> row_;
    std::optional<hold> hold_;
    std::optional<pending_write> pending_;
    std::uint64_t predecessor_note_ = 0;
    base::monotonic_time predecessor_end_{};
    base::duration delay_;
    base::monotonic_time not_before_{};
    base::monotonic_time next_poll_{};
};

}  // namespace ferryroad::coordination::lease
