/// @file
/// Requests to engines and their responses, independent of the encoding.
#pragma once

#include "ferryroad/base/endpoint.hpp"
#include "ferryroad/base/ids.hpp"
#include "ferryroad/base/time.hpp"
#include "ferryroad/core/prefix/cache_namespace.hpp"
#include "ferryroad/core/prefix/pieces.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace ferryroad::engine {

/// Scheduling priority of a request: higher runs first. Operators set it per route.
enum class priority { low = 0, normal = 1, high = 2 };

/// What an engine serves.
enum class engine_kind { model, application };

/// Which phase of generation an engine runs, set by a fenced order.
enum class engine_role { general, prefill, decode };

/// One incarnation of a named engine. A request with this target runs in no other process.
struct engine_target {
    base::engine_name name;
    base::endpoint address;
    base::incarnation incarnation;
};

/// Load figures reported by the engine itself. They lag by `age` plus the network delay.
struct load_report {
    base::incarnation incarnation;
    engine_kind kind = engine_kind::model;
    engine_role role = engine_role::general;
    base::model_name model;
    base::weights_version version;
    std::vector<base::adapter_name> adapters;
    bool leaving = false;       ///< Shutting down; admits no new work.
    std::uint32_t running = 0;  ///< Sequences being decoded.
    std::uint32_t queued = 0;   ///< Requests not yet started.
    std::uint64_t queued_prefill_tokens =
        0;  ///< Tokens still to prefill, including those of running sequences.
    std::uint32_t cached_pieces = 0;
    std::uint32_t capacity_pieces = 0;
    double prefill_tokens_per_second = 0;  ///< As measured by the engine.
    double decode_seconds_per_token = 0;
    base::duration age{};    ///< Age of the figures when the report was sent.
    base::engine_name name;  ///< Empty if the engine doesn't report it.
};

/// A request to generate, for one attempt.
struct generation_request {
    base::request_id request;
    base::attempt_id attempt;
    std::optional<base::idempotency_key> key;
    core::prefix::cache_namespace scope;
    base::incarnation expected_incarnation;
    priority urgency = priority::normal;
    std::shared_ptr<const std::string> prompt;
    std::uint32_t max_tokens = 0;
    /// Index of the first token to send; above 0 to continue a stream that another attempt began.
    std::uint32_t first_token = 0;
    base::duration time_left{};  ///< From sending to the caller's deadline.
};

/// First event of a stream: the engine has admitted the attempt. Reports the prefix cache hit.
struct stream_started {
    base::incarnation incarnation;
    std::uint32_t cached_pieces = 0;  ///< Leading pieces that needed no prefill.
    std::uint32_t total_pieces = 0;
    load_report load;
};

/// One generated token.
struct stream_token {
    std::uint32_t index = 0;  ///< Position in the whole answer, from 0.
    std::string text;
};

enum class finish_reason { stop, length, cancelled };

/// Last event of a stream; only this event proves that the stream is complete.
struct stream_end {
    finish_reason reason{};
    std::uint32_t tokens = 0;  ///< Number of tokens in the whole answer, from index 0.
    load_report load;
};

using stream_event = std::variant<stream_started, stream_token, stream_end>;

/// An HTTP request that is passed through to an application engine.
struct application_request {
    base::request_id request;
    base::attempt_id attempt;
    std::optional<base::idempotency_key> key;
    base::tenant_name tenant;
    base::incarnation expected_incarnation;
    priority urgency = priority::normal;
    std::string method;
    std::string path;  ///< Includes the query.
    std::string content_type;
    std::string body;
    base::duration time_left{};
};

/// An application engine's HTTP response.
struct application_answer {
    base::incarnation incarnation;
    unsigned status = 0;
    std::string content_type;
    std::string body;
};

enum class cache_change { stored, evicted };

/// A piece was stored in or evicted from an engine's cache.
struct cache_event {
    std::uint64_t sequence =
        0;  ///< Increases by 1 within an incarnation; a jump means lost events.
    cache_change change{};
    core::prefix::cache_namespace scope;
    base::piece_hash root;  ///< First piece of the prefix chain.
    base::piece_hash piece;
    std::uint32_t depth = 0;  ///< 0 for the root itself.
};

/// Response to a poll for cache events.
struct cache_event_batch {
    base::incarnation incarnation;
    bool gap =
        false;  ///< Events between the requested sequence number and the first one here are lost.
    std::uint64_t next_sequence = 0;  ///< Sequence number to poll from next.
    std::vector<cache_event> events;
};

/// Request to an engine to fetch cached state from another engine.
struct import_request {
    core::prefix::cache_namespace scope;
    core::prefix::piece_chain pieces;  ///< Leading pieces to import, root first.
    engine_target source;
};

struct import_answer {
    std::uint32_t imported_pieces = 0;
};

/// Order to load a model. Like every order it is sent with a fencing token, and the engine refuses
/// a token lower than the highest it has seen.
struct load_model_order {
    base::model_name model;
    base::weights_version version;
};
/// Order to load an adapter.
struct load_adapter_order {
    base::adapter_name adapter;
};
/// Order to take on a role.
struct set_role_order {
    engine_role role{};
};
using engine_order = std::variant<load_model_order, load_adapter_order, set_role_order>;

}  // namespace ferryroad::engine
