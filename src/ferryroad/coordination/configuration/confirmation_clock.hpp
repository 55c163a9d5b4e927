/// @file
/// Tracks whether this process still knows that its configuration is the newest: the table, or a
/// peer that has confirmed it, must have said so within a time limit.
#pragma once

#include "ferryroad/base/ids.hpp"
#include "ferryroad/base/time.hpp"

#include <optional>

namespace ferryroad::coordination::configuration {

/// Not thread-safe.
class confirmation_clock {
  public:
    /// @param limit how long a confirmation is valid.
    explicit confirmation_clock(base::duration limit) : limit_(limit) {}

    /// The table or a confirmed peer reported that `head` is the newest revision.
    /// @param asked_at when the request was sent; its answer may have been delayed.
    /// @param own revision held by this process.
    void on_head_known(base::revision head, base::monotonic_time asked_at, base::revision own);
    /// The revision held by this process rose to `own`.
    void on_advanced(base::revision own);

    /// @return whether the held revision was confirmed as the newest within the limit.
    bool confirmed(base::monotonic_time now) const;
    /// @return when the held revision was last known to be the newest, or nothing if it never was.
    std::optional<base::monotonic_time> confirmed_at() const { return confirmed_at_; }

  private:
    struct known_head {
        base::revision revision;
        base::monotonic_time asked_at;
    };

    base::duration limit_;
    std::optional<base::monotonic_time> confirmed_at_;
    std::optional<known_head> ahead_;  ///< Newest head heard of that is ahead of the held revision.
};

}  // namespace ferryroad::coordination::configuration
