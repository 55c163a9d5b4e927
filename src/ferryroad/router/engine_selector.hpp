/// @file
/// Chooses the engine for a request: policy, prefix knowledge and load together.
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

struct selection_query {
    base::request_id request;
    core::prefix::cache_namespace scope;  ///< Model routes only.
    core::prefix::piece_chain pieces;     ///< Empty for application routes.
    std::uint64_t prompt_tokens = 0;
    std::uint32_t piece_tokens = 0;
    base::pool_name pool;
    double recompute_price = 0;
    base::duration time_left{};
    std::vector<base::engine_name> excluded;  ///< Tried already by this request.
};

/// A chosen engine with the estimate that chose it.
struct selected_engine {
    engine::engine_target target;
    std::uint32_t expected_cached_pieces = 0;
    base::duration expected_first_token{};
    /// Warm state to import first; absent where recomputation is cheaper.
    std::optional<engine::import_request> import;
};

enum class selection_failure { no_engine, deadline_too_near };

struct selection_error {
    selection_failure failure{};
    base::duration retry_after{};
};

/// One candidate's figures, kept for `explain`.
struct candidate_record {
    base::engine_name engine;
    std::uint32_t cached_pieces = 0;
    base::duration queue_wait{};
    base::duration prefill{};
    base::duration import{};
    base::duration cost{};  ///< What was compared: the least wins.
    bool chosen = false;
};

struct decision_record {
    base::request_id request;
    base::pool_name pool;
    std::string policy;
    std::vector<candidate_record> candidates;
};

/// Used from the event loop's thread.
class engine_selector {
  public:
    virtual ~engine_selector() = default;
    virtual runtime::task<runtime::result<selected_engine, selection_error>> select(
        selection_query query) = 0;
    /// The engine said what its cache held, and now holds all whole pieces of the prompt.
    virtual void record_started(const selection_query& query, const selected_engine& selected,
                                const engine::stream_started& started) = 0;
    /// @return why a recent request of this router went where it did.
    virtual std::optional<decision_record> explain(const base::request_id& request) const = 0;
};

}  // namespace ferryroad::router
