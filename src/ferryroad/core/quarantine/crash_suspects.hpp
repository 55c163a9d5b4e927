/// @file
/// Which requests end the engines that run them. Every request that was in progress at an engine
/// when it ended is a candidate; one that was a candidate at several engines is quarantined.
///
/// What tells the cause from those that were merely there:
/// - a request that has brought output is a candidate only where no silent one was in progress;
/// - the candidates of a crash share it, and it counts for nobody else once one is quarantined;
/// - a request whose run ended well of late is none: one that is sent often is in progress at
///   every engine that ends, whatever ended it.
#pragma once

#include "ferryroad/base/ids.hpp"
#include "ferryroad/base/time.hpp"
#include "ferryroad/core/quarantine/recent_good_ends.hpp"
#include "ferryroad/core/quarantine/request_identity.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

namespace ferryroad::core::quarantine {

/// A request that was in progress at an engine when it ended.
struct crash_candidate {
    request_identity request;
    /// It had been there for a moment, and the engine had brought nothing of its answer yet: most
    /// likely it had just begun to run.
    bool silent = true;

    friend bool operator==(const crash_candidate&, const crash_candidate&) = default;
};

/// The end of an engine process, as one router saw it.
struct engine_crash {
    base::engine_name engine;
    base::monotonic_time at{};     ///< When it was noticed: a router that stood still is late.
    base::monotonic_time began{};  ///< When the newest exchange with it had been begun.
    std::vector<crash_candidate> candidates;
    std::uint32_t unnamed = 0;  ///< Further ones in progress there that aren't named.

    friend bool operator==(const engine_crash&, const engine_crash&) = default;
};

/// Clocks of routers are compared by the ages that they tell: off by the way of a message.
inline constexpr base::duration crash_slack = std::chrono::milliseconds(250);

/// @return whether both tell of one process's end: an exchange that was begun after an end was with
/// the next process. What an engine says of its start may be behind. Thread-safe.
bool is_same_crash(const engine_crash& first, const engine_crash& second);

/// A request that is sent to no engine for a while.
struct quarantined_request {
    request_identity request;
    base::monotonic_time since{};
    base::monotonic_time until{};
    std::uint32_t crashes = 0;  ///< Engines that had ended with it in progress.
    double share = 0;           ///< Sum of its shares of these crashes.
    std::uint32_t times = 1;    ///< That it has been quarantined.
    std::vector<base::engine_name> engines;

    friend bool operator==(const quarantined_request&, const quarantined_request&) = default;
};

struct suspects_tunables {
    /// A request is quarantined after so many crashes, whoever else was in progress.
    std::uint32_t certain_crashes = 3;
    /// Or after so many, where its shares of them make up one crash; other routers' reports, which
    /// make shares smaller, have arrived by `settle`.
    std::uint32_t least_crashes = 2;
    double least_share = 1.0;
    /// What a crash counts to one that isn't silent, and its share: four make a verdict. At the
    /// full weight, a stream that had run for 0.8 and 3.4 s was quarantined after two ends of
    /// engines that were no request's doing (in 1 of 4 runs of 3,200 to 8,000 dispatches).
    double running_crash = 0.75;
    double running_share = 0.25;
    base::duration settle = std::chrono::milliseconds(150);
    /// Quarantine ends by itself: what made the request end engines may have been mended. A repeat
    /// that ends another engine is quarantined at once, for twice as long as before.
    base::duration first_quarantine = std::chrono::minutes(10);
    base::duration longest_quarantine = std::chrono::hours(24);
    /// Repeats of one request that lie further apart do no harm worth remembering.
    base::duration crash_kept = std::chrono::minutes(30);
    /// A good end speaks for a request so long.
    base::duration good_end_holds = std::chrono::seconds(10);
    /// Bounds of memory; the oldest go first. 370 routers before 1,200 engines, of which some 600 a
    /// second can end as they are back after 2 s: crashes of the last 1.7 s at the least.
    std::size_t crashes = 1024;
    std::size_t quarantined = 1024;
    std::size_t candidates = 64;  ///< Of one crash.
    /// Between two looks at all crashes, which take 0.23 ms where there are 1,024 of them with
    /// three candidates each (mean of 50).
    base::duration look_pace = std::chrono::milliseconds(20);
};

/// Not thread-safe. Deterministic: the same reports in any order come to the same requests, but
/// for those that lie within `settle` of each other.
class crash_suspects {
  public:
    explicit crash_suspects(suspects_tunables tunables = {});

    /// Takes a report of this router's or another one's; one that is told twice changes nothing.
    /// @return whether it said anything new.
    bool record_crash(const engine_crash& told, base::monotonic_time now);
    /// An engine lived through the request: it is no candidate of any crash before, and free.
    /// @return whether it had been one, or quarantined: others then must be told.
    bool record_good_end(const request_identity& request, base::monotonic_time now);
    /// @return whether a run of the request ended well a short while ago.
    bool ended_well_lately(const request_identity& request, base::monotonic_time now) const {
        return m_good_ends.contains(request, now);
    }

    /// @return its quarantine, or nothing where it may be sent. The pointer holds until the next
    /// call of a method that isn't const.
    const quarantined_request* find(const request_identity& request, base::monotonic_time now);
    /// @return whether the request was in progress, as a candidate, when an engine ended.
    bool is_candidate(const request_identity& request) const;
    /// Those that came into quarantine since the last call.
    std::vector<quarantined_request> take_new(base::monotonic_time now);
    /// @return when the next call may find one, by what is known until now; nothing where none
    /// will.
    std::optional<base::monotonic_time> next_look() const { return m_look_at; }
    std::size_t quarantined(base::monotonic_time now) const;
    std::size_t crashes() const { return m_crashes.size(); }

  private:
    struct tally {
        std::uint32_t crashes = 0;
        double weighed = 0;  ///< Crashes, those weighed less at which it wasn't silent.
        double share = 0;
        base::monotonic_time newest{};
    };
    using tallies = std::unordered_map<request_identity, tally>;

    engine_crash* find_crash(const engine_crash& told);
    bool merge(engine_crash& known, const engine_crash& told) const;
    void forget_old(base::monotonic_time now);
    void look(base::monotonic_time now);
    tallies count(base::monotonic_time now) const;
    void add_shares(const engine_crash& crash, tallies& all, base::monotonic_time now) const;
    /// @return whether a request that is or was quarantined ended the engine.
    bool is_explained(const engine_crash& crash) const;
    /// @return whether the tally is enough; `m_look_at` is set where it is but for `settle`.
    bool convicts(const request_identity& request, const tally& counted, base::monotonic_time now);
    void quarantine(const request_identity& request, const tally& counted,
                    base::monotonic_time now);
    void forget_oldest();

    suspects_tunables m_tunables;
    recent_good_ends m_good_ends;
    std::deque<engine_crash> m_crashes;  ///< In the order in which they were told.
    std::unordered_map<request_identity, quarantined_request> m_quarantined;  ///< Ended ones, too.
    std::vector<quarantined_request> m_new;
    std::optional<base::monotonic_time> m_look_at;  ///< Where there is something to find.
    base::monotonic_time m_looked_at{};
};

}  // namespace ferryroad::core::quarantine
