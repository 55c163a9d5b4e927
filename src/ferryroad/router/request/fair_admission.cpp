#include "ferryroad/router/request/fair_admission.hpp"

#include <boost/asio/experimental/channel.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <map>
#include <unordered_map>
#include <utility>

namespace ferryroad::router {

namespace admission = core::admission;

namespace {

using start_signal = boost::asio::experimental::channel<void(boost::system::error_code)>;

refusal not_run(refusal_code code, std::string message, base::duration retry_after) {
    return {code, std::move(message), core::execution::execution_report::not_run, retry_after};
}

refusal over_limit(const admission::limit_answer& answer) {
    const bool rate = answer.verdict == admission::limit_verdict::over_rate;
    return not_run(
        refusal_code::over_limit,
        rate ? "The tenant sends requests too fast." : "The tenant has too many requests at work.",
        answer.retry_after);
}

refusal queue_refusal(const admission::queue_answer& answer) {
    const bool full = answer.verdict == admission::queue_verdict::refused_full;
    return not_run(refusal_code::overloaded,
                   full ? "Too many requests wait for this pool."
                        : "The request would wait past its deadline.",
                   answer.retry_after);
}

admission::level level_of(catalog::request_priority priority) {
    return static_cast<admission::level>(priority);
}

admission::waiting_request waiting_of(const admission_query& query) {
    admission::waiting_request waiting;
    waiting.request = query.request;
    waiting.tenant = query.tenant;
    waiting.weight = query.weight;
    waiting.urgency = level_of(query.priority);
    waiting.work = std::max(1.0, static_cast<double>(query.prompt_tokens + query.max_tokens));
    waiting.start_by = query.deadline;
    return waiting;
}

}  // namespace

struct fair_admission::state {
    state(runtime::scheduler& scheduler_in, const engine_directory& directory_in,
          tenant_quota& quota_in, admission_limits limits_in)
        : scheduler(scheduler_in), directory(directory_in), quota(quota_in), limits(limits_in) {}

    /// The queue of one pool, with the signals that start its waiting requests.
    struct pool_queue {
        explicit pool_queue(std::size_t places) : queue(places) {}
        admission::fair_queue queue;
        std::unordered_map<base::request_id, std::shared_ptr<start_signal>> signals;
    };

    pool_queue& queue_of(const base::pool_name& pool);
    void start_waiting(pool_queue& pool);

    runtime::scheduler& scheduler;
    const engine_directory& directory;
    tenant_quota& quota;
    admission_limits limits;
    admission::tenant_limiter limiter;
    std::map<base::pool_name, pool_queue> pools;
};

namespace {

/// Frees the tenant's place on destruction.
template <typename State>
class tenant_place {
  public:
    tenant_place(std::shared_ptr<State> owner, base::tenant_name tenant)
        : owner_(std::move(owner)), tenant_(std::move(tenant)) {}
    ~tenant_place() { owner_->limiter.finish(tenant_, owner_->scheduler.now()); }
    tenant_place(const tenant_place&) = delete;
    tenant_place& operator=(const tenant_place&) = delete;

  private:
    std::shared_ptr<State> owner_;
    base::tenant_name tenant_;
};

/// A request's place in a pool, waiting or running. On destruction it is freed and the next
/// waiting request starts.
template <typename State>
class pool_place {
  public:
    pool_place(std::shared_ptr<State> owner, base::pool_name pool, base::request_id request)
        : owner_(std::move(owner)), pool_(std::move(pool)), request_(std::move(request)) {}
    ~pool_place() {
        auto& pool = owner_->queue_of(pool_);
        pool.signals.erase(request_);
        if (!pool.queue.cancel(request_)) {
            pool.queue.finish();
        }
        owner_->start_waiting(pool);
    }
    pool_place(const pool_place&) = delete;
    pool_place& operator=(const pool_place&) = delete;

  private:
    std::shared_ptr<State> owner_;
    base::pool_name pool_;
    base::request_id request_;
};

/// Holds a request's places. Destruction frees the pool's place before the tenant's.
template <typename State>
class fair_ticket final : public admission_ticket {
  public:
    fair_ticket(std::unique_ptr<tenant_place<State>> tenant,
                std::unique_ptr<pool_place<State>> pool)
        : tenant_(std::move(tenant)), pool_(std::move(pool)) {}

  private:
    std::unique_ptr<tenant_place<State>> tenant_;
    std::unique_ptr<pool_place<State>> pool_;
};

}  // namespace

fair_admission::state::pool_queue& fair_admission::state::queue_of(const base::pool_name& pool) {
    const std::size_t engines = directory.available(pool).size();
    const std::size_t places = std::max<std::size_t>(engines, 1) * limits.max_requests_per_engine;
    const auto [found, added] = pools.try_emplace(pool, places);
    found->second.queue.set_max_running(places);
    return found->second;
}

void fair_admission::state::start_waiting(pool_queue& pool) {
    while (const auto started = pool.queue.start_next(scheduler.now())) {
        const auto waiting = pool.signals.find(*started);
        if (waiting != pool.signals.end()) {
            waiting->second->try_send(boost::system::error_code());
        }
    }
}

fair_admission::fair_admission(runtime::scheduler& scheduler, const engine_directory& directory,
                               tenant_quota& quota, admission_limits limits)
    : state_(std::make_shared<state>(scheduler, directory, quota, limits)) {}

fair_admission::~fair_admission() = default;

runtime::task<runtime::result<admission_grant, refusal>> fair_admission::admit(
    admission_query query) {
    const auto owner = state_;
    const auto now = owner->scheduler.now();
    const auto share = owner->quota.share_of(query.tenant, query.limits);
    const auto local_result = owner->limiter.admit(query.tenant, share, now);
    if (local_result.verdict != admission::limit_verdict::admitted) {
        co_return over_limit(local_result);
    }
    auto tenant = std::make_unique<tenant_place<state>>(owner, query.tenant);
    base::tenant_name counted = query.tenant;
    const auto fleet_result = co_await owner->quota.count(std::move(counted), query.limits);
    if (fleet_result.verdict != admission::limit_verdict::admitted) {
        co_return over_limit(fleet_result);
    }
    auto& pool = owner->queue_of(query.pool);
    const auto queue_result = pool.queue.arrive(waiting_of(query), owner->scheduler.now());
    const bool started = queue_result.verdict == admission::queue_verdict::started;
    if (!started && queue_result.verdict != admission::queue_verdict::queued) {
        co_return queue_refusal(queue_result);
    }
    auto place = std::make_unique<pool_place<state>>(owner, query.pool, query.request);
    if (!started) {
        auto signal = std::make_shared<start_signal>(owner->scheduler.executor(), std::size_t{1});
        pool.signals.emplace(query.request, signal);
        owner->start_waiting(pool);
        co_await signal->async_receive(boost::asio::use_awaitable);
    }
    co_return admission_grant(
        std::make_unique<fair_ticket<state>>(std::move(tenant), std::move(place)));
}

std::size_t fair_admission::waiting(const base::pool_name& pool) const {
    const auto found = state_->pools.find(pool);
    return found == state_->pools.end() ? 0 : found->second.queue.waiting();
}

}  // namespace ferryroad::router
