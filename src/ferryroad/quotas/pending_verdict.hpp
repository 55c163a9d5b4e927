/// @file
/// Waits for a verdict that arrives later.
#pragma once

#include "ferryroad/coordination/quota/types.hpp"
#include "ferryroad/runtime/boot_clock.hpp"
#include "ferryroad/runtime/task.hpp"

#include <optional>

namespace ferryroad::quotas {

/// Not thread-safe. Must outlive its waits.
class pending_verdict {
  public:
    explicit pending_verdict(const boost::asio::any_io_executor& executor) : m_timer(executor) {}

    /// @return the verdict once it has arrived, or nothing after `timeout`.
    runtime::task<std::optional<coordination::quota::quota_verdict>> wait(base::duration timeout);
    /// Ends a wait. A verdict that says that the request is queued may be followed by another one.
    void resolve(const coordination::quota::quota_verdict& verdict);

  private:
    runtime::boot_timer m_timer;
    std::optional<coordination::quota::quota_verdict> m_verdict;
};

}  // namespace ferryroad::quotas
