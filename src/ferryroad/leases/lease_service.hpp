/// @file
/// Leases in the platform's table. Each one grants a role to a single router at a time; this
/// service acquires, renews and releases the leases of one router.
#pragma once

#include "ferryroad/coordination/lease/lease_holder.hpp"
#include "ferryroad/platform/services.hpp"
#include "ferryroad/runtime/scheduler.hpp"

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace ferryroad::leases {

using lease_name = base::strong_id<struct lease_name_tag, std::string>;

struct lease_service_settings {
    coordination::lease::lease_settings lease;
    /// Longest time until the service checks again whether a lease is wanted.
    base::duration check_period = std::chrono::milliseconds(500);
};

/// Not thread-safe: used from the event loop's thread only. Must exist until the event loop has
/// ended. The scheduler and the table must outlive it.
class lease_service {
  public:
    lease_service(runtime::scheduler& scheduler, platform::table& table,
                  coordination::lease::lease_identity self, lease_service_settings settings = {});

    /// Tries to acquire and keep the lease `name` while `wanted` returns true, and releases it
    /// when `wanted` returns false. Call it once per lease.
    /// @param note returns the note for the next holder. Called before each write of the lease's
    /// row by its holder, the release included. If empty, the row keeps the note that it has.
    void contend(lease_name name, std::function<bool()> wanted,
                 std::function<std::uint64_t()> note = {});
    /// Releases all leases and ends the coroutines that maintain them.
    void stop() { stopped_ = true; }

    /// Call it right before each operation that the lease protects.
    /// @return the fencing token that the operation must carry, or nothing if this router doesn't
    /// hold the lease, no longer wants it or is stopping.
    std::optional<base::fencing_token> token(const lease_name& name) const;

    /// @return whether this router holds the lease, even if it is no longer wanted.
    bool holds(const lease_name& name) const;

    /// @return the fencing token of this router's hold, even if the lease is no longer wanted, this
    /// router is stopping or the hold has just expired; nothing if there is no hold.
    std::optional<base::fencing_token> hold_token(const lease_name& name) const;

    /// @return the note that is known to be stored; nothing if this router doesn't hold the
    /// lease, another note is to replace it or the outcome of a write is still unknown.
    std::optional<std::uint64_t> stored_note(const lease_name& name) const;
    /// @return the note that the previous holder left in the row; 0 if there is none.
    std::uint64_t predecessor_note(const lease_name& name) const;
    /// @return a time by which the previous holder's lease had certainly expired or been released.
    base::monotonic_time predecessor_end(const lease_name& name) const;

    /// @return number of table calls made for leases so far.
    std::uint64_t table_calls() const { return table_calls_; }

  private:
    struct contended_lease {
        coordination::lease::lease_holder holder;
        std::function<bool()> wanted;
        std::function<std::uint64_t()> note;  ///< May be empty.
    };

    runtime::task<void> run(lease_name name, contended_lease& lease);
    /// Performs the table read or write that the lease's state machine requests.
    runtime::task<coordination::lease::event> perform(platform::row_key key,
                                                      coordination::lease::action action);
    runtime::task<coordination::lease::event> read(platform::row_key key);
    runtime::task<coordination::lease::event> write(platform::row_key key,
                                                    coordination::lease::write_row update);

    runtime::scheduler& scheduler_;
    platform::table& table_;
    coordination::lease::lease_identity self_;
    lease_service_settings settings_;
    std::map<lease_name, contended_lease> leases_;
    std::uint64_t table_calls_ = 0;
    bool stopped_ = false;
};

}  // namespace ferryroad::leases
