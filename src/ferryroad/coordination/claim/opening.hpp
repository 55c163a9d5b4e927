/// @file
/// Claims a key. At most one attempt over all processes is ever granted the claim of a key.
#pragma once

#include "ferryroad/coordination/claim/backoff.hpp"
#include "ferryroad/coordination/claim/messages.hpp"
#include "ferryroad/coordination/claim/record.hpp"
#include "ferryroad/coordination/claim/tunables.hpp"

#include <cstdint>
#include <functional>

namespace ferryroad::coordination::claim {

/// The attempt that claims and the content that it claims the key for.
struct claim_terms {
    base::attempt_id attempt;  ///< Never used twice, by any process.
    holder owner;
    std::string content_digest;
};

/// What the embedder knows when an event arrives.
struct circumstances {
    std::int64_t unix_ms = 0;
    /// @return whether that process has certainly ended. Must stay valid during the call.
    const std::function<bool(const holder&)>& known_dead;
};

/// State machine that claims one key. A conditional insert decides between attempts. If the answer
/// to the insert is lost, the row is read back to find out which attempt won. An attempt that took
/// too long, or whose holder is known to be dead, is closed as unknown and never granted the claim
/// again. Not thread-safe.
class claim_opening {
  public:
    claim_opening(claim_terms terms, tunables limits = {});

    /// Must be called once, before any event.
    action begin(const circumstances& at);
    /// Handles the event that answers the last action; each action gets one event.
    /// @return the next action. No more events may follow `ended`.
    action handle(const event& happened, const circumstances& at);

  private:
    enum class intent { insert, close_other };

    action on(const write_committed& committed, const circumstances& at);
    action on(const write_conflicted& conflicted, const circumstances& at);
    action on(const write_lost& lost, const circumstances& at);
    action on(const write_refused& refused, const circumstances& at);
    action on(const row_read& read, const circumstances& at);
    action on(const read_failed& failed, const circumstances& at);

    action evaluate(const stored_row& row, const circumstances& at);
    action evaluate_other(const stored_row& row, const record& other, const circumstances& at);
    action evaluate_in_progress(const stored_row& row, const record& other,
                                const circumstances& at);
    action insert(row_version expected, const circumstances& at);
    action close_as_unknown(const stored_row& row, record other, const circumstances& at);
    action read_again(std::uint32_t& left, ended otherwise);
    action unavailable(std::optional<base::duration> retry_after) const;

    claim_terms terms_;
    tunables limits_;
    intent intent_ = intent::insert;
    bool maybe_recorded_ = false;
    std::uint32_t writes_left_;
    std::uint32_t reads_left_;
    std::uint32_t polls_left_;
    backoff delays_;
};

/// @return whether a closed claim has been stored for longer than the retention period.
bool is_expired(const record& claimed, std::int64_t unix_ms, const tunables& limits);

/// @return whether the holder of a claim in progress will certainly never close it.
bool is_abandoned(const record& claimed, const circumstances& at, const tunables& limits);

}  // namespace ferryroad::coordination::claim
