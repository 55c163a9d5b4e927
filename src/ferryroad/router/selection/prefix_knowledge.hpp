/// @file
/// What the routers know of the engines' caches, behind one interface: this router's own
/// index, or the index shared between routers.
#pragma once

#include "ferryroad/base/ids.hpp"
#include "ferryroad/core/prefix/prefix_index.hpp"
#include "ferryroad/core/prefix/recent_dispatches.hpp"
#include "ferryroad/engine/types.hpp"
#include "ferryroad/runtime/task.hpp"

#include <cstdint>
#include <vector>

namespace ferryroad::router::selection {

/// Who answered a lookup.
enum class answer_source {
    local,    ///< This router's own index.
    owner,    ///< The root's owner, just now or within the answer's short life.
    standby,  ///< The router behind the owner.
    none      ///< Nobody: only the stateless floor is left.
};

/// Where leading pieces of a prompt are believed to be.
struct prefix_answer {
    std::vector<core::prefix::holder> holders;  ///< Longest match first.
    double request_rate = 0;                    ///< Of the root, a second, as far as known.
    answer_source source = answer_source::none;
    /// Work that other routers sent lately, as far as known; ages count from the answer on.
    std::vector<core::prefix::recent_dispatch> dispatches;
};

/// Something learned: `process` holds, or is about to hold, all of `pieces`.
struct prefix_observation {
    core::prefix::cache_namespace scope;
    core::prefix::piece_chain pieces;  ///< Root first.
    core::prefix::engine_process process;
    core::prefix::evidence why{};
    std::uint32_t prefill_tokens = 0;  ///< Of a dispatch: expected to be prefilled there.
};

/// Used from the event loop's thread. A holder's incarnation must be compared with the
/// engine's present one before use: knowledge is late.
class prefix_knowledge {
  public:
    virtual ~prefix_knowledge() = default;
    /// @param pieces not empty. @return within a few milliseconds, with or without holders.
    virtual runtime::task<prefix_answer> lookup(core::prefix::cache_namespace scope,
                                                core::prefix::piece_chain pieces) = 0;
    virtual void report(prefix_observation observation) = 0;
    /// Events of an engine whose stream this router reads.
    virtual void report_events(const base::engine_name& engine,
                               const engine::cache_event_batch& batch) = 0;
    /// The engine's process is this one now.
    virtual void report_incarnation(const core::prefix::engine_process& process) = 0;
};

}  // namespace ferryroad::router::selection
