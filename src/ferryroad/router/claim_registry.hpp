/// @file
/// At-most-once execution: before a request that must not be repeated is dispatched, its
/// idempotency key is claimed in the platform's table.
#pragma once

#include "ferryroad/base/ids.hpp"
#include "ferryroad/core/execution/state.hpp"
#include "ferryroad/platform/errors.hpp"
#include "ferryroad/runtime/task.hpp"

#include <optional>
#include <string>

namespace ferryroad::router {

/// The claim that one attempt makes on an idempotency key.
struct claim_request {
    base::tenant_name tenant;
    base::route_name route;
    base::idempotency_key key;
    base::attempt_id attempt;
    /// Hash of the request body; reusing a key for another body is refused.
    std::string content_sha256;
};

/// Outcome of a claimed request, returned to callers that repeat its key.
struct recorded_outcome {
    core::execution::execution_report execution{};
    unsigned status = 0;
    std::string content_type;
    std::string body;
};

enum class claim_answer {
    granted,       ///< Only this attempt may dispatch the request.
    finished,      ///< An earlier attempt ended; `outcome` holds its recorded answer.
    in_progress,   ///< Another attempt holds the claim.
    other_content  ///< The key was used for another request body.
};

struct claim_result {
    claim_answer answer{};
    std::optional<recorded_outcome> outcome;  ///< Set if `finished`.
};

/// Port to the table of claims. Not thread-safe: used from the event loop's thread only.
class claim_registry {
  public:
    virtual ~claim_registry() = default;
    /// Claims the request's key. An error means that the claim was not granted and that the request
    /// must not be dispatched.
    virtual runtime::task<runtime::result<claim_result, platform::error>> claim(
        claim_request request) = 0;
    /// Records the outcome of a granted claim. If this fails, the key stays claimed and its outcome
    /// is unknown.
    virtual runtime::task<runtime::result<void, platform::error>> finish(
        claim_request request, recorded_outcome outcome) = 0;
    /// Frees the key for another attempt. Only for a request that is known not to have run.
    virtual runtime::task<runtime::result<void, platform::error>> release(
        claim_request request) = 0;
};

}  // namespace ferryroad::router
