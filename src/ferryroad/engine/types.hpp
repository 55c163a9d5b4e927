/// @file
/// What a router says to an engine and hears from it, apart from any encoding.
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

/// Higher runs first. Operators write it on routes.
enum class priority { low = 0, normal = 1, high = 2 };

enum class engine_kind { model, application };

/// Which work an engine takes, set by a fenced order.
enum class engine_role { general, prefill, decode };

/// One process behind a name: a request meant for it runs on no other.
struct engine_target {
    base::engine_name name;
    base::endpoint address;
    base::incarnation incarnation;
};

/// An engine's own report. Lags by what `age` says plus the way here.
struct load_report {
    base::incarnation incarnation;
    engine_kind kind = engine_kind::model;
    engine_role role = engine_role::general;
    base::model_name model;
    base::weights_version version;
    std::vector<base::adapter_name> adapters;
    bool leaving = false;
    std::uint32_t running = 0;                ///< Sequences being decoded.
    std::uint32_t queued = 0;                 ///< Requests not yet started.
    std::uint64_t queued_prefill_tokens = 0;  ///< Tokens still to prefill, running ones included.
    std::uint32_t cached_pieces = 0;
    std::uint32_t capacity_pieces = 0;
    double prefill_tokens_per_second = 0;  ///< Measured by the engine.
    double decode_seconds_per_token = 0;
    base::duration age{};    ///< How old the figures were when sent.
    base::engine_name name;  ///< Empty where the engine doesn't say.
};

/// One attempt to generate.
struct generation_request {
    base::request_id request;
    base::attempt_id attempt;
    std::optional<base::idempotency_key> key;
    core::prefix::cache_namespace scope;
    base::incarnation expected_incarnation;
    priority urgency = priority::normal;
    std::shared_ptr<const std::string> prompt;
    std::uint32_t max_tokens = 0;
    /// Index of the first token wanted: above 0 to continue a stream begun elsewhere.
    std::uint32_t first_token = 0;
    base::duration time_left{};  ///< Until the caller's deadline, from the sending.
};

/// The engine has admitted the attempt and says what its cache held.
struct stream_started {
    base::incarnation incarnation;
    std::uint32_t cached_pieces = 0;  ///< Leading pieces that needed no prefill.
    std::uint32_t total_pieces = 0;
    load_report load;
};

struct stream_token {
    std::uint32_t index = 0;  ///< From 0 within the whole answer.
    std::string text;
};

enum class finish_reason { stop, length, cancelled };

/// The one proof that a stream is whole.
struct stream_end {
    finish_reason reason{};
    std::uint32_t tokens = 0;  ///< Tokens of the whole answer, from index 0.
    load_report load;
};

using stream_event = std::variant<stream_started, stream_token, stream_end>;

/// An HTTP request to an application engine, passed through.
struct application_request {
    base::request_id request;
    base::attempt_id attempt;
    std::optional<base::idempotency_key> key;
    base::tenant_name tenant;
    base::incarnation expected_incarnation;
    priority urgency = priority::normal;
    std::string method;
    std::string path;  ///< With the query.
    std::string content_type;
    std::string body;
    base::duration time_left{};
};

struct application_answer {
    base::incarnation incarnation;
    unsigned status = 0;
    std::string content_type;
    std::string body;
};

enum class cache_change { stored, evicted };

/// A piece entered or left an engine's cache.
struct cache_event {
    std::uint64_t sequence = 0;  ///< Rises by 1 within an incarnation; a jump is a gap.
    cache_change change{};
    core::prefix::cache_namespace scope;
    base::piece_hash root;  ///< First piece of the chain.
    base::piece_hash piece;
    std::uint32_t depth = 0;  ///< 0 for the root itself.
};

struct cache_event_batch {
    base::incarnation incarnation;
    bool gap = false;  ///< Events between the asked-for sequence and the first here are lost.
    std::uint64_t next_sequence = 0;
    std::vector<cache_event> events;
};

/// Order to `target`'s engine to fetch warm state from another engine.
struct import_request {
    core::prefix::cache_namespace scope;
    core::prefix::piece_chain pieces;  ///< The leading pieces wanted, root first.
    engine_target source;
};

struct import_answer {
    std::uint32_t imported_pieces = 0;
};

/// Orders carry a fencing token: an engine refuses one lower than the highest it has seen.
struct load_model_order {
    base::model_name model;
    base::weights_version version;
};
struct load_adapter_order {
    base::adapter_name adapter;
};
struct set_role_order {
    engine_role role{};
};
using engine_order = std::variant<load_model_order, load_adapter_order, set_role_order>;

}  // namespace ferryroad::engine
