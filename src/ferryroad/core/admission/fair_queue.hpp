/// @file
/// Requests that wait for a place: by priority, fair between tenants, never past their
/// deadline, and never starved.
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

/// Urgency of a request; a higher level starts first.
enum class level : std::uint8_t { low, normal, high };
inline constexpr std::size_t level_count = 3;

/// One request that wants to start.
struct waiting_request {
    base::request_id request;
    base::tenant_name tenant;
    double weight = 1;  ///< The tenant's share of starts within its level, above 0.
    level urgency = level::normal;
    /// Work it brings, in any unit that is the same for all, above 0.
    double work = 1;
    /// A start later than this can't meet the caller's deadline.
    base::monotonic_time start_by;
};

enum class queue_verdict {
    started,           ///< A place was free: it runs now.
    queued,            ///< It waits; `start_next` or `take_expired` names it later.
    refused_deadline,  ///< It would start too late.
    refused_full       ///< Too many wait already.
};

struct queue_answer {
    queue_verdict verdict{};
    base::duration expected_wait{};
    /// When to come back, where refused.
    base::duration retry_after{};
};

/// Start-time fair queueing within each level; a higher level goes first, but while a
/// request has waited longer than the aging bound, one start in `aged_start_every` goes to
/// the longest waiting one of all. Pure: the caller tells the time, starts what is returned
/// calls `finish` for each, and calls `start_next` until
/// nothing comes after `arrive`, `finish` and `change_places`. Every request ends in exactly one
/// of: started, refused, expired, cancelled.
class fair_queue {
  public:
    /// @param places requests that may run at once.
    explicit fair_queue(std::size_t places,
                        admission_tunables tunables = default_admission_tunables);

    /// More or fewer places from now on; running requests keep theirs.
    void change_places(std::size_t places) { places_ = places; }

    queue_answer arrive(const waiting_request& request, base::monotonic_time now);
    /// A started request has ended; its place is free.
    void finish();
    /// @return the next request to start, if a place is free and one waits that isn't late.
    std::optional<base::request_id> start_next(base::monotonic_time now);
    /// @return requests that can't start in time any more; each is given out once.
    std::vector<base::request_id> take_expired(base::monotonic_time now);
    /// The caller is gone. @return true where it waited.
    bool cancel(const base::request_id& request);
    /// @return when the next waiting request expires.
    std::optional<base::monotonic_time> next_expiry() const;

    std::size_t waiting() const { return by_request_.size(); }
    std::size_t running() const { return running_; }

  private:
    struct queued_request {
        waiting_request request;
        base::monotonic_time arrived_at;
        std::uint64_t number = 0;  ///< Rises with each arrival.
    };
    /// Longest waiting first.
    using arrival_list = std::list<queued_request>;
    using arrival = arrival_list::iterator;

    /// A tenant's requests of one level, in the order of their arrival.
    struct tenant_queue {
        std::list<arrival> requests;
        double queued_work = 0;
        double weight = 1;      ///< As of its latest request.
        double finish_tag = 0;  ///< Virtual time at which its started work is paid off.
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
    /// @return the request to start out of turn, or the end of `arrivals_`.
    arrival choose_aged(base::monotonic_time now);
    /// @return the request whose turn it is, or the end of `arrivals_`.
    arrival choose_fair(base::monotonic_time now);
    arrival choose_fair(const level_state& state, base::monotonic_time now);
    void start_waiting(arrival chosen, bool out_of_turn, base::monotonic_time now);
    /// @param out_of_turn the tenant pays, but virtual time stays: those behind keep their turn.
    void record_start(const waiting_request& request, bool out_of_turn);
    void record_service(double work, base::monotonic_time now);
    void insert(const waiting_request& request, base::monotonic_time now);
    void erase(const base::request_id& request);

    admission_tunables tunables_;
    std::size_t places_;
    std::size_t running_ = 0;
    std::array<level_state, level_count> levels_;
    arrival_list arrivals_;
    std::unordered_map<base::request_id, queue_position> by_request_;
    std::multimap<base::monotonic_time, base::request_id> by_expiry_;
    std::uint64_t next_number_ = 0;
    std::size_t starts_since_aged_ = 0;
    /// Between starts while requests wait; 0 until measured.
    double mean_start_interval_ = 0;
    double mean_started_work_ = 0;
    std::optional<base::monotonic_time> last_start_while_waiting_;
};

}  // namespace ferryroad::core::admission
