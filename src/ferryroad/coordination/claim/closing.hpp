/// @file
/// Closes a claim: records the outcome of its attempt, or frees the key if nothing ran.
#pragma once

#include "ferryroad/coordination/claim/backoff.hpp"
#include "ferryroad/coordination/claim/messages.hpp"
#include "ferryroad/coordination/claim/opening.hpp"
#include "ferryroad/coordination/claim/record.hpp"
#include "ferryroad/coordination/claim/tunables.hpp"

#include <cstdint>
#include <optional>
#include <variant>

namespace ferryroad::coordination::claim {

/// The attempt ran; its outcome is stored.
struct close_finished {
    outcome kept;
};
/// The attempt may have run, and its outcome is not known.
struct close_unknown {};
/// The attempt certainly did not run; the key may be claimed again.
struct close_released {};
/// How a claim is closed.
using closing_kind = std::variant<close_finished, close_unknown, close_released>;

/// State machine that writes the end of a claim. It retries until the row shows the end, and leaves
/// a row alone that belongs to another attempt. Not thread-safe.
class claim_closing {
  public:
    /// @param claimed_at_ms Unix time at which the claim was made, in milliseconds.
    /// @param known row version at which the claim was granted; if absent, the row is read first.
    claim_closing(claim_terms terms, std::int64_t claimed_at_ms, closing_kind kind,
                  std::optional<row_version> known, tunables limits = {});

    /// Must be called once, before any event.
    action begin(const circumstances& at);
    /// @return the next action. `ended` carries `finished` (the end is stored, or nothing had to be
    /// stored) or `unavailable` (the retries are used up; the key stays blocked until its claim is
    /// marked as unknown).
    action handle(const event& happened, const circumstances& at);

  private:
    action on(const write_committed& committed, const circumstances& at);
    action on(const write_conflicted& conflicted, const circumstances& at);
    action on(const write_lost& lost, const circumstances& at);
    action on(const write_refused& refused, const circumstances& at);
    action on(const row_read& read, const circumstances& at);
    action on(const read_failed& failed, const circumstances& at);

    action evaluate(const stored_row& row, const circumstances& at);
    action evaluate_absent(const circumstances& at);
    action write(row_version expected, const circumstances& at, base::duration delay);
    action read(base::duration delay);
    action end(claim_outcome result) const;
    record ended_record(const circumstances& at) const;
    bool releases() const { return std::holds_alternative<close_released>(kind_); }

    claim_terms terms_;
    std::int64_t claimed_at_ms_;
    closing_kind kind_;
    std::optional<row_version> known_;
    tunables limits_;
    std::uint32_t writes_left_;
    std::uint32_t reads_left_;
    backoff delays_;
};

}  // namespace ferryroad::coordination::claim
