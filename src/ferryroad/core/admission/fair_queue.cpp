#include "ferryroad/core/admission/fair_queue.hpp"

#include <algorithm>
#include <iterator>
#include <limits>

namespace ferryroad::core::admission {

namespace {

std::size_t index_of(level urgency) {
    return static_cast<std::size_t>(urgency);
}

/// Exponentially weighted moving average, initialized with the first sample.
double updated_mean(double mean, double sample, double weight) {
    return mean <= 0 ? sample : mean + weight * (sample - mean);
}

}  // namespace

fair_queue::fair_queue(std::size_t max_running, admission_tunables tunables)
    : tunables_(tunables), max_running_(max_running) {}

queue_answer fair_queue::arrive(const waiting_request& request, base::monotonic_time now) {
    if (now > request.start_by) {
        return {queue_verdict::refused_deadline, {}, tunables_.shortest_retry_after};
    }
    if (running_ < max_running_ && arrivals_.empty()) {
        record_start(request, false);
        return {queue_verdict::started, {}, {}};
    }
    const base::duration wait = expected_wait(request);
    const base::duration retry_after =
        std::clamp(wait, tunables_.shortest_retry_after, tunables_.longest_retry_after);
    if (now + wait > request.start_by) {
        return {queue_verdict::refused_deadline, wait, retry_after};
    }
    if (waiting() >= tunables_.queue_length) {
        return {queue_verdict::refused_full, wait, retry_after};
    }
    insert(request, now);
    return {queue_verdict::queued, wait, {}};
}

void fair_queue::finish() {
    if (running_ > 0) {
        --running_;
    }
}

std::optional<base::request_id> fair_queue::start_next(base::monotonic_time now) {
    if (running_ >= max_running_) {
        return std::nullopt;
    }
    const bool aged_start_due = starts_since_aged_ + 1 >= tunables_.aged_start_every;
    const arrival oldest = aged_start_due ? choose_aged(now) : arrivals_.end();
    const bool aged = oldest != arrivals_.end();
    const arrival chosen = aged ? oldest : choose_fair(now);
    if (chosen == arrivals_.end()) {
        return std::nullopt;
    }
    const base::request_id started = chosen->request.request;
    starts_since_aged_ = aged ? 0 : starts_since_aged_ + 1;
    start_waiting(chosen, aged, now);
    return started;
}

void fair_queue::start_waiting(arrival chosen, bool aged, base::monotonic_time now) {
    const waiting_request started = chosen->request;
    record_service(started.work, now);
    erase(started.request);
    record_start(started, aged);
    if (arrivals_.empty()) {
        last_start_while_waiting_.reset();
    }
}

std::vector<base::request_id> fair_queue::take_expired(base::monotonic_time now) {
    std::vector<base::request_id> expired;
    while (!by_expiry_.empty() && by_expiry_.begin()->first < now) {
        expired.push_back(by_expiry_.begin()->second);
        erase(expired.back());
    }
    return expired;
}

bool fair_queue::cancel(const base::request_id& request) {
    if (!by_request_.contains(request)) {
        return false;
    }
    erase(request);
    return true;
}

std::optional<base::monotonic_time> fair_queue::next_expiry() const {
    if (by_expiry_.empty()) {
        return std::nullopt;
    }
    return by_expiry_.begin()->first;
}

double fair_queue::start_tag(const level_state& state, const tenant_queue& queue) {
    return std::max(state.virtual_time, queue.finish_tag);
}

base::duration fair_queue::expected_wait(const waiting_request& request) const {
    if (mean_started_work_ <= 0) {
        return {};
    }
    double work_ahead = 0;
    for (std::size_t above = index_of(request.urgency) + 1; above < level_count; ++above) {
        work_ahead += levels_[above].queued_work;
    }
    const level_state& state = levels_[index_of(request.urgency)];
    double own_tag = state.virtual_time;
    const auto own = state.tenants.find(request.tenant);
    if (own != state.tenants.end()) {
        own_tag = start_tag(state, own->second) + own->second.queued_work / request.weight;
        work_ahead += own->second.queued_work;
    }
    for (const auto& [tenant, queue] : state.tenants) {
        if (tenant != request.tenant) {
            // Work that this tenant may start before virtual time reaches the request's own tag.
            const double share = (own_tag - start_tag(state, queue)) * queue.weight;
            work_ahead += std::clamp(share, 0.0, queue.queued_work);
        }
    }
    return base::from_seconds(work_ahead * mean_start_interval_ / mean_started_work_);
}

fair_queue::arrival fair_queue::choose_fair(base::monotonic_time now) {
    for (auto state = levels_.rbegin(); state != levels_.rend(); ++state) {
        const arrival chosen = choose_fair(*state, now);
        if (chosen != arrivals_.end()) {
            return chosen;
        }
    }
    return arrivals_.end();
}

fair_queue::arrival fair_queue::choose_aged(base::monotonic_time now) {
    for (arrival oldest = arrivals_.begin(); oldest != arrivals_.end(); ++oldest) {
        if (now - oldest->arrived_at <= tunables_.aging_bound) {
            break;
        }
        if (now <= oldest->request.start_by) {
            return oldest;
        }
    }
    return arrivals_.end();
}

fair_queue::arrival fair_queue::choose_fair(const level_state& state, base::monotonic_time now) {
    arrival chosen = arrivals_.end();
    double least_tag = std::numeric_limits<double>::infinity();
    for (const auto& [tenant, queue] : state.tenants) {
        const auto in_time =
            std::find_if(queue.requests.begin(), queue.requests.end(),
                         [now](const arrival& each) { return now <= each->request.start_by; });
        if (in_time == queue.requests.end()) {
            continue;
        }
        const double tag = start_tag(state, queue);
        // Equal tags go by arrival, so that the iteration order of the table has no effect.
        if (tag < least_tag || (tag == least_tag && (*in_time)->number < chosen->number)) {
            least_tag = tag;
            chosen = *in_time;
        }
    }
    return chosen;
}

void fair_queue::record_start(const waiting_request& request, bool aged) {
    level_state& state = levels_[index_of(request.urgency)];
    tenant_queue& queue = state.tenants[request.tenant];
    const double tag = start_tag(state, queue);
    queue.finish_tag = tag + request.work / request.weight;
    if (!aged) {
        state.virtual_time = tag;
    }
    std::erase_if(state.tenants, [&state](const auto& each) {
        return each.second.requests.empty() && each.second.finish_tag <= state.virtual_time;
    });
    ++running_;
}

void fair_queue::record_service(double work, base::monotonic_time now) {
    if (last_start_while_waiting_) {
        const double interval = base::to_seconds(now - *last_start_while_waiting_);
        mean_start_interval_ =
            updated_mean(mean_start_interval_, interval, tunables_.service_rate_weight);
        mean_started_work_ = updated_mean(mean_started_work_, work, tunables_.service_rate_weight);
    }
    last_start_while_waiting_ = now;
}

void fair_queue::insert(const waiting_request& request, base::monotonic_time now) {
    level_state& state = levels_[index_of(request.urgency)];
    tenant_queue& queue = state.tenants[request.tenant];
    queue.weight = request.weight;
    queue.queued_work += request.work;
    state.queued_work += request.work;
    const arrival added = arrivals_.insert(arrivals_.end(), {request, now, next_number_++});
    const auto in_tenant = queue.requests.insert(queue.requests.end(), added);
    const auto in_expiry = by_expiry_.emplace(request.start_by, request.request);
    by_request_.emplace(request.request, queue_position{added, in_tenant, in_expiry});
}

void fair_queue::erase(const base::request_id& request) {
    const auto known = by_request_.find(request);
    const queue_position position = known->second;
    const waiting_request& erased = position.request->request;
    level_state& state = levels_[index_of(erased.urgency)];
    tenant_queue& queue = state.tenants[erased.tenant];
    queue.queued_work -= erased.work;
    state.queued_work -= erased.work;
    queue.requests.erase(position.in_tenant);
    by_expiry_.erase(position.in_expiry);
    by_request_.erase(known);
    arrivals_.erase(position.request);
}

}  // namespace ferryroad::core::admission
