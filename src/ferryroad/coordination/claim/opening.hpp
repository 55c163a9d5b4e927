/// @file
/// Claiming a key: at most one attempt over all processes is ever granted it.
#pragma once

#include "ferryroad/coordination/claim/backoff.hpp"
#include "ferryroad/coordination/claim/messages.hpp"
#include "ferryroad/coordination/claim/record.hpp"
#include "ferryroad/coordination/claim/tunables.hpp"

#include <cstdint>
#include <functional>

namespace ferryroad::coordination::claim {

/// Who claims what.
struct claim_terms {
    base::attempt_id attempt;  ///< Never used twice, by any process.
    holder owner;
    std::string content_digest;
};

/// What the embedder knows as an event comes.
struct circumstances {
    std::int64_t unix_ms = 0;
    /// Whether that process has surely ended. Borrowed for the call.
    const std::function<bool(const holder&)>& known_dead;
};

/// State machine of one claim. A conditional insert decides between attempts; after a lost
/// answer the row is read back and shows whose attempt won. An attempt of a holder that is
/// known dead, or that took too long, is closed as unknown and never granted again.
class claim_opening {
  public:
    claim_opening(claim_terms terms, tunables limits = {});

    /// Called once, first.
    action begin(const circumstances& at);
    /// Events answer the last action, one each. @return the next action; after `ended` the
    /// machine takes no more events.
    action handle(const event& happened, const circumstances& at);

  private:
    enum class intent { insert, close_other };

    action on(const write_committed& committed, const circumstances& at);
    action on(const write_conflicted& conflicted, const circumstances& at);
    action on(const write_lost& lost, const circumstances& at);
    action on(const write_refused& refused, const circumstances& at);
    action on(const row_read& read, const circumstances& at);
    action on(const read_failed& failed, const circumstances& at);

    action judge(const stored_row& row, const circumstances& at);
    action judge_other(const stored_row& row, const record& other, const circumstances& at);
    action judge_at_work(const stored_row& row, const record& other, const circumstances& at);
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

/// @return whether an ended claim has been kept long enough.
bool is_expired(const record& claimed, std::int64_t unix_ms, const tunables& limits);

/// @return whether a claim at work will surely never be ended by its holder.
bool is_abandoned(const record& claimed, const circumstances& at, const tunables& limits);

}  // namespace ferryroad::coordination::claim
