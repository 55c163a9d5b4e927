/// @file
/// Ending a claim: its outcome is recorded, or the key is freed because nothing ran.
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

struct close_finished {
    outcome kept;
};
struct close_unknown {};
/// Proven not run: the key may be claimed again.
struct close_released {};
using closing_kind = std::variant<close_finished, close_unknown, close_released>;

/// State machine that writes a claim's end. Repeats until the row says so; a row that another
/// attempt owns is left alone.
class claim_closing {
  public:
    /// @param known version of the row as granted; without it the row is read first.
    claim_closing(claim_terms terms, std::int64_t claimed_at_ms, closing_kind kind,
                  std::optional<row_version> known, tunables limits = {});

    action begin(const circumstances& at);
    /// @return the next action; `ended` says `finished` (written, or nothing to write) or
    /// `unavailable` (given up: the key stays closed until somebody marks it unknown).
    action handle(const event& happened, const circumstances& at);

  private:
    action on(const write_committed& committed, const circumstances& at);
    action on(const write_conflicted& conflicted, const circumstances& at);
    action on(const write_lost& lost, const circumstances& at);
    action on(const write_refused& refused, const circumstances& at);
    action on(const row_read& read, const circumstances& at);
    action on(const read_failed& failed, const circumstances& at);

    action judge(const stored_row& row, const circumstances& at);
    action judge_absent(const circumstances& at);
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
