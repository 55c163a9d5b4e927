#include "ferryroad/router/backends/backend_record.hpp"

#include <algorithm>
#include <utility>

namespace ferryroad::router::backends {

namespace {

/// Limits the exponent of the poll backoff; 2^16 times the first pause exceeds any configured
/// limit.
constexpr std::uint32_t max_backoff_doublings = 16;

}  // namespace

backend_record::backend_record(const tunables& limits, base::engine_name name)
    : limits_(&limits), name_(std::move(name)) {}

void backend_record::record_listed(const platform::machine& machine, base::monotonic_time now) {
    if (machine.address != machine_.address) {
        require_confirmation(now);
        poll_at_once_ = true;
    }
    const bool leaving_before = is_list_leaving(now);
    machine_ = machine;
    missing_since_.reset();
    if (machine.state != platform::machine_state::leaving) {
        return;
    }
    if (!leaving_before) {
        list_leaving_process_ = process_;
    }
    was_listed_leaving_ = true;
    listed_leaving_at_ = now;
}

void backend_record::record_unlisted(base::monotonic_time now) {
    if (!missing_since_) {
        missing_since_ = now;
    }
}

bool backend_record::record_load(const engine::load_report& load, base::monotonic_time now) {
    if (!accept_report(load, now)) {
        return false;
    }
    failures_ = 0;
    return load.leaving && record_leaving(load.incarnation, now);
}

bool backend_record::record_poll(const poll_answer& answer, base::monotonic_time now) {
    end_poll(now);
    if (answer.address != machine_.address) {
        return false;  // The machine list changed the engine's address in the meantime.
    }
    if (!accept_report(answer.load, now)) {
        mark_suspected(now);  // Another engine or an older process answered at this address.
        ++failed_polls_;
        return false;
    }
    failures_ = 0;
    failed_polls_ = 0;
    if (unconfirmed_since_ && answer.asked_at >= *unconfirmed_since_) {
        unconfirmed_since_.reset();
        suspected_ = false;
    }
    if (answer.load.leaving) {
        return record_leaving(answer.load.incarnation, now);
    }
    const bool asked_after_hold_down =
        answer.asked_at >= leaving_since_ + limits_->leaving_hold_down;
    if (asked_after_hold_down && answer.load.incarnation >= leaving_process_) {
        leaving_process_ = {};
    }
    return false;
}

bool backend_record::accept_report(const engine::load_report& load, base::monotonic_time now) {
    const bool other_engine = !load.name.value.empty() && load.name != name_;
    if (other_engine || load.incarnation < process_ || load.incarnation.value == 0) {
        return false;
    }
    if (load.incarnation > process_) {
        begin_process(load.incarnation);
    }
    if (was_listed_leaving_ && list_leaving_process_.value == 0) {
        list_leaving_process_ = process_;
    }
    load_ = load;
    reported_at_ = now;
    const base::monotonic_time covered_until = now - load.age;
    while (!unreported_.empty() && unreported_.front().at <= covered_until) {
        unreported_.pop_front();
    }
    return true;
}

void backend_record::begin_process(base::incarnation process) {
    process_ = process;
    unreported_.clear();
    outstanding_ = 0;
}

void backend_record::record_poll_failure(base::monotonic_time now) {
    end_poll(now);
    ++failed_polls_;
    count_failure(now);
}

void backend_record::record_failure(engine::error_code code, base::monotonic_time now) {
    switch (code) {
        case engine::error_code::connect_failed:
            mark_suspected(now);
            break;
        case engine::error_code::connection_lost:
        case engine::error_code::timed_out:
        case engine::error_code::protocol_violation:
            count_failure(now);
            break;
        case engine::error_code::refused_incarnation:
        case engine::error_code::refused_version:
            require_confirmation(now);
            break;
        case engine::error_code::refused_leaving:
            record_leaving(process_, now);
            break;
        case engine::error_code::refused_overloaded:
            break;
        case engine::error_code::refused_bad_request:
        case engine::error_code::refused_stale_token:
        case engine::error_code::refused_import:
        case engine::error_code::not_found:
        case engine::error_code::failed:
            return;  // These don't indicate anything about the engine's health.
    }
    poll_at_once_ = true;
}

void backend_record::count_failure(base::monotonic_time now) {
    if (++failures_ >= limits_->suspicion_threshold) {
        mark_suspected(now);
    }
}

void backend_record::mark_suspected(base::monotonic_time now) {
    suspected_ = true;
    require_confirmation(now);
}

void backend_record::require_confirmation(base::monotonic_time now) {
    unconfirmed_since_ = now;
}

bool backend_record::record_leaving(base::incarnation process, base::monotonic_time now) {
    if (process < process_) {
        return false;  // The report is about a process that has been replaced.
    }
    leaving_since_ = now;
    if (process <= leaving_process_) {
        return false;
    }
    leaving_process_ = process;
    return true;
}

void backend_record::record_dispatch(std::uint64_t prefill_tokens, base::monotonic_time now) {
    unreported_.push_back({now, prefill_tokens});
    ++outstanding_;
}

void backend_record::record_end() {
    outstanding_ -= std::min<std::uint32_t>(outstanding_, 1);
    if (unreported_.size() > outstanding_) {
        unreported_.pop_front();
    }
}

bool backend_record::is_list_leaving(base::monotonic_time now) const {
    if (!was_listed_leaving_) {
        return false;
    }
    if (machine_.state == platform::machine_state::leaving) {
        return true;
    }
    const bool newer_process = process_ > list_leaving_process_;
    return !newer_process && now - listed_leaving_at_ < limits_->leaving_hold_down;
}

backend_health backend_record::health(base::monotonic_time now) const {
    if (missing_since_ && now - *missing_since_ >= limits_->missing_timeout) {
        return backend_health::missing;
    }
    const bool reported_leaving = leaving_process_.value != 0 && leaving_process_ >= process_;
    if (reported_leaving || is_list_leaving(now)) {
        return backend_health::leaving;
    }
    if (suspected_) {
        return backend_health::suspected;
    }
    const bool confirmed = process_.value != 0 && !unconfirmed_since_;
    return confirmed ? backend_health::live : backend_health::unconfirmed;
}

bool backend_record::can_be_removed(base::monotonic_time now) const {
    return missing_since_ && now - *missing_since_ >= limits_->removal_timeout;
}

void backend_record::begin_poll() {
    polling_ = true;
    poll_at_once_ = false;
}

void backend_record::end_poll(base::monotonic_time now) {
    polling_ = false;
    last_poll_at_ = now;
}

std::optional<base::monotonic_time> backend_record::next_poll() const {
    if (polling_) {
        return std::nullopt;
    }
    if (poll_at_once_) {
        return base::monotonic_time{};
    }
    if (failed_polls_ > 0) {
        const std::uint32_t doublings = std::min(failed_polls_ - 1, max_backoff_doublings);
        const base::duration pause = limits_->poll_backoff * (std::int64_t{1} << doublings);
        return last_poll_at_ + std::min(pause, limits_->poll_backoff_limit);
    }
    if (unconfirmed_since_ || process_.value == 0) {
        return last_poll_at_;
    }
    return std::max(reported_at_, last_poll_at_) + limits_->poll_interval;
}

engine_view backend_record::view() const {
    engine_view seen;
    seen.target = {name_, machine_.address, process_};
    seen.zone = machine_.zone;
    seen.load = load_;
    seen.reported_at = reported_at_;
    seen.own_requests_since = static_cast<std::uint32_t>(unreported_.size());
    for (const dispatch& own : unreported_) {
        seen.own_prefill_tokens_since += own.prefill_tokens;
    }
    return seen;
}

}  // namespace ferryroad::router::backends
