/// @file
/// Which engines a router reaches over its own network path. An engine to which one router alone
/// cannot connect may serve all others; if several engines fail at once and none answers, it is
/// most likely the router that has lost its path to all of them.
#pragma once

#include "ferryroad/base/ids.hpp"
#include "ferryroad/base/time.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace ferryroad::core::reachability {

struct path_tunables {
    /// Number of engines that must fail, with none answering meanwhile, until all paths count as
    /// lost. An engine that fails alone is most likely down itself.
    std::size_t failing_engines = 2;
    /// A path that is lost again within this time of its return is not trusted at once when it
    /// returns the next time.
    base::duration relapse_within = std::chrono::seconds(10);
    /// How long engines must have answered, at least, before a path that was lost twice is trusted.
    base::duration initial_hold = std::chrono::milliseconds(500);
    /// They must have answered for this many times as long as the path lasted before it was lost
    /// again, and as they had to the last time.
    int hold_factor = 2;
    base::duration max_hold = std::chrono::seconds(4);
};

/// What an observation changed.
enum class path_change { none, all_lost, regained };

/// The paths of one router. Does no I/O and reads no clock. Not thread-safe.
class engine_paths {
  public:
    explicit engine_paths(path_tunables tunables = {}) : m_tunables(tunables) {}

    /// Records that an engine answered, or accepted a connection, on this router's own path.
    path_change heard(const base::engine_name& engine, base::monotonic_time now);
    /// Records that no connection to an engine could be opened. Ignored if the engine has been
    /// heard since the attempt began.
    /// @param began start of the attempt.
    path_change failed(const base::engine_name& engine, base::monotonic_time began,
                       base::monotonic_time now);
    /// Forgets an engine that is no longer listed.
    void forget(const base::engine_name& engine);

    /// @return whether the path to the engine is lost, alone or together with all others.
    bool is_lost(const base::engine_name& engine) const;
    /// @return whether connections to this engine failed since it was last heard.
    bool has_failed(const base::engine_name& engine) const { return m_failed.contains(engine); }
    /// @return whether the paths to all engines are lost.
    bool all_lost() const { return m_lost_since.has_value(); }
    /// @return when the paths to all engines were lost; nothing if they are not.
    std::optional<base::monotonic_time> lost_since() const { return m_lost_since; }
    /// @return whether no engine has been heard since `when`.
    bool silent_since(base::monotonic_time when) const;
    /// @return whether an engine's path is lost, so that it must be probed.
    bool needs_probes() const { return all_lost() || !m_failed.empty(); }
    /// @return the engines to which connections failed since they were last heard, by name.
    std::vector<base::engine_name> failing() const;

  private:
    std::size_t count_failed_since_last_heard() const;
    /// @return how long engines must answer before the paths that are lost now are trusted.
    base::duration next_hold(base::monotonic_time now) const;

    path_tunables m_tunables;
    std::map<base::engine_name, base::monotonic_time> m_heard;
    /// Start of the last failed attempt, for engines not heard since.
    std::map<base::engine_name, base::monotonic_time> m_failed;
    std::optional<base::monotonic_time> m_last_heard;
    std::optional<base::monotonic_time> m_lost_since;
    std::optional<base::monotonic_time> m_regained_at;
    /// Since when engines have answered again, while the paths still count as lost.
    std::optional<base::monotonic_time> m_answering_since;
    base::duration m_hold{};
};

}  // namespace ferryroad::core::reachability
