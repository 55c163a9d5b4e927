/// @file
/// What a caller saw of one request.
#pragma once

#include "bench/workload/specification.hpp"
#include "ferryroad/base/endpoint.hpp"
#include "ferryroad/base/ids.hpp"
#include "ferryroad/core/execution/state.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace ferryroad::bench::load {

enum class call_outcome {
    complete,    ///< A whole answer came, by its own mark of the end.
    refused,     ///< An error answer in place of an answer.
    failed,      ///< A stream that ended with an error event.
    cut,         ///< The connection was lost or the time was up after sending.
    unreachable  ///< No router took a connection: nothing was sent.
};

enum class answer_state {
    none,    ///< Nothing of an answer came.
    exact,   ///< All that came is the right answer, whole tokens only.
    prefix,  ///< All that came is right, as far as it goes.
    wrong    ///< A token is missing, doubled or foreign, or the body is not the own one.
};

/// One call. Times are seconds since the run's start, by the load client's clock.
struct call_record {
    std::uint64_t number = 0;
    std::string run;
    std::string kind;
    workload::request_type type{};
    bool stream = false;
    base::tenant_name tenant;
    std::optional<base::idempotency_key> key;
    std::string prompt_sha256;             ///< Generations.
    std::vector<base::piece_hash> pieces;  ///< Generations: of the prompt, in no namespace.
    base::endpoint router;                 ///< The last one tried.
    base::request_id request;              ///< As the router named it; empty if it never did.
    call_outcome outcome{};
    answer_state answer{};
    unsigned status = 0;     ///< 0: no answer.
    std::string error_code;  ///< As the router or the client states it.
    std::optional<core::execution::execution_report> execution;
    bool retry_after = false;
    std::uint32_t max_tokens = 0;
    std::uint32_t tokens = 0;  ///< Whole tokens received.
    double sent_at = 0;
    double first_token_at = 0;  ///< 0: none came.
    double ended_at = 0;
    std::vector<double> token_gaps;
};

}  // namespace ferryroad::bench::load
