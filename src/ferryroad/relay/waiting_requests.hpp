/// @file
/// Suspends requests that wait at engines until their preconditions may have changed.
#pragma once

#include "ferryroad/core/quarantine/request_identity.hpp"
#include "ferryroad/runtime/scheduler.hpp"

#include <cstddef>
#include <optional>
#include <unordered_map>

namespace ferryroad::relay {

/// Used from the event loop's thread. The scheduler must outlive it, and it must outlive all
/// coroutines that sleep in it.
class waiting_requests {
  public:
    explicit waiting_requests(runtime::scheduler& scheduler) : m_scheduler(scheduler) {}
    waiting_requests(const waiting_requests&) = delete;
    waiting_requests& operator=(const waiting_requests&) = delete;

    /// Completes on the next `wake` of the request, or at `until` if given. Throws if cancelled.
    runtime::task<void> sleep(core::quarantine::request_identity request,
                              std::optional<base::monotonic_time> until);
    /// Wakes the request and all of its repeats; other requests keep sleeping.
    void wake(const core::quarantine::request_identity& request);
    /// Wakes all requests.
    void wake_all();
    /// @return the number of sleeping requests.
    std::size_t size() const { return m_sleepers.size(); }

  private:
    class sleeper;

    runtime::scheduler& m_scheduler;
    std::unordered_multimap<core::quarantine::request_identity, sleeper*> m_sleepers;
};

}  // namespace ferryroad::relay
