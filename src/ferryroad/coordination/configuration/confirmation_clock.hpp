/// @file
/// Whether this process still knows that its configuration is the newest: the table or a
/// peer that knows must have said so within a limit.
#pragma once

#include "ferryroad/base/ids.hpp"
#include "ferryroad/base/time.hpp"

#include <optional>

namespace ferryroad::coordination::configuration {

class confirmation_clock {
  public:
    explicit confirmation_clock(base::duration limit) : limit_(limit) {}

    /// Somebody who knows said that the newest revision was `head`.
    /// @param asked_at when the question was sent: the answer may have been on its way long.
    /// @param own revision held here.
    void on_head_known(base::revision head, base::monotonic_time asked_at, base::revision own);
    /// The revision held here rose to `own`.
    void on_advanced(base::revision own);

    bool confirmed(base::monotonic_time now) const;
    /// @return when the held revision was last known to be the newest.
    std::optional<base::monotonic_time> confirmed_at() const { return confirmed_at_; }

  private:
    struct known_head {
        base::revision revision;
        base::monotonic_time asked_at;
    };

    base::duration limit_;
    std::optional<base::monotonic_time> confirmed_at_;
    std::optional<known_head> ahead_;  ///< Newer than what is held here.
};

}  // namespace ferryroad::coordination::configuration
