/// @file
/// Detects requests that crash the engines that run them. Each request that was in progress at an
/// engine when it crashed is a candidate; a request that is a candidate of several crashes is
/// quarantined. So is a prompt part that different candidates of several crashes have in common.
///
/// These rules tell the cause of a crash from requests that were merely in progress:
/// - A request that has produced output is a candidate only if every request in progress had.
/// - The candidates of a crash share it. Once one of them is quarantined, the crash counts against
///   no other.
/// - A request that recently succeeded is no candidate. A frequent request is in progress at every
///   engine that crashes, whatever the cause.
#pragma once

#include "ferryroad/base/ids.hpp"
#include "ferryroad/base/time.hpp"
#include "ferryroad/core/quarantine/part_identity.hpp"
#include "ferryroad/core/quarantine/recent_successes.hpp"
#include "ferryroad/core/quarantine/request_identity.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

namespace ferryroad::core::quarantine {

/// A request that was in progress at an engine when it crashed.
struct crash_candidate {
    request_identity request;
    /// The engine had the request for a short time and had sent nothing of its answer yet. Most
    /// likely the request had just started to run.
    bool silent = true;
    /// Prompt parts of the request that others share and that may have caused the crash.
    std::vector<part_identity> parts;

    friend bool operator==(const crash_candidate&, const crash_candidate&) = default;
};

/// Crash of an engine process, as observed by one router.
struct engine_crash {
    base::engine_name engine;
    base::monotonic_time at{};     ///< Time of detection; late if the router was suspended.
    base::monotonic_time began{};  ///< Start of the latest exchange with the process.
    std::vector<crash_candidate> candidates;
    std::uint32_t unnamed = 0;  ///< Number of further requests in progress that are not listed.

    friend bool operator==(const engine_crash&, const engine_crash&) = default;
};

/// Tolerance for comparing times of different routers. They are exchanged as ages, which are off by
/// the latency of a message.
inline constexpr base::duration crash_time_tolerance = std::chrono::milliseconds(250);

/// @return whether both report the crash of the same process. An exchange that started after a
/// crash was with the next process. The start time that an engine reports is not used, because it
/// may be outdated. Thread-safe.
bool is_same_crash(const engine_crash& first, const engine_crash& second);

/// Requests and prompt parts that an engine survived.
struct cleared_suspects {
    std::vector<request_identity> requests;
    std::vector<part_identity> parts;

    bool empty() const { return requests.empty() && parts.empty(); }
    friend bool operator==(const cleared_suspects&, const cleared_suspects&) = default;
};

/// A request that is temporarily not sent to any engine.
struct quarantined_request {
    request_identity request;
    base::monotonic_time since{};
    base::monotonic_time until{};
    std::uint32_t crashes = 0;               ///< Crashes of engines that had it in progress.
    double share = 0;                        ///< Sum of its shares of these crashes.
    std::uint32_t times = 1;                 ///< Number of times it has been quarantined.
    std::vector<base::engine_name> engines;  ///< Engines that crashed with it in progress.

    friend bool operator==(const quarantined_request&, const quarantined_request&) = default;
};

/// A prompt part with which requests are temporarily not sent to any engine.
struct quarantined_part {
    part_identity part;
    base::monotonic_time since{};
    /// From then on one request at a time may find out whether the part still crashes engines.
    base::monotonic_time until{};
    std::uint32_t crashes = 0;               ///< Crashes of engines that had it in progress.
    std::uint32_t times = 1;                 ///< Number of times it has been quarantined.
    std::vector<base::engine_name> engines;  ///< Engines that crashed with it in progress.

    friend bool operator==(const quarantined_part&, const quarantined_part&) = default;
};

struct suspects_tunables {
    /// A request is quarantined after this many crashes, whatever else was in progress.
    std::uint32_t certain_crashes = 3;
    /// A request is also quarantined after `min_crashes` if its shares of them add up to
    /// `min_share`. Reports of other routers, which reduce the shares, are waited for during
    /// `settle`.
    std::uint32_t min_crashes = 2;
    double min_share = 1.0;
    /// Weight of a crash, and of the share of it, for a candidate that has produced output, so that
    /// four such crashes are needed. With full weight, a stream that had run for 0.8 and 3.4 s was
    /// quarantined after two crashes that no request had caused (in 1 of 4 runs of 3,200 to 8,000
    /// dispatches).
    double running_crash_weight = 0.75;
    double running_share_weight = 0.25;
    base::duration settle = std::chrono::milliseconds(150);
    /// A quarantine expires, since the cause of the crashes may have been fixed. A request that
    /// crashes another engine afterwards is quarantined at once, for twice as long as before.
    base::duration initial_quarantine = std::chrono::minutes(10);
    base::duration max_quarantine = std::chrono::hours(24);
    /// A prompt part is quarantined after this many crashes with it in progress, unless one request
    /// alone was in progress at all of them. It needs no share: a part that others have succeeds
    /// all the time, which clears it.
    std::uint32_t part_crashes = 3;
    /// First quarantine of a part. It is shorter than that of a request, as a part that is
    /// quarantined wrongly affects many callers.
    base::duration initial_part_quarantine = std::chrono::minutes(1);
    /// Time for which crashes are remembered. Requests that crash engines less often do little
    /// harm.
    base::duration crash_lifetime = std::chrono::minutes(30);
    /// Time for which a success clears a request.
    base::duration success_lifetime = std::chrono::seconds(10);
    /// Limits on memory; the oldest entries are dropped first. In a deployment of 370 routers and
    /// 1,200 engines that restart within 2 s, at most about 600 engines crash per second, so that
    /// at least the crashes of the last 1.7 s are kept.
    std::size_t crashes = 1024;
    std::size_t quarantined = 1024;  ///< Of requests, and of parts.
    std::size_t candidates = 64;     ///< Candidates of one crash.
    /// Minimum interval between two evaluations of all crashes. One takes 0.23 ms for 1,024 crashes
    /// with three candidates each (mean of 50).
    base::duration evaluation_interval = std::chrono::milliseconds(20);
};

/// Deterministic: the same reports in any order lead to the same quarantined requests, except for
/// reports within `settle` of each other. Not thread-safe.
class crash_suspects {
  public:
    explicit crash_suspects(suspects_tunables tunables = {});

