#include "ferryroad/router/request/token_bucket_admission.hpp"

#include <algorithm>
#include <utility>

namespace ferryroad::router {

namespace {

/// A tenant at its concurrency limit can't know when a place comes free.
constexpr base::duration concurrency_retry = std::chrono::seconds(1);

refusal over_limit(std::string message, base::duration retry_after) {
    return {refusal_code::over_limit, std::move(message),
            core::execution::execution_report::not_run, retry_after};
}

double burst_of(const catalog::tenant_limits& limits) {
    return std::max({limits.request_burst, limits.requests_per_second, 1.0});
}

}  // namespace

struct token_bucket_admission::tenant_usage {
    std::uint32_t running = 0;
    bool filled = false;
    double tokens = 0;
    base::monotonic_time refilled_at{};
};

class token_bucket_admission::ticket final : public admission_ticket {
  public:
    explicit ticket(std::shared_ptr<tenant_usage> usage) : usage_(std::move(usage)) {
        ++usage_->running;
    }
    ~ticket() override { --usage_->running; }
    ticket(const ticket&) = delete;
    ticket& operator=(const ticket&) = delete;

  private:
    std::shared_ptr<tenant_usage> usage_;
};

token_bucket_admission::token_bucket_admission(const base::clock& clock) : clock_(clock) {}
token_bucket_admission::~token_bucket_admission() = default;

void token_bucket_admission::refill(tenant_usage& usage, const catalog::tenant_limits& limits) {
    const auto now = clock_.now();
    const double burst = burst_of(limits);
    if (!usage.filled) {
        usage.filled = true;
        usage.tokens = burst;
    } else {
        const double earned = base::to_seconds(now - usage.refilled_at);
        usage.tokens = std::min(burst, usage.tokens + earned * limits.requests_per_second);
    }
    usage.refilled_at = now;
}

runtime::task<runtime::result<admission_grant, refusal>> token_bucket_admission::admit(
    admission_query query) {
    auto& usage = usage_[query.tenant];
    if (!usage) {
        usage = std::make_shared<tenant_usage>();
    }
    const catalog::tenant_limits& limits = query.limits;
    if (limits.concurrent_requests != 0 && usage->running >= limits.concurrent_requests) {
        co_return over_limit("The tenant has too many requests at work.", concurrency_retry);
    }
    if (limits.requests_per_second > 0) {
        refill(*usage, limits);
        if (usage->tokens < 1.0) {
            const double wait = (1.0 - usage->tokens) / limits.requests_per_second;
            co_return over_limit("The tenant sends requests too fast.", base::from_seconds(wait));
        }
        usage->tokens -= 1.0;
    }
    co_return admission_grant(std::make_unique<ticket>(usage));
}

}  // namespace ferryroad::router
