/// @file
/// What one member passes on: news of members, notices and the revision, within a bound of
/// entries a second.
#pragma once

#include "ferryroad/base/time.hpp"
#include "ferryroad/coordination/membership/member_table.hpp"
#include "ferryroad/coordination/membership/messages.hpp"
#include "ferryroad/coordination/membership/news_queue.hpp"
#include "ferryroad/coordination/membership/settings.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace ferryroad::coordination::membership {

/// Fills datagrams. Not thread-safe.
class dissemination {
  public:
    /// @param self, table outlive this object.
    dissemination(const detector_settings& settings, const member_update& self,
                  const member_table& table, base::monotonic_time now);

    /// To be called first in each event: earns allowance and forgets what is old.
    void advance(base::monotonic_time now);
    /// A member, or this one, has changed.
    void member_changed(const base::router_name& name);
    /// Another member is found not to know of `name`.
    void member_unknown_elsewhere(const base::router_name& name);
    /// Another member's view was found equal.
    void view_matched();
    /// @return whether the notice was news.
    bool spread(const notice& message);
    /// @return whether it was higher than the one before.
    bool set_revision(std::uint64_t revision);
    std::uint64_t revision() const { return revision_; }

    /// @return whether a datagram without probe is worth sending.
    bool has_news() const;
    /// Adds the revision and, as far as room and allowance go, notices and members.
    /// @param receiver null where unknown.
    void fill(datagram& message, const member_record* receiver);

  private:
    struct kept_notice {
        notice message;
        base::monotonic_time since;
    };
    struct latest_change {
        base::router_name name;
        base::monotonic_time at;
    };

    void add_notices(datagram& message);
    void add_news(datagram& message, const member_record* receiver);
    void add_repairs(datagram& message);
    void add_member(datagram& message, const base::router_name& name);
    std::uint32_t transmission_limit() const;
    std::size_t take_allowance(std::size_t wanted);

    const detector_settings& settings_;
    const member_update& self_;
    const member_table& table_;
    news_queue member_news_;
    news_queue notice_news_;
    std::map<std::string, kept_notice> notices_;
    std::deque<latest_change> latest_;  ///< The newest first.
    std::uint64_t revision_ = 0;
    std::uint32_t revision_transmissions_left_ = 0;
    double allowance_;
    base::monotonic_time now_;
};

}  // namespace ferryroad::coordination::membership
