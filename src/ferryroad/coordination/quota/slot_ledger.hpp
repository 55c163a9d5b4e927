/// @file
/// Counts the slots of engines that all routers use, for engines that crash if they reject too many
/// requests. One router, the home, does so for an engine. Routers report the slots that they use in
/// absolute numbers, with each ask and repeatedly, so that a lost message or a new home does no
/// lasting harm.
#pragma once

#include "ferryroad/base/ids.hpp"
#include "ferryroad/base/time.hpp"
#include "ferryroad/coordination/quota/learned_room.hpp"
#include "ferryroad/coordination/quota/retry_queue.hpp"
#include "ferryroad/coordination/quota/types.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <unordered_map>

namespace ferryroad::coordination::quota {

/// Interval at which routers repeat their reports.
inline constexpr base::duration slot_report_interval = std::chrono::milliseconds(500);

struct slot_ledger_tunables {
    /// A report counts for this long. Routers that use slots repeat it sooner.
    base::duration report_lifetime = 3 * slot_report_interval;
    /// How long the reports about an engine that was not counted here before are gathered.
    base::duration gathering_period = slot_report_interval;
    /// For this long after its start, a process may not know all routers, nor they it.
    base::duration startup_period = std::chrono::seconds(4);
    /// Requests that wait for a slot of an engine, as a share of its room. A request waits about as
    /// long as an engine is busy with one, so that a longer queue would be waited in in vain.
    double longest_queue = 1.0;
    /// Refused requests retry one after the other at this interval, at most `longest_retry_queue`
    /// later, so that asks for an engine are bounded whatever the number of routers.
    base::duration retry_interval = std::chrono::milliseconds(10);
    base::duration longest_retry_queue = std::chrono::seconds(1);
    /// Share of the rejections that an engine bears after which it gets no requests until they are
    /// `rejection_window` old. The rest is for requests on their way.
    double tolerated_rejections = 0.5;
    base::duration rejection_window = std::chrono::seconds(1);
    /// Engines that nobody asked for during this time are forgotten, with their learned room.
    base::duration account_lifetime = std::chrono::seconds(60);
    learned_room_tunables room;
};

/// Identifies an ask for a slot: the asking router, and the number of its message.
struct slot_ask_id {
    base::router_name asker;
    std::uint64_t number = 0;

    friend bool operator==(const slot_ask_id&, const slot_ask_id&) = default;
    friend bool operator<(const slot_ask_id& first, const slot_ask_id& second) {
        return std::tie(first.asker, first.number) < std::tie(second.asker, second.number);
    }
};

/// Pure: the verdict depends only on the state, the ask and the time. Not thread-safe.
class slot_ledger {
  public:
    /// @param started when this process started.
    explicit slot_ledger(base::monotonic_time started, slot_ledger_tunables tunables = {})
        : m_tunables(tunables), m_startup_until(started + tunables.startup_period) {}

    /// Records the slots that the asking router uses and, if the amount is above 0, decides whether
    /// it may use one more. Slots may have become free; see `take_granted`.
    /// @param ask must have `slots`.
    quota_verdict decide(const base::router_name& asker, const quota_ask& ask,
                         base::monotonic_time now);
    /// @return the next queued ask that gets a slot of the engine; nothing if there is none.
    std::optional<slot_ask_id> take_granted(const quota_subject& engine, base::monotonic_time now);
    /// @return number of engines counted here.
    std::size_t size() const { return m_accounts.size(); }
    /// Removes engines that nobody asks for any more. Must be called periodically.
    void reclaim(base::monotonic_time now);

  private:
    /// The use of one router.
    struct reported_use {
        std::uint64_t asker_process = 0;
        std::uint64_t number = 0;  ///< Of the newest message.
        std::uint32_t running = 0;
        /// Asks that were granted and may not be counted as running by the router yet.
        std::set<std::uint64_t> granted;
        base::monotonic_time reported_at{};

        std::size_t in_use() const { return running + granted.size(); }
    };
    struct queued_ask {
        slot_ask_id id;
        base::monotonic_time until;
    };
    struct account {
        account(base::monotonic_time grants, std::uint64_t process, const learned_room& learned)
            : grants_from(grants), process_start_ms(process), room(learned) {}

        base::monotonic_time grants_from;
        std::uint64_t process_start_ms;
        learned_room room;
        std::map<base::router_name, reported_use> uses;
        std::deque<base::monotonic_time> rejections;  ///< Of the last `rejection_window`.
        std::deque<queued_ask> queue;
        slot_use newest;  ///< As last reported by any router.
        retry_queue retries;
        base::monotonic_time asked_at{};
    };

    account& account_of(const quota_ask& ask, base::monotonic_time now);
    /// @return the slots in use by all routers.
    std::size_t total_use(account& counted, base::monotonic_time now) const;
    void record_rejections(account& counted, const slot_use& use, base::monotonic_time now) const;
    /// Records a router's use. Forgets its earlier asks that don't wait any more.
    /// @return the use, or null if the message was overtaken by a newer one.
    static reported_use* record_use(account& counted, const base::router_name& asker,
                                    const slot_use& use, base::monotonic_time now);
    /// @return whether the engine may get one more request.
    bool has_room(account& counted, base::monotonic_time now) const;
    /// @return when the engine may get requests again after rejections; not later than `now` if it
    /// may get some now.
    base::monotonic_time pause_end(const account& counted, const slot_use& use,
                                   base::monotonic_time now) const;

    slot_ledger_tunables m_tunables;
    base::monotonic_time m_startup_until;
    std::unordered_map<quota_subject, account, quota_subject_hash> m_accounts;
};

}  // namespace ferryroad::coordination::quota
