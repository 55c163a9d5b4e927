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

/// Events of one incarnation. Sequence numbers begin at 1.
class event_journal {
  public:
    struct settings {
        base::duration lag{};             ///< From the change to the event's publication.
        std::uint32_t retained = 16384;   ///< Newest events kept for readers.
        std::uint32_t loss_interval = 0;  ///< Every n-th event is lost; 0: none.
    };

    explicit event_journal(settings chosen);

    void append(const cache_update& update, base::monotonic_time now);

    /// The next `count` events are lost.
    void lose_next(std::uint32_t count) { losing_ += count; }

    /// Begins again at sequence 1, empty.
    void reset();

    /// @return what is published by `now`, from `from` on, at most `largest_batch` events.
    engine::cache_event_batch read(base::incarnation process, std::uint64_t from,
                                   base::monotonic_time now) const;

    /// @return when an event not yet published at `now` will be.
    std::optional<base::monotonic_time> next_publication(base::monotonic_time now) const;

    static constexpr std::size_t largest_batch = 1024;

  private:
    struct entry {
        engine::cache_event event;
        base::monotonic_time published_at;
        bool lost = false;
    };

    settings settings_;
    std::deque<entry> entries_;  ///< In order of sequence and of publication, without holes.
    std::uint64_t next_sequence_ = 1;
    std::uint32_t losing_ = 0;
};

}  // namespace ferryroad::emulator
