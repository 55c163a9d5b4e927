/// @file
/// Lets requests that wait at engines sleep until what they depend on may have changed.
#pragma once

#include "ferryroad/core/quarantine/request_identity.hpp"
#include "ferryroad/runtime/scheduler.hpp"

#include <cstddef>
#include <optional>
#include <unordered_map>

namespace ferryroad::relay {

/// Used from the event loop's thread. The scheduler outlives it, and it outlives what sleeps.
class waiting_requests {
  public:
    explicit waiting_requests(runtime::scheduler& scheduler) : m_scheduler(scheduler) {}
    waiting_requests(const waiting_requests&) = delete;
    waiting_requests& operator=(const waiting_requests&) = delete;

    /// Ends with the next `wake` of the request, or at `until` where there is such a moment. Asio
    /// cancellation ends it by exception.
    runtime::task<void> sleep(core::quarantine::request_identity request,
                              std::optional<base::monotonic_time> until);
    /// Wakes the request and its repeats, wherever they wait; costs nothing to the others.
    void wake(const core::quarantine::request_identity& request);
    /// @return how many sleep now.
    std::size_t size() const { return m_sleepers.size(); }

  private:
    class sleeper;

    runtime::scheduler& m_scheduler;
    std::unordered_multimap<core::quarantine::request_identity, sleeper*> m_sleepers;
};

}  // namespace ferryroad::relay
