#include "emulator/platform/platform_model.hpp"

#include "ferryroad/base/digest.hpp"

#include <algorithm>

namespace ferryroad::emulator {

namespace {

/// Smallest call time as a factor of `platform_options::call_time`; the largest is 1 more.
constexpr double min_time_factor = 0.5;

bool has_commit(const std::vector<platform::transaction_outcome>& outcomes) {
    return std::any_of(
        outcomes.begin(), outcomes.end(),
        [](const platform::transaction_outcome& outcome) { return outcome.committed; });
}

}  // namespace

platform_model::platform_model(platform_options options)
    : options_(options),
      table_limiter_(options.table_rate, options.burst),
      object_limiter_(options.object_rate, options.burst),
      weights_limiter_(options.weights_rate, options.burst),
      machine_limiter_(options.machine_rate, options.burst) {}

rate_limiter& platform_model::limiter_of(platform_service service) {
    switch (service) {
        case platform_service::table:
            return table_limiter_;
        case platform_service::objects:
            return object_limiter_;
        case platform_service::weights:
            return weights_limiter_;
        case platform_service::machines:
            break;
    }
    return machine_limiter_;
}

call_decision platform_model::decide(platform_service service, base::monotonic_time now,
                                     base::random_source& random) {
    call_decision decision;
    const double time_factor = min_time_factor + random.unit();
    decision.delay =
        base::from_seconds(base::to_seconds(options_.call_time) * time_factor) + faults_.delay;
    if (faults_.outage) {
        decision.outcome = call_decision::verdict::outage;
        return decision;
    }
    const auto wait = limiter_of(service).take(now);
    if (wait) {
        decision.outcome = call_decision::verdict::rate_limited;
        decision.retry_after = *wait;
    }
    return decision;
}

commit_result platform_model::transact(const std::vector<platform::transaction>& transactions) {
    commit_result result;
    result.outcomes = table_.transact(transactions);
    if (faults_.lost_answers > 0 && has_commit(result.outcomes)) {
        --faults_.lost_answers;
        result.answer_lost = true;
    }
    return result;
}

std::vector<platform::row> platform_model::read(const std::vector<platform::row_key>& keys) const {
    return table_.read(keys);
}

std::vector<platform::row> platform_model::scan(const std::string& prefix,
                                                const platform::row_key& after,
                                                std::uint32_t limit) const {
    return table_.scan(prefix, after, limit);
}

void platform_model::put_object(const std::string& name, std::string bytes) {
    objects_[name] = std::move(bytes);
}

const std::string* platform_model::get_object(const std::string& name) const {
    const auto found = objects_.find(name);
    return found == objects_.end() ? nullptr : &found->second;
}

weights_transfer platform_model::fetch_weights(const std::string& model, const std::string& version,
                                               base::monotonic_time now) {
    const double seconds =
        static_cast<double>(options_.weights_bytes) / options_.weights_bytes_per_second;
    const base::monotonic_time start = std::max(now, weights_busy_until_);
    weights_busy_until_ = start + base::from_seconds(seconds);
    return {options_.weights_bytes, base::sha256_hex(model + "/" + version), weights_busy_until_};
}

void platform_model::put_machine(const platform::machine& one, base::monotonic_time now) {
    machines_.put(one, now);
}

void platform_model::remove_machine(const std::string& name, base::monotonic_time now) {
    machines_.remove(name, now);
}

std::vector<platform::machine> platform_model::machines(base::monotonic_time now) const {
    return machines_.list(now, faults_.machine_list_lag.value_or(options_.machine_list_lag));
}

void platform_model::set_faults(const platform_faults& faults) {
    const bool other_rate = faults.rate != faults_.rate;
    faults_ = faults;
    if (other_rate) {
        apply_rates();
    }
}

void platform_model::apply_rates() {
    table_limiter_.set_rate(faults_.rate.value_or(options_.table_rate));
    object_limiter_.set_rate(faults_.rate.value_or(options_.object_rate));
    weights_limiter_.set_rate(faults_.rate.value_or(options_.weights_rate));
    machine_limiter_.set_rate(faults_.rate.value_or(options_.machine_rate));
}

}  // namespace ferryroad::emulator
