/// @file
/// Admission queue with a concurrency limit: strict priority levels, weighted fair queueing
/// between tenants, deadlines, and aging against starvation.
#pragma once

#include "ferryroad/base/ids.hpp"
#include "ferryroad/base/time.hpp"
#include "ferryroad/core/admission/tunables.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace ferryroad::core::admission {

/// Priority of a request. Requests of a higher level start first.
enum class level : std::uint8_t { low, normal, high };
inline constexpr std::size_t level_count = 3;

/// A request submitted to the queue.
struct waiting_request {
    base::request_id request;
    base::tenant_name tenant;
    double weight = 1;  ///< Weight of the tenant within its level, above 0.
    level urgency = level::normal;
    /// Cost of the request, above 0, in any unit that all requests of the queue share.
    double work = 1;
    /// Latest start that can still meet the caller's deadline.
    base::monotonic_time start_by;
};

enum class queue_verdict {
    started,           ///< Capacity was free: the request runs now.
    queued,            ///< The request waits; `start_next` or `take_expired` returns it later.
    refused_deadline,  ///< The request is not expected to start before `start_by`.
    refused_full       ///< The queue has reached `admission_tunables::queue_length`.
};

struct queue_answer {
    queue_verdict verdict{};
    base::duration expected_wait{};
    /// Suggested delay before a retry; set only for a refused request.
    base::duration retry_after{};
};

/// Start-time fair queueing within each level. Higher levels go first, but while a request has
/// waited longer than `aging_bound`, one start in `aged_start_every` goes to the request that has
/// waited longest over all levels. The class does no I/O and reads no clock. The caller passes the
/// time, runs the requests returned, calls `finish` once for each of them, and calls `start_next`
/// until it returns nothing after each `arrive`, `finish` and `set_max_running`. Every request ends
/// in exactly one of: started, refused, expired, cancelled. Not thread-safe.
class fair_queue {
  public:
    /// @param max_running number of requests that may run at once.
    explicit fair_queue(std::size_t max_running,
                        admission_tunables tunables = default_admission_tunables);

    /// Changes the concurrency limit. Requests that are running already are not affected.
    void set_max_running(std::size_t max_running) { max_running_ = max_running; }

    /// Starts, queues or refuses a new request.
    queue_answer arrive(const waiting_request& request, base::monotonic_time now);
    /// Records that a started request has ended, which frees its capacity.
    void finish();
    /// @return the next request to start; nothing if no capacity is free or no waiting request
    /// can still start in time.
    std::optional<base::request_id> start_next(base::monotonic_time now);
    /// Removes the requests whose `start_by` has passed.
    /// @return these requests; each is returned once.
    std::vector<base::request_id> take_expired(base::monotonic_time now);
    /// Removes a waiting request because its caller has disconnected.
    /// @return whether the request was waiting.
    bool cancel(const base::request_id& request);
    /// @return when the next waiting request expires; nothing if none waits.
    std::optional<base::monotonic_time> next_expiry() const;

    std::size_t waiting() const { return by_request_.size(); }
    std::size_t running() const { return running_; }

  private:
    struct queued_request {
        waiting_request request;
        base::monotonic_time arrived_at;
        std::uint64_t number = 0;  ///< Increases with each arrival.
    };
    /// Ordered by arrival, oldest first.
    using arrival_list = std::list<queued_request>;
    using arrival = arrival_list::iterator;

    /// Requests of one tenant at one level, in order of arrival.
    struct tenant_queue {
        std::list<arrival> requests;
        double queued_work = 0;
        double weight = 1;      ///< Weight given by the tenant's latest request.
        double finish_tag = 0;  ///< Virtual finish time of the work started for the tenant.
    };
    struct level_state {
        double virtual_time = 0;
        double queued_work = 0;
        std::unordered_map<base::tenant_name, tenant_queue> tenants;
    };
    struct queue_position {
        arrival request;
        std::list<arrival>::iterator in_tenant;
        std::multimap<base::monotonic_time, base::request_id>::iterator in_expiry;
    };

    static double start_tag(const level_state& state, const tenant_queue& queue);
    base::duration expected_wait(const waiting_request& request) const;
    /// @return the oldest request that has waited longer than the aging bound, or
    /// `arrivals_.end()`.
    arrival choose_aged(base::monotonic_time now);
    /// @return the next request by priority and fair queueing, or `arrivals_.end()`.
    arrival choose_fair(base::monotonic_time now);
    arrival choose_fair(const level_state& state, base::monotonic_time now);
    void start_waiting(arrival chosen, bool aged, base::monotonic_time now);
    /// @param aged whether the request starts because of its age. It is charged to the tenant, but
    /// virtual time does not advance, so that the order of the other requests is unchanged.
    void record_start(const waiting_request& request, bool aged);
    /// Updates the measured service rate with a start that took place while requests waited.
    void record_service(double work, base::monotonic_time now);
    void insert(const waiting_request& request, base::monotonic_time now);
    void erase(const base::request_id& request);

    admission_tunables tunables_;
    std::size_t max_running_;
    std::size_t running_ = 0;
    std::array<level_state, level_count> levels_;
    arrival_list arrivals_;
    std::unordered_map<base::request_id, queue_position> by_request_;
    std::multimap<base::monotonic_time, base::request_id> by_expiry_;
    std::uint64_t next_number_ = 0;
    std::size_t starts_since_aged_ = 0;
    /// Seconds between starts while requests wait; 0 until measured.
    double mean_start_interval_ = 0;
    double mean_started_work_ = 0;
    std::optional<base::monotonic_time> last_start_while_waiting_;
};

}  // namespace ferryroad::core::admission
