#include "ferryroad/coordination/claim/closing.hpp"

#include <algorithm>
#include <utility>

namespace ferryroad::coordination::claim {

claim_closing::claim_closing(claim_terms terms, std::int64_t claimed_at_ms, closing_kind kind,
                             std::optional<row_version> known, tunables limits)
    : terms_(std::move(terms)),
      claimed_at_ms_(claimed_at_ms),
      kind_(std::move(kind)),
      known_(known),
      limits_(limits),
      writes_left_(limits.writes),
      reads_left_(limits.reads),
      delays_(limits) {}

action claim_closing::begin(const circumstances& at) {
    if (known_) {
        return write(*known_, at, {});
    }
    return read({});
}

action claim_closing::handle(const event& happened, const circumstances& at) {
    return std::visit([&](const auto& kind) { return on(kind, at); }, happened);
}

action claim_closing::on(const write_committed&, const circumstances&) {
    return end(claim_outcome::finished);
}

action claim_closing::on(const write_conflicted& conflicted, const circumstances& at) {
    return evaluate(conflicted.row, at);
}

action claim_closing::on(const write_lost&, const circumstances&) {
    return read(delays_.next());
}

action claim_closing::on(const write_refused& refused, const circumstances&) {
    return read(std::max(delays_.next(), refused.retry_after.value_or(base::duration::zero())));
}

action claim_closing::on(const row_read& found, const circumstances& at) {
    return evaluate(found.row, at);
}

action claim_closing::on(const read_failed& failed, const circumstances&) {
    return read(std::max(delays_.next(), failed.retry_after.value_or(base::duration::zero())));
}

action claim_closing::evaluate(const stored_row& row, const circumstances& at) {
    if (row.version == row_version(0)) {
        return evaluate_absent(at);
    }
    const auto found = try_decode(row.value);
    const bool ours = found && found->attempt == terms_.attempt;
    if (!ours || found->state == record_state::finished) {
        return end(claim_outcome::finished);
    }
    const bool already_unknown = found->state == record_state::unknown;
    if (already_unknown && std::holds_alternative<close_unknown>(kind_)) {
        return end(claim_outcome::finished);
    }
    return write(row.version, at, {});
}

action claim_closing::evaluate_absent(const circumstances& at) {
    if (!releases()) {
        return write(row_version(0), at, {});
    }
    if (known_ || reads_left_ == 0) {
        return end(claim_outcome::finished);
    }
    // An insert whose answer was lost may still arrive, so the row is read until the reads are used
    // up.
    return read(delays_.next());
}

action claim_closing::write(row_version expected, const circumstances& at, base::duration delay) {
    if (writes_left_ == 0) {
        return end(claim_outcome::unavailable);
    }
    --writes_left_;
    if (releases()) {
        return write_row{expected, std::nullopt, delay};
    }
    return write_row{expected, encode(ended_record(at)), delay};
}

action claim_closing::read(base::duration delay) {
    if (reads_left_ == 0) {
        return end(claim_outcome::unavailable);
    }
    --reads_left_;
    return read_row{delay};
}

action claim_closing::end(claim_outcome result) const {
    ended closed;
    closed.result = result;
    return closed;
}

record claim_closing::ended_record(const circumstances& at) const {
    record closed;
    closed.attempt = terms_.attempt;
    closed.owner = terms_.owner;
    closed.content_digest = terms_.content_digest;
    closed.claimed_at_ms = claimed_at_ms_;
    closed.ended_at_ms = at.unix_ms;
    closed.state = record_state::unknown;
    if (const auto* finished = std::get_if<close_finished>(&kind_)) {
        closed.state = record_state::finished;
        closed.kept_outcome = finished->kept;
    }
    return closed;
}

}  // namespace ferryroad::coordination::claim
