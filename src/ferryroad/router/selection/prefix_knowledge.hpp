/// @file
/// Interface to an index of the engines' prefix caches. The index is either local to this
/// router or shared between routers.
#pragma once

#include "ferryroad/base/ids.hpp"
#include "ferryroad/core/prefix/prefix_index.hpp"
#include "ferryroad/core/prefix/recent_dispatches.hpp"
#include "ferryroad/engine/types.hpp"
#include "ferryroad/runtime/task.hpp"

#include <cstdint>
#include <vector>

namespace ferryroad::router::selection {

/// Source of the answer to a lookup.
enum class answer_source {
    local,    ///< This router's own index.
    owner,    ///< The root's owner; the answer may come from the cache of recent answers.
    standby,  ///< The root's standby.
    none      ///< No index answered; the policy routes without knowledge of the caches.
};

/// Answer to a lookup: which engines are expected to hold leading pieces of a prompt.
struct prefix_answer {
    std::vector<core::prefix::holder> holders;  ///< Longest match first.
    double request_rate = 0;                    ///< Known requests per second for the root.
    answer_source source = answer_source::none;
    /// Known recent dispatches of other routers; ages are relative to the time of the answer.
    std::vector<core::prefix::recent_dispatch> dispatches;
};

/// An observation that `process` holds, or will soon hold, all of `pieces`.
struct prefix_observation {
    core::prefix::cache_namespace scope;
    core::prefix::piece_chain pieces;  ///< Root first.
    core::prefix::engine_process process;
    core::prefix::evidence basis{};    ///< What the observation is based on.
    std::uint32_t prefill_tokens = 0;  ///< For a dispatch: tokens the engine has to prefill.
};

/// Used from the event loop's thread only. The index lags behind the engines: compare a holder's
/// incarnation with the engine's current one before use.
class prefix_knowledge {
  public:
    virtual ~prefix_knowledge() = default;
    /// Looks up the holders of leading pieces of a chain. Completes within a few milliseconds,
    /// with or without holders.
    /// @param pieces not empty, root first.
    virtual runtime::task<prefix_answer> lookup(core::prefix::cache_namespace scope,
                                                core::prefix::piece_chain pieces) = 0;
    /// Records an observation of this router.
    virtual void report(prefix_observation observation) = 0;
    /// Records cache events of an engine whose event stream this router reads.
    virtual void report_events(const base::engine_name& engine,
                               const engine::cache_event_batch& batch) = 0;
    /// Records the engine's current process.
    virtual void report_incarnation(const core::prefix::engine_process& process) = 0;
};

}  // namespace ferryroad::router::selection
