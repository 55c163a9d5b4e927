/// @file
/// What succeeded recently, in memory of a fixed size.
#pragma once

#include "ferryroad/base/time.hpp"

#include <cstddef>
#include <vector>

namespace ferryroad::core::quarantine {

/// Direct-mapped cache: an entry overwrites another one in the same slot. Some are therefore
/// forgotten early, but there are no false positives. 24 KB hold the requests that a router
/// completes in several seconds. Not thread-safe.
/// @tparam Identity of a request or of a prompt part; has a `digest` of 128 bits.
template <typename Identity>
class recent_successes {
  public:
    static constexpr std::size_t slot_count = 1024;

    explicit recent_successes(base::duration lifetime)
        : m_lifetime(lifetime), m_slots(slot_count) {}

    void record(const Identity& one, base::monotonic_time now) {
        m_slots[slot_of(one)] = {one, now};
    }
    bool contains(const Identity& one, base::monotonic_time now) const {
        const entry& found = m_slots[slot_of(one)];
        return found.identity == one && now - found.at < m_lifetime;
    }

  private:
    struct entry {
        Identity identity;
        base::monotonic_time at{};
    };

    static std::size_t slot_of(const Identity& one) { return one.digest.high % slot_count; }

    base::duration m_lifetime;
    std::vector<entry> m_slots;
};

}  // namespace ferryroad::core::quarantine
