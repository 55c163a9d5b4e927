/// @file
/// The emulated engine's cache events: numbered, published late, kept for a while, lost where
/// a fault says so. Pure.
#pragma once

#include "emulator/engine/prefix_cache.hpp"
#include "ferryroad/base/time.hpp"
#include "ferryroad/engine/types.hpp"

#include <cstdint>
#include <deque>
#include <optional>

namespace ferryroad::emulator {

/// Cache events of one incarnation, published after a delay. Sequence numbers begin at 1. Not
/// thread-safe.
class event_journal {
  public:
    struct settings {
        base::duration lag{};             ///< From the change to the event's publication.
        std::uint32_t retained = 16384;   ///< Number of newest events kept for readers.
        std::uint32_t loss_interval = 0;  ///< Every n-th event is lost; 0 loses none.
    };

    explicit event_journal(settings chosen);

    /// Numbers the update and publishes it after the lag.
    void append(const cache_update& update, base::monotonic_time now);

    /// The next `count` events are lost.
    void lose_next(std::uint32_t count) { to_lose_ += count; }

    /// Drops all events and starts again at sequence number 1.
    void reset();

    /// @return the events published by `now` with sequence numbers from `from` on, at most
    /// `largest_batch` of them; marks a gap if events are lost or no longer kept.
    engine::cache_event_batch read(base::incarnation process, std::uint64_t from,
                                   base::monotonic_time now) const;

    /// @return when the first event not published by `now` will be published, or `nullopt` if
    /// there is none.
    std::optional<base::monotonic_time> next_publication(base::monotonic_time now) const;

    static constexpr std::size_t largest_batch = 1024;

  private:
    struct entry {
        engine::cache_event event;
        base::monotonic_time published_at;
        bool lost = false;
    };

    settings settings_;
    std::deque<entry> entries_;  ///< By sequence number and publication time, without gaps.
    std::uint64_t next_sequence_ = 1;
    std::uint32_t to_lose_ = 0;
};

}  // namespace ferryroad::emulator
