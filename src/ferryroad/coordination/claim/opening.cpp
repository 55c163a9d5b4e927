#include "ferryroad/coordination/claim/opening.hpp"

#include <utility>

namespace ferryroad::coordination::claim {

namespace {

ended end_with(claim_outcome result) {
    ended end;
    end.result = result;
    return end;
}

}  // namespace

bool is_expired(const record& claimed, std::int64_t unix_ms, const tunables& limits) {
    return claimed.state != record_state::in_progress &&
           unix_ms - claimed.ended_at_ms > base::to_milliseconds(limits.retention);
}

bool is_abandoned(const record& claimed, const circumstances& at, const tunables& limits) {
    if (claimed.state != record_state::in_progress) {
        return false;
    }
    const std::int64_t age = at.unix_ms - claimed.claimed_at_ms;
    return age > base::to_milliseconds(limits.abandoned_after) || at.known_dead(claimed.owner);
}

claim_opening::claim_opening(claim_terms terms, tunables limits)
    : terms_(std::move(terms)),
      limits_(limits),
      writes_left_(limits.writes),
      reads_left_(limits.reads),
      polls_left_(limits.polls),
      delays_(limits) {}

action claim_opening::begin(const circumstances& at) {
    return insert(row_version(0), at);
}

action claim_opening::handle(const event& happened, const circumstances& at) {
    return std::visit([&](const auto& kind) { return on(kind, at); }, happened);
}

action claim_opening::on(const write_committed& committed, const circumstances&) {
    if (intent_ == intent::close_other) {
        return end_with(claim_outcome::unknown);
    }
    ended granted = end_with(claim_outcome::granted);
    granted.version = committed.version;
    return granted;
}

action claim_opening::on(const write_conflicted& conflicted, const circumstances& at) {
    return evaluate(conflicted.row, at);
}

action claim_opening::on(const write_lost&, const circumstances&) {
    maybe_recorded_ = maybe_recorded_ || intent_ == intent::insert;
    return read_again(reads_left_, end_with(claim_outcome::unavailable));
}

action claim_opening::on(const write_refused& refused, const circumstances&) {
    return unavailable(refused.retry_after);
}

action claim_opening::on(const row_read& read, const circumstances& at) {
    return evaluate(read.row, at);
}

action claim_opening::on(const read_failed& failed, const circumstances&) {
    ended otherwise = end_with(claim_outcome::unavailable);
    otherwise.retry_after = failed.retry_after;
    return read_again(reads_left_, std::move(otherwise));
}

action claim_opening::evaluate(const stored_row& row, const circumstances& at) {
    if (row.version == row_version(0)) {
        return insert(row.version, at);
    }
    const auto found = try_decode(row.value);
    if (!found) {
        // Written by an incompatible version of this library; its attempt may still run.
        return end_with(claim_outcome::in_progress);
    }
    if (found->attempt != terms_.attempt) {
        return evaluate_other(row, *found, at);
    }
    if (found->state != record_state::in_progress) {
        // Another process took this attempt for dead and closed it before it was granted.
        return end_with(claim_outcome::unknown);
    }
    ended granted = end_with(claim_outcome::granted);
    granted.version = row.version;
    return granted;
}

action claim_opening::evaluate_other(const stored_row& row, const record& other,
                                     const circumstances& at) {
    if (is_expired(other, at.unix_ms, limits_)) {
        return insert(row.version, at);
    }
    if (other.content_digest != terms_.content_digest) {
        return end_with(claim_outcome::other_content);
    }
    if (other.state == record_state::finished) {
        ended finished = end_with(claim_outcome::finished);
        finished.kept_outcome = other.kept_outcome;
        return finished;
    }
    if (other.state == record_state::unknown) {
        return end_with(claim_outcome::unknown);
    }
    return evaluate_in_progress(row, other, at);
}

action claim_opening::evaluate_in_progress(const stored_row& row, const record& other,
                                           const circumstances& at) {
    if (is_abandoned(other, at, limits_)) {
        return close_as_unknown(row, other, at);
    }
    // The outcome may be available soon, and a caller that repeats a key wants that outcome.
    return read_again(polls_left_, end_with(claim_outcome::in_progress));
}

action claim_opening::insert(row_version expected, const circumstances& at) {
    if (writes_left_ == 0) {
        return unavailable(std::nullopt);
    }
    --writes_left_;
    intent_ = intent::insert;
    record claimed;
    claimed.state = record_state::in_progress;
    claimed.attempt = terms_.attempt;
    claimed.owner = terms_.owner;
    claimed.content_digest = terms_.content_digest;
    claimed.claimed_at_ms = at.unix_ms;
    return write_row{expected, encode(claimed), {}};
}

action claim_opening::close_as_unknown(const stored_row& row, record other,
                                       const circumstances& at) {
    if (writes_left_ == 0) {
        return unavailable(std::nullopt);
    }
    --writes_left_;
    intent_ = intent::close_other;
    other.state = record_state::unknown;
    other.ended_at_ms = at.unix_ms;
    return write_row{row.version, encode(other), {}};
}

action claim_opening::read_again(std::uint32_t& left, ended otherwise) {
    if (left == 0) {
        otherwise.maybe_recorded = maybe_recorded_;
        return otherwise;
    }
    --left;
    return read_row{delays_.next()};
}

action claim_opening::unavailable(std::optional<base::duration> retry_after) const {
    ended end = end_with(claim_outcome::unavailable);
    end.retry_after = retry_after;
    end.maybe_recorded = maybe_recorded_;
    return end;
}

}  // namespace ferryroad::coordination::claim
