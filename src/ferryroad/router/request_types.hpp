/// @file
/// A caller's request inside the router, apart from HTTP.
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

/// Why a request got no whole answer.
enum class refusal_code {
    unauthorized,          ///< 401: no tenant has that key.
    unknown_route,         ///< 404
    unknown_model,         ///< 404
    invalid_request,       ///< 400
    prompt_too_long,       ///< 400: over the model's context.
    over_limit,            ///< 429: the tenant's limit.
    key_in_use,            ///< 409: the idempotency key is at work, or was used for other content.
    overloaded,            ///< 503: no engine can meet the deadline.
    no_engine,             ///< 503: the pool has no live engine.
    not_ready,             ///< 503: this router can't confirm its configuration, or is stopping.
    platform_unavailable,  ///< 503: a claim could not be recorded.
    deadline_exceeded,     ///< 504
    engine_failed,         ///< 502: attempts are used up.
    outcome_unknown        ///< 502: may have run, may not be repeated.
};

/// The final answer to a request that was given up on; sent at once.
struct refusal {
    refusal_code code{};
    std::string message;  ///< For the caller: names no engine and no address.
    core::execution::execution_report execution = core::execution::execution_report::not_run;
    std::optional<base::duration> retry_after;
};

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

struct generation_summary {
    engine::finish_reason reason{};
    std::uint32_t tokens = 0;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t cached_tokens = 0;
};

/// Where an answer's tokens go, in order and once each. Owned by the caller front.
class token_sink {
  public:
    virtual ~token_sink() = default;
    /// @return false where the caller is gone: the attempt is then cancelled.
    virtual runtime::task<bool> accept(engine::stream_token token) = 0;
};

struct application_call {
    base::request_id request;
    std::string bearer_key;
    std::string method;
    std::string path;  ///< With the query.
    std::string content_type;
    std::string body;
    std::optional<base::idempotency_key> key;
};

struct application_reply {
    unsigned status = 0;
    std::string content_type;
    std::string body;
};

/// Serves requests from admission to the last token. Cancelling the coroutine (caller gone)
/// cancels the engine's attempt. Used from the event loop's thread.
class request_service {
  public:
    virtual ~request_service() = default;
    virtual runtime::task<runtime::result<generation_summary, refusal>> generate(
        generation_call call, token_sink& sink) = 0;
    virtual runtime::task<runtime::result<application_reply, refusal>> call_application(
        application_call call) = 0;
};

}  // namespace ferryroad::router
