/// @file
/// Requests that succeeded recently, in memory of a fixed size.
#pragma once

#include "ferryroad/base/time.hpp"
#include "ferryroad/core/quarantine/request_identity.hpp"

#include <cstddef>
#include <vector>

namespace ferryroad::core::quarantine {

/// Direct-mapped cache: a request overwrites another one in the same slot. Some requests are
/// therefore forgotten early, but there are no false positives. 24 KB hold the requests that a
/// router completes in several seconds. Not thread-safe.
class recent_successes {
  public:
    static constexpr std::size_t slot_count = 1024;

    explicit recent_successes(base::duration lifetime)
        : m_lifetime(lifetime), m_slots(slot_count) {}

    void record(const request_identity& request, base::monotonic_time now) {
        m_slots[slot_of(request)] = {request, now};
    }
    bool contains(const request_identity& request, base::monotonic_time now) const {
        const entry& found = m_slots[slot_of(request)];
        return found.request == request && now - found.at < m_lifetime;
    }

  private:
    struct entry {
        request_identity request;
        base::monotonic_time at{};
    };

    static std::size_t slot_of(const request_identity& request) {
        return request.digest.high % slot_count;
    }

    base::duration m_lifetime;
    std::vector<entry> m_slots;
};

}  // namespace ferryroad::core::quarantine
