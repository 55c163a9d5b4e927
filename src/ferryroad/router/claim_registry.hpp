/// @file
/// At most once: a claim in the platform's table goes before any dispatch of a request that
/// may not be repeated.
#pragma once

#include "ferryroad/base/ids.hpp"
#include "ferryroad/core/execution/state.hpp"
#include "ferryroad/platform/errors.hpp"
#include "ferryroad/runtime/task.hpp"

#include <optional>
#include <string>

namespace ferryroad::router {

struct claim_request {
    base::tenant_name tenant;
    base::route_name route;
    base::idempotency_key key;
    base::attempt_id attempt;
    std::string content_sha256;  ///< A key reused for other content is refused.
};

/// Recorded end of a claimed request, given to whoever repeats the key.
struct recorded_outcome {
    core::execution::execution_report execution{};
    unsigned status = 0;
    std::string content_type;
    std::string body;
};

enum class claim_answer {
    granted,       ///< This attempt, and no other, may dispatch.
    finished,      ///< Ended before: `outcome` holds the recorded answer.
    in_progress,   ///< Another attempt holds it.
    other_content  ///< The key belongs to another request body.
};

struct claim_result {
    claim_answer answer{};
    std::optional<recorded_outcome> outcome;
};

/// Used from the event loop's thread. An error means: not granted, nothing will run.
class claim_registry {
  public:
    virtual ~claim_registry() = default;
    virtual runtime::task<runtime::result<claim_result, platform::error>> claim(
        claim_request request) = 0;
    /// Records the outcome. Failure to record leaves the key closed as unknown.
    virtual runtime::task<runtime::result<void, platform::error>> finish(
        claim_request request, recorded_outcome outcome) = 0;
    /// Proven not run: frees the key for another attempt.
    virtual runtime::task<runtime::result<void, platform::error>> release(
        claim_request request) = 0;
};

}  // namespace ferryroad::router
