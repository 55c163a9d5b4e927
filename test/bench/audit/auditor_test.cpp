/// Each violation is found where it stands, and nothing else is.
#include "bench/audit/auditor.hpp"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <functional>

namespace {

using namespace ferryroad;
using namespace ferryroad::bench;
using audit::execution_state;
using audit::violation_kind;
using core::execution::execution_report;

load::call_record generation_call() {
    load::call_record call;
    call.number = 1;
    call.kind = "generate";
    call.tenant.value = "tenant-a";
    call.prompt_sha256 = "p1";
    call.pieces = {base::piece_hash(11), base::piece_hash(12)};
    call.request.value = "r1";
    call.outcome = load::call_outcome::complete;
    call.answer = load::answer_state::exact;
    call.status = 200;
    call.execution = execution_report::complete;
    call.tokens = 8;
    return call;
}

load::call_record write_call() {
    load::call_record call = generation_call();
    call.number = 2;
    call.type = workload::request_type::application_write;
    call.prompt_sha256.clear();
    call.pieces.clear();
    call.key.emplace("k1");
    call.request.value = "r2";
    call.tokens = 0;
    return call;
}

audit::execution row_of(const load::call_record& call, const char* attempt) {
    audit::execution row;
    row.process.value = 1;
    row.request = call.request;
    row.attempt.value = attempt;
    row.key = call.key;
    row.tenant = call.tenant;
    row.model.value = "m";
    row.version.value = "1";
    row.state = execution_state::complete;
    row.tokens = call.tokens;
    row.total_pieces = 2;
    row.prompt_sha256 = call.prompt_sha256;
    return row;
}

/// A right run: a generation in two attempts, one write, one refusal, one use of a cache.
audit::evidence right_run() {
    audit::evidence seen;
    load::call_record call = generation_call();
    load::call_record write = write_call();
    load::call_record refused = generation_call();
    refused.number = 3;
    refused.request.value = "r3";
    refused.prompt_sha256 = "p3";
    refused.outcome = load::call_outcome::refused;
    refused.answer = load::answer_state::none;
    refused.status = 503;
    refused.retry_after = true;
    refused.execution = execution_report::not_run;
    load::call_record warm = generation_call();
    warm.number = 4;
    warm.request.value = "r4";
    warm.prompt_sha256 = "p4";
    seen.calls = {call, write, refused, warm};

    audit::execution first = row_of(call, "a1");
    first.tokens = 3;
    first.state = execution_state::failed;
    audit::execution second = row_of(call, "a2");
    second.engine = 1;
    second.first_token = 3;
    second.tokens = 5;
    audit::execution queued = row_of(refused, "a3");
    queued.state = execution_state::cancelled;
    queued.tokens = 0;
    audit::execution reuse = row_of(warm, "a4");
    reuse.cached_pieces = 2;
    seen.executions = {first, second, row_of(write, "w1"), queued, reuse};
    return seen;
}

struct row {
    const char* name;
    violation_kind expected;
    std::uint64_t number;
    std::function<void(audit::evidence&)> change;
};

void make_sole_holder(audit::evidence& seen) {
    // Only another incarnation of engine 0 and nobody else ran a prompt with these pieces.
    seen.executions[1].engine = 0;
    seen.executions[0].process.value = 1;
    seen.executions[1].process.value = 1;
    seen.executions[4].process.value = 2;
}

const std::vector<row>& rows() {
    static const std::vector<row> table{
        {"a write ran on two engines", violation_kind::ran_twice, 2,
         [](auto& seen) {
             audit::execution again = seen.executions[2];
             again.engine = 3;
             again.attempt.value = "w2";
             again.state = execution_state::running;
             seen.executions.push_back(again);
         }},
        {"a refused request ran", violation_kind::not_run_but_ran, 3,
         [](auto& seen) { seen.executions[3].state = execution_state::running; }},
        {"cancelled after tokens", violation_kind::not_run_but_ran, 3,
         [](auto& seen) { seen.executions[3].tokens = 1; }},
        {"tokens nobody made", violation_kind::complete_never_ran, 1,
         [](auto& seen) { seen.executions[1].first_token = 4; }},
        {"a write nobody completed", violation_kind::complete_never_ran, 2,
         [](auto& seen) { seen.executions[2].state = execution_state::queued; }},
        {"a wrong token", violation_kind::wrong_answer, 1,
         [](auto& seen) { seen.calls[0].answer = load::answer_state::wrong; }},
        {"an answer short of its end", violation_kind::wrong_answer, 1,
         [](auto& seen) { seen.calls[0].answer = load::answer_state::prefix; }},
        {"run for another tenant", violation_kind::foreign_execution, 2,
         [](auto& seen) {
             seen.calls[1].key.reset();
             seen.executions[2].tenant.value = "tenant-b";
         }},
        {"run with another prompt", violation_kind::foreign_execution, 3,
         [](auto& seen) { seen.executions[3].prompt_sha256 = "p4"; }},
        {"cache of a dead incarnation", violation_kind::foreign_cache, 4, make_sole_holder},
        {"cache of another tenant", violation_kind::foreign_cache, 4,
         [](auto& seen) {
             seen.executions[0].tenant.value = seen.executions[1].tenant.value = "tenant-b";
             seen.calls[0].tenant.value = "tenant-b";
         }},
        {"cache of older weights", violation_kind::foreign_cache, 4,
         [](auto& seen) { seen.executions[4].version.value = "2"; }},
        {"more pieces than the prompt has", violation_kind::foreign_cache, 4,
         [](auto& seen) { seen.executions[4].cached_pieces = 3; }},
        {"a refusal without its execution", violation_kind::unstated_execution, 3,
         [](auto& seen) { seen.calls[2].execution.reset(); }},
        {"a whole answer without its execution", violation_kind::unstated_execution, 1,
         [](auto& seen) { seen.calls[0].execution.reset(); }},
        {"a refusal without a time to come back", violation_kind::missing_retry_after, 3,
         [](auto& seen) { seen.calls[2].retry_after = false; }},
    };
    return table;
}

}  // namespace

