/// @file
/// Which requests ended well a short while ago, in memory of a fixed size.
#pragma once

#include "ferryroad/base/time.hpp"
#include "ferryroad/core/quarantine/request_identity.hpp"

#include <cstddef>
#include <vector>

namespace ferryroad::core::quarantine {

/// Direct-mapped: a request takes the place of another one with the same place, so that some are
/// forgotten early, none is ever made up, and 24 KB hold what a router ends in some seconds.
/// Not thread-safe.
class recent_good_ends {
  public:
    static constexpr std::size_t places = 1024;

    explicit recent_good_ends(base::duration holds) : m_holds(holds), m_places(places) {}

    void record(const request_identity& request, base::monotonic_time now) {
        m_places[place_of(request)] = {request, now};
    }
    bool contains(const request_identity& request, base::monotonic_time now) const {
        const entry& found = m_places[place_of(request)];
        return found.request == request && now - found.at < m_holds;
    }

  private:
    struct entry {
        request_identity request;
        base::monotonic_time at{};
    };

    static std::size_t place_of(const request_identity& request) {
        return request.digest.high % places;
    }

    base::duration m_holds;
    std::vector<entry> m_places;
};

}  // namespace ferryroad::core::quarantine
