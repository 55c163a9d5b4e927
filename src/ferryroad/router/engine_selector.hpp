/// @file
/// Selects the engine for a request by routing policy, known cached prefixes and load.
#pragma once

#include "ferryroad/base/ids.hpp"
#include "ferryroad/catalog/types.hpp"
#include "ferryroad/core/prefix/pieces.hpp"
#include "ferryroad/engine/types.hpp"
#include "ferryroad/runtime/task.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace ferryroad::router {

/// What a request needs from an engine.
struct selection_query {
    base::request_id request;
    core::prefix::cache_namespace scope;  ///< Model routes only.
    core::prefix::piece_chain pieces;     ///< Empty for application routes.
    std::uint64_t prompt_tokens = 0;
    std::uint32_t piece_tokens = 0;
    base::pool_name pool;
    double recompute_price = 0;
    base::duration time_left{};
    std::vector<base::engine_name> excluded;  ///< Engines that this request has already tried.
};

/// The selected engine and the estimate that it was selected by.
struct selected_engine {
    engine::engine_target target;
    std::uint32_t expected_cached_pieces = 0;
    base::duration expected_first_token{};
    /// Cached state that the engine should import first; absent if recomputation is cheaper.
    std::optional<engine::import_request> import;
};

enum class selection_failure { no_engine, deadline_too_near };

struct selection_error {
    selection_failure failure{};
    base::duration retry_after{};  ///< Suggested delay before the caller tries again.
};

/// The estimate for one candidate, kept for `explain`.
struct candidate_record {
    base::engine_name engine;
    std::uint32_t cached_pieces = 0;
    base::duration queue_wait{};
    base::duration prefill{};
    base::duration import{};
    base::duration cost{};  ///< The candidate with the lowest cost is selected.
    bool chosen = false;
};

/// Why a request was sent to its engine.
struct decision_record {
    base::request_id request;
    base::pool_name pool;
    std::string policy;
    std::vector<candidate_record> candidates;
};

/// Not thread-safe: used from the event loop's thread only.
class engine_selector {
  public:
    virtual ~engine_selector() = default;
    /// Selects an engine. Fails if the pool has none that is available, or none that could answer
    /// within the time left.
    virtual runtime::task<runtime::result<selected_engine, selection_error>> select(
        selection_query query) = 0;
    /// Records that the engine has started the request: it reported how much of the prompt was
    /// cached, and its cache now holds all complete pieces of the prompt.
    virtual void record_started(const selection_query& query, const selected_engine& selected,
                                const engine::stream_started& started) = 0;
    /// @return the decision for a recent request of this router; nothing if it is no longer kept.
    virtual std::optional<decision_record> explain(const base::request_id& request) const = 0;
};

}  // namespace ferryroad::router
