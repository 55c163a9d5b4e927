/// @file
/// The other members as this one sees them, with the digest that two members compare and the
/// order in which they are probed.
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

struct member_record {
    member_update update;
    base::monotonic_time changed_at;
    /// Its last datagram carried another digest than ours.
    bool view_differs = false;
};

/// @return this entry's part of a view's digest (parts are combined by exclusive or). Dead
/// members have none, because they are forgotten at different times.
std::uint64_t digest_part(const member_update& update);

/// @return whether `update` replaces `known`: higher incarnation, or a later state in the same.
bool supersedes(const member_update& update, const member_update& known);

/// Not thread-safe. References stay valid until the member is forgotten.
class member_table {
  public:
    /// @param random outlives the table.
    explicit member_table(base::random_source& random) : random_(random) {}

    member_record* find(const base::router_name& name);
    const member_record* find(const base::router_name& name) const;
    /// Adds or replaces; the caller has checked that it supersedes.
    void put(const member_update& update, base::monotonic_time now);
    /// Forgets members that have been dead since before `before`.
    void forget_dead(base::monotonic_time before);

    /// @return the next member to probe: every live one once in each round, in random order.
    std::optional<base::router_name> next_probe_target();
    /// @return up to `count` different live members.
    std::vector<const member_record*> sample_live(std::size_t count) const;
    /// @return one dead member.
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
    /// Adds (or with -1 takes away) the record's part in counts, digest and order.
    void count(const member_update& update, bool present);

    base::random_source& random_;
    std::map<base::router_name, member_record> records_;
    std::vector<base::router_name> probe_order_;  ///< Live members.
    std::size_t probe_cursor_ = 0;
    std::size_t suspects_ = 0;
    std::uint64_t digest_ = 0;
};

}  // namespace ferryroad::coordination::membership
