/// @file
/// Kinds of faults that a simulated run brings about, and how often it did.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace ferryroad::bench::simulation {

enum class fault_kind : std::size_t {
    router_kill,              ///< SIGKILL, then a new process under the same name.
    router_herd_restart,      ///< All routers killed and started together.
    router_pause,             ///< SIGSTOP, then SIGCONT.
    router_planned_stop,      ///< SIGTERM, then a new process.
    engine_crash,             ///< Back empty, under a new incarnation.
    engine_slow,              ///< Steps take longer.
    engine_freeze,            ///< Answers nothing for a while.
    engine_leaving,           ///< Takes no new work, then goes.
    engine_overloaded,        ///< Refuses all work.
    stream_cut,               ///< Connections of an engine closed in the middle of answers.
    application_lost_answer,  ///< Ran, then the connection closed without the answer.
    event_gap,                ///< Cache events lost.
    datagram_lost,
    datagram_doubled,
    datagram_reordered,
    cut,           ///< Two sets of machines can't reach each other.
    slow_network,  ///< A machine's messages take longer.
    platform_outage,
    platform_slow,
    platform_lost_answer,  ///< Committed, then the connection closed without the answer.
    platform_rate_limit,   ///< A much lower rate limit.
    operator_race,         ///< Two operators change the configuration at once.
    weights_change,        ///< Another version of the weights, fenced order included.
    count_of_kinds
};

inline constexpr std::size_t fault_kinds = static_cast<std::size_t>(fault_kind::count_of_kinds);

/// @return the name used in reports, such as `engine-crash`.
std::string_view to_string(fault_kind kind);

/// How many faults of each kind were brought about.
class fault_counts {
  public:
    void add(fault_kind kind, std::uint64_t count = 1) { counts_[index_of(kind)] += count; }
    void add_all(const fault_counts& other);
    std::uint64_t of(fault_kind kind) const { return counts_[index_of(kind)]; }

  private:
    static std::size_t index_of(fault_kind kind) { return static_cast<std::size_t>(kind); }
    std::array<std::uint64_t, fault_kinds> counts_{};
};

}  // namespace ferryroad::bench::simulation