Test(auditor, right_run_has_no_violation) {
    const audit::verdict found = audit::judge(right_run());
    cr_assert(found.violations.empty(), "%s",
              found.violations.empty() ? "" : found.violations[0].detail.c_str());
    cr_assert_eq(found.attempts_beyond_first, 1U);
    cr_assert_eq(found.once_only_requests, 1U);
    cr_assert_eq(found.cache_uses, 1U);
}

ParameterizedTestParameters(auditor, each_violation) {
    static std::size_t indexes[32];
    for (std::size_t index = 0; index < rows().size(); ++index) {
        indexes[index] = index;
    }
    return cr_make_param_array(std::size_t, indexes, rows().size());
}

ParameterizedTest(std::size_t* index, auditor, each_violation) {
    const row& expected = rows()[*index];
    audit::evidence seen = right_run();
    expected.change(seen);
    const audit::verdict found = audit::judge(seen);
    cr_assert_eq(found.violations.size(), 1U, "%s: %zu violations", expected.name,
                 found.violations.size());
    cr_assert(found.violations[0].kind == expected.expected, "%s: found %s", expected.name,
              std::string(audit::to_string(found.violations[0].kind)).c_str());
    cr_assert_eq(found.violations[0].number, expected.number, "%s", expected.name);
}

Test(auditor, repeated_key_may_answer_from_the_record) {
    audit::evidence seen = right_run();
    load::call_record again = seen.calls[1];
    again.number = 5;
    again.request.value = "r5";
    seen.calls.push_back(again);
    cr_assert(audit::judge(seen).violations.empty());
}

Test(auditor, lost_lists_leave_existence_unjudged) {
    audit::evidence seen = right_run();
    seen.executions_lost = true;
    seen.executions.erase(seen.executions.begin(), seen.executions.begin() + 3);
    cr_assert(audit::judge(seen).violations.empty());
    seen.calls[0].tenant.value = "tenant-b";
    seen.calls[2].pieces.clear();
    const audit::verdict found = audit::judge(seen);
    cr_assert_eq(found.violations.size(), 1U);
    cr_assert(found.violations[0].kind == violation_kind::foreign_cache);
}
