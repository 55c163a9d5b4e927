/// @file
/// Callers' requests as handled inside the router, independent of HTTP.
#pragma once

#include "ferryroad/base/ids.hpp"
#include "ferryroad/base/time.hpp"
#include "ferryroad/core/execution/state.hpp"
#include "ferryroad/engine/types.hpp"
#include "ferryroad/runtime/task.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace ferryroad::router {

/// Why a request got no complete answer. Each value names its HTTP status.
enum class refusal_code {
    unauthorized,          ///< 401: the API key belongs to no tenant.
    unknown_route,         ///< 404
    unknown_model,         ///< 404
    invalid_request,       ///< 400
    prompt_too_long,       ///< 400: longer than the model's context.
    over_limit,            ///< 429: over the tenant's rate limit.
    key_in_use,            ///< 409: the idempotency key is in use, or was used with another body.
    overloaded,            ///< 503: no engine can meet the deadline.
    no_engine,             ///< 503: the pool has no live engine.
    not_ready,             ///< 503: this router's configuration is unconfirmed, or it is stopping.
    platform_unavailable,  ///< 503: a claim could not be recorded.
    deadline_exceeded,     ///< 504
    engine_failed,         ///< 502: all attempts failed.
    outcome_unknown        ///< 502: the request may have run and must not be repeated.
};

/// The final answer to a request that the router refuses or abandons; sent immediately.
struct refusal {
    refusal_code code{};
    std::string message;  ///< Sent to the caller, so it must not name an engine or address.
    core::execution::execution_report execution = core::execution::execution_report::not_run;
    std::optional<base::duration> retry_after;
};

/// A request to a model route.
struct generation_call {
    base::request_id request;
    std::string bearer_key;
    std::string path;
    base::model_name model;
    base::adapter_name adapter;
    std::shared_ptr<const std::string> prompt;
    std::optional<std::uint32_t> max_tokens;
    std::optional<base::idempotency_key> key;
};

/// Summary of a completed generation.
struct generation_summary {
    engine::finish_reason reason{};
    std::uint32_t tokens = 0;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t cached_tokens = 0;
};

/// Receives the tokens of an answer in order, each once. Owned by the front end that serves the
/// caller.
class token_sink {
  public:
    virtual ~token_sink() = default;
    /// @return whether the caller is still connected; if not, the attempt is cancelled.
    virtual runtime::task<bool> accept(engine::stream_token token) = 0;
};

/// A request to an application route.
struct application_call {
    base::request_id request;
    std::string bearer_key;
    std::string method;
    std::string path;  ///< Includes the query.
    std::string content_type;
    std::string body;
    std::optional<base::idempotency_key> key;
};

/// The application's answer.
struct application_reply {
    unsigned status = 0;
    std::string content_type;
    std::string body;
};

/// Handles requests from admission to the last token. Cancelling the coroutine, as when the caller
/// has disconnected, cancels the attempt at the engine. Not thread-safe: used from the event loop's
/// thread only.
class request_service {
  public:
    virtual ~request_service() = default;
    /// Runs a generation and passes its tokens to `sink`, which must outlive the call.
    virtual runtime::task<runtime::result<generation_summary, refusal>> generate(
        generation_call call, token_sink& sink) = 0;
    /// Forwards a request to an application's engine.
    virtual runtime::task<runtime::result<application_reply, refusal>> call_application(
        application_call call) = 0;
};

}  // namespace ferryroad::router
