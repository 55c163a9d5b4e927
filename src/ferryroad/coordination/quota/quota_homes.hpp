/// @file
/// Which router counts for a tenant: all reckon the same one from the list of routers, without
/// talking. One that doesn't answer is passed over for a moment.
#pragma once

#include "ferryroad/base/ids.hpp"
#include "ferryroad/base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace ferryroad::coordination::quota {

struct homes_tunables {
    /// Asks in a row without an answer, after which a router is passed over: datagrams are lost
    /// now and then, and two routers that count for a tenant at once may grant too much.
    std::uint32_t silent_asks = 3;
    /// How long it is passed over at first: about as long as a process takes to start again.
    base::duration passed_over = std::chrono::seconds(2);
    /// Twice as long for each further silence, up to this.
    base::duration longest_passed_over = std::chrono::seconds(16);
};

/// Not thread-safe.
class quota_homes {
  public:
    explicit quota_homes(homes_tunables tunables = {}) : m_tunables(tunables) {}

    /// Takes the whole list of routers that are present, the asking one among them.
    void declare(std::vector<base::router_name> present);
    /// @return the router to ask for the tenant; nothing where all are passed over.
    std::optional<base::router_name> home_of(const base::tenant_name& tenant,
                                             base::monotonic_time now) const;
    /// The same for anything else that one router does for all. @param subject names it.
    std::optional<base::router_name> home_for(std::string_view subject,
                                              base::monotonic_time now) const;
    /// An ask was answered.
    void answered(const base::router_name& home) { m_silences.erase(home); }
    /// An ask was not answered in time.
    void silent(const base::router_name& home, base::monotonic_time now);
    /// @return routers present.
    std::size_t size() const { return m_present.size(); }

  private:
    struct silence {
        std::uint32_t asks = 0;
        base::duration passed_over{};  ///< As long as it was last.
        base::monotonic_time until{};
    };

    bool is_passed_over(const base::router_name& home, base::monotonic_time now) const;

    homes_tunables m_tunables;
    std::vector<base::router_name> m_present;
    std::map<base::router_name, silence> m_silences;
};

}  // namespace ferryroad::coordination::quota
