#include "ferryroad/coordination/lease/lease_holder.hpp"

#include <algorithm>
#include <utility>

namespace ferryroad::coordination::lease {

namespace {

base::duration scaled(base::duration period, double factor) {
    return base::from_seconds(base::to_seconds(period) * factor);
}

}  // namespace

lease_holder::lease_holder(lease_identity self, lease_settings settings,
                           base::random_source& random)
    : self_(std::move(self)), settings_(settings), random_(random), delay_(settings.first_delay) {}

std::optional<base::fencing_token> lease_holder::token(base::monotonic_time now) const {
    const bool valid = wanted_ && hold_ && now < hold_->valid_until;
    return valid ? std::optional(hold_->token) : std::nullopt;
}

std::optional<base::fencing_token> lease_holder::hold_token() const {
    return hold_ ? std::optional(hold_->token) : std::nullopt;
}

void lease_holder::set_note(std::uint64_t note) {
    if (hold_) {
        hold_->note = note;
    }
}

std::optional<std::uint64_t> lease_holder::stored_note(base::monotonic_time now) const {
    const bool known =
        token(now) && !pending_ && row_ && row_->record && row_->record->note == hold_->note;
    return known ? std::optional(row_->record->note) : std::nullopt;
}

std::optional<lease_identity> lease_holder::seen_holder() const {
    return row_ && row_->record ? row_->record->holder : std::nullopt;
}

// ---- Actions ----

action lease_holder::next(base::monotonic_time now) {
    if (in_flight_) {
        return wait_until{base::monotonic_time::max()};
    }
    if (hold_ && now >= hold_->valid_until) {
        hold_.reset();
        must_read_ = true;
    }
    if (!wanted_ && !hold_ && !pending_) {
        return wait_until{base::monotonic_time::max()};
    }
    if (now < not_before_) {
        return wait_until{not_before_};
    }
    if (must_read_) {
        return start_read();
    }
    if (hold_) {
        return wanted_ ? renew_if_due(now) : release(now);
    }
    return contend(now);
}

action lease_holder::start_read() {
    in_flight_ = true;
    return read_row{};
}

action lease_holder::start_write(lease_record record, base::monotonic_time now) {
    record.write_id = random_.next();
    in_flight_ = true;
    pending_ = pending_write{record, now, end_of_seen_hold()};
    return write_row{row_->version, encode(record)};
}

action lease_holder::contend(base::monotonic_time now) {
    if (malformed()) {
        must_read_ = true;
        schedule_retry(settings_.poll_period, now);
        return wait_until{not_before_};
    }
    if (now >= free_at()) {
        return acquire(now);
    }
    if (now >= next_poll_) {
        return start_read();
    }
    return wait_until{std::min(free_at(), next_poll_)};
}

base::monotonic_time lease_holder::free_at() const {
    // A hold recorded for this process that it doesn't rely on any more protects nothing.
    const bool own = row_->record && row_->record->holder && is_own(*row_->record);
    return own ? row_->first_seen : end_of_seen_hold();
}

base::monotonic_time lease_holder::end_of_seen_hold() const {
    const auto& record = row_->record;
    if (!record || !record->holder) {
        return row_->first_seen;
    }
    const base::duration longest = std::max(record->duration, settings_.duration);
    return row_->first_seen + scaled(longest, 1.0 + settings_.drift_bound);
}

action lease_holder::acquire(base::monotonic_time now) {
    lease_record record;
    record.holder = self_;
    record.token.value = row_->record ? row_->record->token.value + 1 : 1;
    record.duration = settings_.duration;
    // The note is kept until this holder sets its own, so that the next one reads it even if this
    // process ends before.
    record.note = row_->record ? row_->record->note : 0;
    return start_write(std::move(record), now);
}

action lease_holder::renew_if_due(base::monotonic_time now) {
    const bool note_due = row_->record && row_->record->note != hold_->note;
    if (now < hold_->renew_at && !note_due) {
        return wait_until{std::min(hold_->renew_at, hold_->valid_until)};
    }
    lease_record record;
    record.holder = self_;
    record.token = hold_->token;
    record.duration = settings_.duration;
    record.note = hold_->note;
    return start_write(std::move(record), now);
}

action lease_holder::release(base::monotonic_time now) {
    lease_record record;
    record.token = hold_->token;
    record.duration = settings_.duration;
    record.note = hold_->note;
    hold_.reset();
    return start_write(std::move(record), now);
}

// ---- Events ----

void lease_holder::handle(const event& happened, base::monotonic_time now) {
    in_flight_ = false;
    std::visit([&](const auto& each) { on(each, now); }, happened);
}

void lease_holder::on(const row_read& read, base::monotonic_time now) {
    must_read_ = false;
    delay_ = settings_.first_delay;
    next_poll_ = now + scaled(settings_.poll_period, 0.75 + 0.5 * random_.unit());
    observe_row(read.row, now);
}

void lease_holder::on(const write_committed& committed, base::monotonic_time now) {
    delay_ = settings_.first_delay;
    on_write_effective(committed.version, now);
}

void lease_holder::on(const write_conflicted& conflicted, base::monotonic_time now) {
    delay_ = settings_.first_delay;
    next_poll_ = now + settings_.poll_period;
    observe_row(conflicted.row, now);
}

void lease_holder::on(const write_lost& /*lost*/, base::monotonic_time now) {
    must_read_ = true;
    schedule_retry(delay_, now);
}

void lease_holder::on(const refused& refusal, base::monotonic_time now) {
    // A refused write changed nothing. After a refused read, the effect of a pending write is still
    // unknown.
    if (!must_read_) {
        pending_.reset();
    }
    schedule_retry(std::max(delay_, refusal.retry_after.value_or(base::duration{})), now);
}

void lease_holder::observe_row(const stored_row& row, base::monotonic_time now) {
    const std::optional<lease_record> record = decode(row.value);
    const bool own_write = record && pending_ && record->write_id == pending_->record.write_id;
    if (own_write) {
        on_write_effective(row.version, now);
        return;
    }
    pending_.reset();
    const bool same = row_ && row_->version == row.version;
    row_ = seen_row{row.version, record, same ? row_->first_seen : now};
    const bool still_own = record && hold_ && is_own(*record) && record->token == hold_->token;
    if (!still_own) {
        hold_.reset();
    }
}

void lease_holder::on_write_effective(row_version version, base::monotonic_time now) {
    const pending_write written = *std::exchange(pending_, std::nullopt);
    row_ = seen_row{version, written.record, now};
    if (!written.record.holder) {
        return;  // Released.
    }
    const bool taken_anew = !hold_ || hold_->token != written.record.token;
    if (taken_anew) {
        predecessor_note_ = written.record.note;
        predecessor_end_ = written.predecessor_end;
    }
    const std::uint64_t note = taken_anew ? written.record.note : hold_->note;
    const base::duration valid_for =
        scaled(settings_.duration, 1.0 - settings_.drift_bound) - settings_.margin;
    hold_ = hold{written.record.token, written.sent_at + valid_for,
                 written.sent_at + settings_.renew_after, note};
}

void lease_holder::schedule_retry(base::duration delay, base::monotonic_time now) {
    not_before_ = now + scaled(delay, 0.5 + random_.unit());
    delay_ = std::min(2 * delay_, settings_.poll_period);
}

}  // namespace ferryroad::coordination::lease
