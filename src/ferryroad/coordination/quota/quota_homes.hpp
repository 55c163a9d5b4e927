/// @file
/// Chooses the home router of each subject of a limit, which counts its requests for all routers.
/// Every router computes the same home from the list of routers, without communication. The home of
/// a subject that lies in a region is one of the region's routers, if it has any: most requests to
/// the subject come from there, and regions may lose each other. A router that doesn't answer is
/// excluded for a while.
#pragma once

#include "ferryroad/base/ids.hpp"
#include "ferryroad/base/time.hpp"
#include "ferryroad/coordination/quota/types.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace ferryroad::coordination::quota {

/// Settings of `quota_homes`.
struct homes_tunables {
    /// Number of consecutive asks without an answer after which a router is excluded. Single
    /// datagrams do get lost, and two home routers for one subject at the same time may grant too
    /// much.
    std::uint32_t exclude_after_unanswered = 3;
    /// First exclusion of a router: about the time a process takes to restart.
    base::duration first_exclusion = std::chrono::seconds(2);
    /// The exclusion doubles each time the router doesn't answer again, up to this.
    base::duration longest_exclusion = std::chrono::seconds(16);
};

/// Regions of routers; none for a router whose region is not known.
using router_regions = std::map<base::router_name, base::region_name>;

/// Chooses home routers by rendezvous hashing. Not thread-safe.
class quota_homes {
  public:
    explicit quota_homes(homes_tunables tunables = {}) : m_tunables(tunables) {}

    /// Sets the list of routers that are present, including the one that asks.
    void declare(std::vector<base::router_name> present, router_regions regions = {});
    /// @param region of the subject; empty if it lies in none.
    /// @return the router to ask for the subject, or nothing if all are excluded.
    std::optional<base::router_name> home_of(const quota_subject& subject, base::monotonic_time now,
                                             const base::region_name& region = {}) const;
    /// The same for any other task that one router does for all.
    /// @param subject identifies the task.
    std::optional<base::router_name> home_for(std::string_view subject,
                                              base::monotonic_time now) const;
    /// @return the subject's home regardless of exclusions, or nothing if no router is present.
    std::optional<base::router_name> first_home_of(const quota_subject& subject,
                                                   const base::region_name& region = {}) const;
    /// @return whether the router is excluded because it didn't answer.
    bool is_excluded(const base::router_name& home, base::monotonic_time now) const;
    /// The router answered an ask. @return whether it had been excluded.
    bool answered(const base::router_name& home);
    /// The router did not answer an ask in time. @return for how long it is excluded from now on;
    /// nothing if it isn't.
    std::optional<base::duration> silent(const base::router_name& home, base::monotonic_time now);
    /// @return number of routers present.
    std::size_t size() const { return m_present.size(); }

  private:
    struct exclusion_state {
        std::uint32_t unanswered_asks = 0;
        base::duration last_exclusion{};  ///< Length of the last exclusion.
        base::monotonic_time excluded_until{};
    };

    /// @return the router with the highest score for the subject among those that may be home.
    template <typename Predicate>
    std::optional<base::router_name> best_of(std::string_view subject,
                                             const Predicate& may_be_home) const;
    /// As `best_of`, among the routers of the region if one of them may be home.
    template <typename Predicate>
    std::optional<base::router_name> best_near(std::string_view subject,
                                               const base::region_name& region,
                                               const Predicate& may_be_home) const;

    homes_tunables m_tunables;
    std::vector<base::router_name> m_present;
    router_regions m_regions;
    std::map<base::router_name, exclusion_state> m_exclusions;
};

}  // namespace ferryroad::coordination::quota