    /// Records a report of a crash by this or another router. A repeated report has no effect.
    /// @return whether the report contained anything new.
    bool record_crash(const engine_crash& report, base::monotonic_time now);
    /// Records that an engine ran the request successfully. The request is removed from the
    /// candidates of all earlier crashes and from quarantine.
    /// @return whether it was a candidate or quarantined, so that other routers must be notified.
    bool record_success(const request_identity& request, base::monotonic_time now);
    /// The same for the parts of its prompt. @return those of them that were.
    std::vector<part_identity> record_part_successes(const std::vector<part_identity>& parts,
                                                     base::monotonic_time now);
    /// @return whether the request succeeded within `success_lifetime`.
    bool succeeded_recently(const request_identity& request, base::monotonic_time now) const {
        return m_successes.contains(request, now);
    }
    /// @return whether a request with the part did.
    bool succeeded_recently(const part_identity& part, base::monotonic_time now) const {
        return m_part_successes.contains(part, now);
    }

    /// @return the request's quarantine, or null if it may be sent. The pointer is valid until the
    /// next call of a non-const member function.
    const quarantined_request* find(const request_identity& request, base::monotonic_time now);
    /// @return the quarantine of the first of the parts that has one, even if its time has passed;
    /// null if none has. The pointer is valid until the next call of a non-const member function.
    const quarantined_part* find_part(const std::vector<part_identity>& parts,
                                      base::monotonic_time now);
    /// @return the number of remembered crashes with the part in progress.
    std::size_t crashes_with(const part_identity& part) const;
    /// @return whether the request is a candidate of any remembered crash.
    bool is_candidate(const request_identity& request) const;
    /// @return the requests quarantined since the last call.
    std::vector<quarantined_request> take_newly_quarantined(base::monotonic_time now);
    /// @return the parts quarantined since the last call.
    std::vector<quarantined_part> take_newly_quarantined_parts(base::monotonic_time now);
    /// @return when `take_newly_quarantined` or `take_newly_quarantined_parts` may return
    /// something, given the reports so far; nothing if none is expected.
    std::optional<base::monotonic_time> next_look() const { return m_next_evaluation; }
    /// @return the number of requests in quarantine.
    std::size_t quarantined(base::monotonic_time now) const;
    /// @return the number of parts in quarantine, including those whose time has passed.
    std::size_t quarantined_parts() const { return m_quarantined_parts.size(); }
    /// @return the number of crashes remembered.
    std::size_t crashes() const { return m_crashes.size(); }

  private:
    struct tally {
        std::uint32_t crashes = 0;
        /// Crashes, weighted by `running_crash_weight` if the request had produced output.
        double weighted_crashes = 0;
        double share = 0;
        base::monotonic_time newest{};
    };
    using tallies = std::unordered_map<request_identity, tally>;
    struct part_tally {
        std::vector<const engine_crash*> crashes;
        std::size_t depth = 0;  ///< Number of parts before it in a prompt, at most.
    };
    using part_tallies = std::unordered_map<part_identity, part_tally>;

    engine_crash* find_crash(const engine_crash& report);
    /// @return whether the report contained anything new.
    bool merge(engine_crash& known, const engine_crash& report) const;
    void drop_expired(base::monotonic_time now);
    /// Quarantines the requests that the remembered crashes are enough for.
    void evaluate(base::monotonic_time now);
    tallies count(base::monotonic_time now) const;
    void add_shares(const engine_crash& crash, tallies& all, base::monotonic_time now) const;
    /// @return whether the crash is attributed to a request that is or was quarantined.
    bool is_explained(const engine_crash& crash) const;
    /// @return whether the tally suffices for quarantine. If only `settle` has not passed yet,
    /// `m_next_evaluation` is set to its end.
    bool should_quarantine(const request_identity& request, const tally& sum,
                           base::monotonic_time now);
    void quarantine(const request_identity& request, const tally& sum, base::monotonic_time now);
    void evict_oldest();
    /// Quarantines the parts that the remembered crashes are enough for.
    void evaluate_parts(base::monotonic_time now);
    part_tallies count_parts(base::monotonic_time now) const;
    /// @return whether the crash is attributed to a part that is or was quarantined.
    bool is_explained_by_part(const engine_crash& crash) const;
    /// As `should_quarantine`.
    bool should_quarantine_part(const part_identity& part, const part_tally& sum,
                                base::monotonic_time now);
    void quarantine_part(const part_identity& part, const part_tally& sum,
                         base::monotonic_time now);

    suspects_tunables m_tunables;
    recent_successes<request_identity> m_successes;
    recent_successes<part_identity> m_part_successes;
    std::deque<engine_crash> m_crashes;  ///< In order of the reports.
    /// Includes expired quarantines.
    std::unordered_map<request_identity, quarantined_request> m_quarantined;
    std::vector<quarantined_request> m_new;
    /// Includes those whose time has passed.
    std::unordered_map<part_identity, quarantined_part> m_quarantined_parts;
    std::vector<quarantined_part> m_new_parts;
    std::optional<base::monotonic_time> m_next_evaluation;  ///< Set if an evaluation is due.
    base::monotonic_time m_last_evaluation{};
};

}  // namespace ferryroad::core::quarantine
