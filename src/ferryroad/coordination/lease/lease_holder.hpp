/// @file
/// One process's side of one lease on a transactional table.
///
/// Safety rests on no clock but each process's own: a holder counts from when it sent its
/// write and stops a margin early; a contender waits for the whole duration from when it first
/// saw the row as it is. Both stretch by the bound on the clocks' drift. What a holder sends
/// out carries its fencing token, for a pause can fall between its look at the clock and
/// the act.
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

/// Equal in all processes that contend, but for the poll period.
struct lease_settings {
    /// From a write's sending to the lease's end.
    base::duration duration = std::chrono::seconds(10);
    /// Two clocks may differ in rate by this share at the most.
    double drift_bound = 0.01;
    /// The holder stops this long before the end, so that a short act ends within the lease.
    base::duration margin = std::chrono::milliseconds(500);
    /// A third of the duration leaves time for two more tries.
    base::duration renew_after = std::chrono::milliseconds(3300);
    /// Between a contender's reads while another holds it.
    base::duration poll_period = std::chrono::seconds(5);
    /// After a refusal; doubles up to the poll period.
    base::duration first_delay = std::chrono::milliseconds(200);
};

/// Not thread-safe.
class lease_holder {
  public:
    /// @param random outlives the holder.
    lease_holder(lease_identity self, lease_settings settings, base::random_source& random);

    /// Contends from now on, or gives the lease up.
    void want(bool wanted) { wanted_ = wanted; }
    bool wanted() const { return wanted_; }

    /// @return what to do. While a read or write is under way: nothing but to wait for it.
    action next(base::monotonic_time now);
    /// The answer to the last read or write.
    void handle(const event& happened, base::monotonic_time now);

    /// To be asked right before each act. @return the token that the act must carry, or
    /// nothing where this process may not act.
    std::optional<base::fencing_token> token(base::monotonic_time now) const;

    /// What the row is to say to the next holder; written with the next renewal, which is due at
    /// once where the row says something else.
    void set_note(std::uint64_t note) { note_ = note; }
    /// @return the note that the row surely holds while this process holds the lease; nothing
    /// where it doesn't hold it, or a write is not yet known to have taken effect.
    std::optional<std::uint64_t> stored_note(base::monotonic_time now) const;
    /// @return what the holder before this one had left in the row; 0 where there was none.
    std::uint64_t predecessor_note() const { return predecessor_note_; }
    /// @return a moment by which the holder before this one had surely stopped to act; it may
    /// lie long before this process took the lease, where the table couldn't be reached.
    base::monotonic_time predecessor_end() const { return predecessor_end_; }

    /// @return the holder as last seen, for operators; nothing while free or not known.
    std::optional<lease_identity> seen_holder() const;
    /// @return whether the row holds what is no lease: nobody can take it.
    bool malformed() const { return row_ && !row_->record && row_->version.value != 0; }

  private:
    /// The row as last seen.
    struct seen_row {
        row_version version;
        std::optional<lease_record> record;  ///< Nothing where absent or malformed.
        base::monotonic_time first_seen;     ///< Of this version.
    };
    struct hold {
        base::fencing_token token;
        base::monotonic_time valid_until;
        base::monotonic_time renew_at;
    };
    /// A write whose effect is not yet known.
    struct pending_write {
        lease_record record;
        base::monotonic_time sent_at;
        std::uint64_t predecessor_note = 0;      ///< In the row that it replaces.
        base::monotonic_time predecessor_end{};  ///< Of the hold that the row told of.
    };

    action start_read();
    action start_write(lease_record record, base::monotonic_time now);
    action contend(base::monotonic_time now);
    action acquire(base::monotonic_time now);
    action keep(base::monotonic_time now);
    action release(base::monotonic_time now);

    void on(const row_read& read, base::monotonic_time now);
    void on(const write_committed& committed, base::monotonic_time now);
    void on(const write_conflicted& conflicted, base::monotonic_time now);
    void on(const write_lost& lost, base::monotonic_time now);
    void on(const refused& refusal, base::monotonic_time now);

    void see(const stored_row& row, base::monotonic_time now);
    void take_effect(row_version version, base::monotonic_time now);
    void try_later(base::duration delay, base::monotonic_time now);
    bool is_own(const lease_record& record) const { return record.holder == self_; }
    base::monotonic_time free_at() const;
    base::monotonic_time end_of_seen_hold() const;

    lease_identity self_;
    lease_settings settings_;
    base::random_source& random_;
    bool wanted_ = false;
    bool under_way_ = false;
    bool must_read_ = true;
    std::optional<seen_row> row_;
    std::optional<hold> hold_;
    std::optional<pending_write> pending_;
    std::uint64_t note_ = 0;
    std::uint64_t predecessor_note_ = 0;
    base::monotonic_time predecessor_end_{};
    base::duration delay_;
    base::monotonic_time not_before_{};
    base::monotonic_time next_poll_{};
};

}  // namespace ferryroad::coordination::lease
