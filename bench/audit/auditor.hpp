/// @file
/// Compares what callers saw with what the engines ran. Pure.
#pragma once

#include "bench/audit/execution.hpp"
#include "bench/load/record.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace ferryroad::bench::audit {

enum class violation_kind {
    ran_twice,           ///< A request that may not be repeated ran more than once.
    not_run_but_ran,     ///< The caller was told "not run", and an engine ran it.
    complete_never_ran,  ///< The caller got a whole answer that no execution accounts for.
    wrong_answer,        ///< A token missing, doubled or foreign, or another's answer.
    foreign_execution,   ///< An engine ran it for another tenant or with another prompt.
    foreign_cache,       ///< Used cached pieces that only another tenant, other weights or a dead
                         ///< incarnation of the engine had computed.
    unstated_execution,  ///< An answer that doesn't say whether the request ran.
    missing_retry_after  ///< A refusal for the moment that doesn't say when to come back.
};

std::string_view to_string(violation_kind kind);

struct violation {
    violation_kind kind{};
    std::string run;
    std::uint64_t number = 0;  ///< Of the request in its workload.
    base::request_id request;
    std::string detail;  ///< Names attempts and engines.
};

struct evidence {
    std::vector<load::call_record> calls;
    std::vector<execution> executions;
    /// Engine processes were killed with their lists: what needs a row to exist is not judged,
    /// and cached pieces are judged by what callers sent.
    bool executions_lost = false;
};

struct verdict {
    std::uint64_t calls = 0;
    std::uint64_t executions = 0;
    std::uint64_t attempts_beyond_first = 0;  ///< Executions of a request after its first.
    std::uint64_t once_only_requests = 0;     ///< Keys of requests that may not be repeated.
    std::uint64_t cache_uses = 0;             ///< Executions with cached pieces that were judged.
    std::uint64_t cache_uses_unjudged = 0;    ///< Prompts of other runs: not among the calls.
    std::vector<violation> violations;
};

verdict judge(const evidence& seen);

}  // namespace ferryroad::bench::audit
