/// @file
/// The other members as seen by this one, with a digest to compare views between members and the
/// order in which members are probed.
#pragma once

#include "ferryroad/base/random.hpp"
#include "ferryroad/base/time.hpp"
#include "ferryroad/coordination/membership/messages.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace ferryroad::coordination::membership {

/// State of one other member.
struct member_record {
    member_update update;
    base::monotonic_time changed_at;
    /// Its last datagram carried a digest that differs from this member's.
    bool view_differs = false;
};

/// @return the part of this entry in the digest of a view; the parts are combined by exclusive or.
/// Dead members contribute nothing, because members forget them at different times.
std::uint64_t digest_part(const member_update& update);

/// @return whether `update` replaces `known`: it has a higher incarnation, or the same incarnation
/// and a later state.
bool supersedes(const member_update& update, const member_update& known);

/// The known members. Not thread-safe. References stay valid until the member is forgotten.
class member_table {
  public:
    /// @param random must outlive the table.
    explicit member_table(base::random_source& random) : random_(random) {}

    /// @return the member, or null if it is unknown.
    member_record* find(const base::router_name& name);
    const member_record* find(const base::router_name& name) const;
    /// Adds or replaces a member. The caller has checked that `update` supersedes the known state.
    void put(const member_update& update, base::monotonic_time now);
    /// Removes members that have been dead since before `before`.
    void forget_dead(base::monotonic_time before);

    /// @return the next member to probe, or nothing if no member is live. Each round probes every
    /// live member once, in random order.
    std::optional<base::router_name> next_probe_target();
    /// @return up to `count` distinct live members, chosen at random.
    std::vector<const member_record*> sample_live(std::size_t count) const;
    /// @return a random dead member, or null if there is none.
    const member_record* sample_dead() const;
    /// @return whether a live member has this address.
    bool live_at(const base::endpoint& address) const;

    const std::map<base::router_name, member_record>& records() const { return records_; }
    std::map<base::router_name, member_record>& records() { return records_; }
    std::size_t live_count() const { return probe_order_.size(); }
    std::size_t suspect_count() const { return suspects_; }
    std::uint64_t digest() const { return digest_; }

  private:
    void add_live(const base::router_name& name);
    void remove_live(const base::router_name& name);
    /// Adds the entry's part to the digest and the number of suspects; with `present` false,
    /// removes it.
    void count(const member_update& update, bool present);

    base::random_source& random_;
    std::map<base::router_name, member_record> records_;
    std::vector<base::router_name> probe_order_;  ///< Live members.
    std::size_t probe_cursor_ = 0;
    std::size_t suspects_ = 0;
    std::uint64_t digest_ = 0;
};

}  // namespace ferryroad::coordination::membership
