/// @file
/// How many requests an engine has room for, as learned from its rejections. The slots that an
/// engine lists are only a claim: its memory may be used up sooner.
#pragma once

#include "ferryroad/base/time.hpp"

#include <cstdint>
#include <optional>

namespace ferryroad::coordination::quota {

struct learned_room_tunables {
    /// Time without a rejection after which one more request is tried.
    base::duration first_growth_interval = std::chrono::seconds(2);
    /// The interval doubles each time the engine rejects what was tried, up to this.
    base::duration longest_growth_interval = std::chrono::seconds(16);
};

/// Not thread-safe.
class learned_room {
  public:
    explicit learned_room(learned_room_tunables tunables = {})
        : m_tunables(tunables), m_growth_interval(tunables.first_growth_interval) {}

    /// @param listed slots that the engine lists.
    /// @return the number of requests that the engine has room for, at most `listed`.
    std::uint32_t room(std::uint32_t listed, base::monotonic_time now) const;
    /// Records that the engine rejected a request.
    /// @param in_use requests known to be in progress there besides the rejected one. Some may be
    /// unknown, so that the room is at most halved.
    void record_rejection(std::uint32_t listed, std::uint32_t in_use, base::monotonic_time now);

  private:
    learned_room_tunables m_tunables;
    std::optional<std::uint32_t> m_room;  ///< Nothing if the engine never rejected a request.
    base::monotonic_time m_learned_at{};
    base::duration m_growth_interval;
};

}  // namespace ferryroad::coordination::quota
