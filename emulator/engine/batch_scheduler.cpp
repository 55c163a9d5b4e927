#include "emulator/engine/batch_scheduler.hpp"

#include <algorithm>
#include <utility>

namespace ferryroad::emulator {

namespace {

/// Weight of the newest step in the smoothed rates.
constexpr double newest_step_weight = 0.2;

double smooth(double before, double measured) {
    return before + newest_step_weight * (measured - before);
}

}  // namespace

batch_scheduler::batch_scheduler(const engine_model_settings& settings, prefix_cache& cache,
                                 scheduler_observer observer)
    : settings_(settings),
      cache_(cache),
      observer_(std::move(observer)),
      piece_tokens_(std::max<std::uint32_t>(
          1, settings.piece_bytes / static_cast<std::uint32_t>(core::prefix::bytes_per_token))),
      prefill_rate_(settings.prefill_tokens_per_second),
      decode_seconds_(base::to_seconds(settings.decode_step)) {}

void batch_scheduler::add(sequence_request request, base::monotonic_time now) {
    const attempt_handle attempt = request.attempt;
    sequence added;
    added.position = {request.urgency, ++arrivals_, attempt};
    added.next_token = request.first_token;
    added.request = std::move(request);
    const std::uint32_t cached = cache_.match(added.request.scope, added.request.pieces);
    set_prefill_total(added, cached);
    waiting_.insert(added.position);
    ++figures_.queued;
    sequences_.emplace(attempt, std::move(added));
    if (!step_) {
        begin_step(now);
    }
}

bool batch_scheduler::cancel(attempt_handle attempt) {
    if (!sequences_.contains(attempt)) {
        return false;
    }
    end(attempt);
    return true;
}

void batch_scheduler::step() {
    const running_step ended = *std::exchange(step_, std::nullopt);
    for (const prefill_share& share : ended.prefill) {
        finish_prefill(share, ended.ends_at);
    }
    for (const attempt_handle attempt : ended.decode) {
        decode_one(attempt, ended.ends_at);
    }
    update_measured_rates(ended);
    begin_step(ended.ends_at);
    observer_.stepped(ended.ends_at);
}

std::optional<base::monotonic_time> batch_scheduler::next_step() const {
    return step_ ? std::optional(step_->ends_at) : std::nullopt;
}

void batch_scheduler::clear() {
    sequences_.clear();
    waiting_.clear();
    prefilling_.clear();
    decoding_.clear();
    step_.reset();
    figures_ = {};
    frozen_until_ = {};
}

void batch_scheduler::freeze(base::monotonic_time now, base::monotonic_time until) {
    const base::monotonic_time from = std::max(now, frozen_until_);
    if (until <= from) {
        return;
    }
    frozen_until_ = until;
    if (step_) {
        step_->ends_at += until - from;
    }
}

void batch_scheduler::thaw(base::monotonic_time now) {
    if (frozen_until_ <= now) {
        return;
    }
    if (step_) {
        step_->ends_at -= frozen_until_ - now;
    }
    frozen_until_ = now;
}

void batch_scheduler::begin_step(base::monotonic_time now) {
    running_step planned;
    plan_prefill(planned, now);
    planned.decode.reserve(decoding_.size());
    for (const queue_position& position : decoding_) {
        planned.decode.push_back(position.attempt);
    }
    if (planned.prefill.empty() && planned.decode.empty()) {
        return;
    }
    const base::duration decoding =
        settings_.decode_step +
        settings_.decode_sequence_cost * static_cast<std::int64_t>(planned.decode.size());
    const double prefill = planned.prefill_tokens / settings_.prefill_tokens_per_second;
    planned.seconds = slow_factor_ * (base::to_seconds(decoding) + prefill);
    planned.ends_at = std::max(now, frozen_until_) + base::from_seconds(planned.seconds);
    step_ = std::move(planned);
}

void batch_scheduler::plan_prefill(running_step& planned, base::monotonic_time now) {
    std::uint32_t budget = settings_.prefill_chunk_tokens;
    std::set<queue_position> in_step;
    while (budget > 0) {
        const std::optional<queue_position> next = next_to_prefill(in_step);
        if (!next) {
            return;
        }
        sequence& chosen = sequences_.at(next->attempt);
        if (!chosen.started) {
            start(chosen, now);
        }
        const std::uint32_t tokens = std::min(budget, chosen.prefill_total - chosen.prefilled);
        planned.prefill.push_back({next->attempt, tokens});
        planned.prefill_tokens += tokens;
        budget -= tokens;
        in_step.insert(*next);
    }
}

std::optional<batch_scheduler::queue_position> batch_scheduler::next_to_prefill(
    const std::set<queue_position>& planned) const {
    std::optional<queue_position> best;
    for (const queue_position& position : prefilling_) {
        if (!planned.contains(position)) {
            best = position;
            break;
        }
    }
    const bool room = prefilling_.size() + decoding_.size() < settings_.max_batch;
    if (room && !waiting_.empty() && (!best || *waiting_.begin() < *best)) {
        best = *waiting_.begin();
    }
    return best;
}

void batch_scheduler::start(sequence& started, base::monotonic_time now) {
    started.started = true;
    started.cached_pieces = cache_.pin(started.request.scope, started.request.pieces);
    started.pinned_pieces = started.cached_pieces;
    set_prefill_total(started, started.cached_pieces);
    waiting_.erase(started.position);
    prefilling_.insert(started.position);
    --figures_.queued;
    ++figures_.running;
    observer_.started(started.request.attempt, started.cached_pieces, now);
}

void batch_scheduler::finish_prefill(const prefill_share& share, base::monotonic_time now) {
    const auto found = sequences_.find(share.attempt);
    if (found == sequences_.end()) {
        return;  // Cancelled during the step.
    }
    sequence& filled = found->second;
    filled.prefilled += share.tokens;
    figures_.queued_prefill_tokens -= share.tokens;
    store_pieces(filled);
    if (filled.prefilled < filled.prefill_total) {
        return;
    }
    prefilling_.erase(filled.position);
    decoding_.insert(filled.position);
    decode_one(share.attempt, now);
}

void batch_scheduler::store_pieces(sequence& filled) {
    const std::uint64_t known_tokens =
        std::uint64_t{filled.cached_pieces} * piece_tokens_ + filled.prefilled;
    const auto whole_pieces = static_cast<std::uint32_t>(
        std::min<std::uint64_t>(known_tokens / piece_tokens_, filled.request.pieces.size()));
    while (!filled.chain_broken && filled.pinned_pieces < whole_pieces) {
        filled.chain_broken =
            !cache_.append(filled.request.scope, filled.request.pieces, filled.pinned_pieces);
        if (!filled.chain_broken) {
            ++filled.pinned_pieces;
        }
    }
}

void batch_scheduler::decode_one(attempt_handle attempt, base::monotonic_time now) {
    const auto found = sequences_.find(attempt);
    if (found == sequences_.end()) {
        return;  // Cancelled during the step.
    }
    sequence& decoded = found->second;
    const std::uint32_t end_token = decoded.request.end_token;
    if (decoded.next_token < end_token) {
        observer_.token(attempt, decoded.next_token, now);
        ++decoded.next_token;
    }
    if (decoded.next_token >= end_token) {
        end(attempt);
        observer_.finished(attempt, now);
    }
}

void batch_scheduler::end(attempt_handle attempt) {
    const auto found = sequences_.find(attempt);
    sequence& ended = found->second;
    if (ended.started) {
        cache_.unpin(ended.request.scope, ended.request.pieces, ended.pinned_pieces);
        --figures_.running;
    } else {
        --figures_.queued;
    }
    figures_.queued_prefill_tokens -= ended.prefill_total - ended.prefilled;
    waiting_.erase(ended.position);
    prefilling_.erase(ended.position);
    decoding_.erase(ended.position);
    sequences_.erase(found);
}

void batch_scheduler::set_prefill_total(sequence& changed, std::uint32_t cached_pieces) {
    const std::uint32_t cached_tokens = cached_pieces * piece_tokens_;
    const std::uint32_t missing =
        changed.request.prompt_tokens > cached_tokens
            ? changed.request.prompt_tokens - cached_tokens
            : 1;  // Even a fully cached prompt needs its last token processed.
    figures_.queued_prefill_tokens -= changed.prefill_total;
    changed.prefill_total = std::max<std::uint32_t>(1, missing) + changed.request.first_token;
    figures_.queued_prefill_tokens += changed.prefill_total;
}

void batch_scheduler::update_measured_rates(const running_step& ended) {
    if (ended.prefill_tokens == settings_.prefill_chunk_tokens) {
        prefill_rate_ = smooth(prefill_rate_, ended.prefill_tokens / ended.seconds);
    }
    if (!ended.decode.empty()) {
        decode_seconds_ = smooth(decode_seconds_, ended.seconds);
    }
}

}  // namespace ferryroad::emulator
