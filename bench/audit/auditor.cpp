#include "bench/audit/auditor.hpp"

#include "bench/audit/cache_check.hpp"

#include <algorithm>
#include <map>
#include <unordered_map>
#include <utility>

namespace ferryroad::bench::audit {

namespace {

using core::execution::execution_report;
using load::answer_state;
using load::call_outcome;
using load::call_record;
using workload::request_type;

constexpr unsigned status_too_many = 429;
constexpr unsigned status_unavailable = 503;

using rows = std::vector<const execution*>;
using request_rows = std::unordered_map<base::request_id, rows>;

struct once_only_key {
    base::tenant_name tenant;
    base::idempotency_key key;

    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads defaulted comparisons.
    friend auto operator<=>(const once_only_key&, const once_only_key&) = default;
};
using key_rows = std::map<once_only_key, rows>;

std::string name_row(const execution& row) {
    return "attempt " + row.attempt.value + " on engine " + std::to_string(row.engine) +
           " incarnation " + std::to_string(row.process.value);
}

/// Judges one set of evidence, check by check.
class judgement {
  public:
    explicit judgement(const evidence& seen) : seen_(seen) {
        for (const execution& row : seen.executions) {
            by_request_[row.request].push_back(&row);
            if (row.key) {
                by_key_[{row.tenant, *row.key}].push_back(&row);
            }
        }
    }

    verdict run() {
        found_.calls = seen_.calls.size();
        found_.executions = seen_.executions.size();
        for (const call_record& call : seen_.calls) {
            check_answer(call);
            check_refusal(call);
            check_rows(call);
            check_accounted(call);
        }
        check_once_only();
        check_cache_uses(seen_, found_);
        return std::move(found_);
    }

  private:
    void report(violation_kind kind, const call_record& call, std::string detail) {
        found_.violations.push_back({kind, call.run, call.number, call.request, std::move(detail)});
    }

    rows rows_of(const call_record& call) const {
        const auto found = by_request_.find(call.request);
        return call.request.value.empty() || found == by_request_.end() ? rows{} : found->second;
    }

    rows rows_of_key(const call_record& call) const {
        const auto found = by_key_.find({call.tenant, *call.key});
        return found == by_key_.end() ? rows{} : found->second;
    }

    void check_answer(const call_record& call) {
        const bool short_of_whole =
            call.outcome == call_outcome::complete && call.answer != answer_state::exact;
        if (call.answer == answer_state::wrong || short_of_whole) {
            report(violation_kind::wrong_answer, call,
                   "after " + std::to_string(call.tokens) + " right tokens, from router " +
                       call.router.to_string());
        }
    }

    void check_refusal(const call_record& call) {
        const std::string detail =
            "status " + std::to_string(call.status) + ", code " + call.error_code;
        const bool answered =
            call.outcome != call_outcome::cut && call.outcome != call_outcome::unreachable;
        if (answered && !call.execution) {
            report(violation_kind::unstated_execution, call, detail);
        }
        if (call.outcome != call_outcome::refused) {
            return;
        }
        const bool momentary = call.status == status_too_many || call.status == status_unavailable;
        if (momentary && !call.retry_after) {
            report(violation_kind::missing_retry_after, call, detail);
        }
    }

    void check_rows(const call_record& call) {
        const rows own = rows_of(call);
        if (own.size() > 1) {
            found_.attempts_beyond_first += own.size() - 1;
        }
        for (const execution* row : own) {
            const bool told_not_run = call.outcome != call_outcome::complete &&
                                      call.execution == execution_report::not_run;
            if (told_not_run && row->ran()) {
                report(violation_kind::not_run_but_ran, call, name_row(*row));
            }
            const bool other_prompt =
                call.type == request_type::generation && row->prompt_sha256 != call.prompt_sha256;
            if (row->tenant != call.tenant || other_prompt) {
                report(violation_kind::foreign_execution, call, name_row(*row));
            }
        }
    }

    /// A whole answer needs executions that made all of it.
    void check_accounted(const call_record& call) {
        if (call.outcome != call_outcome::complete || seen_.executions_lost) {
            return;
        }
        rows own = call.key ? rows_of_key(call) : rows_of(call);
        if (call.type == request_type::generation) {
            if (!tokens_accounted(call, own)) {
                report(violation_kind::complete_never_ran, call,
                       std::to_string(call.tokens) + " tokens, " + std::to_string(own.size()) +
                           " executions");
            }
            return;
        }
        const bool ran = std::any_of(own.begin(), own.end(), [](const execution* row) {
            return row->state == execution_state::complete;
        });
        if (!ran) {
            report(violation_kind::complete_never_ran, call, "no complete execution");
        }
    }

    static bool tokens_accounted(const call_record& call, rows own) {
        std::sort(own.begin(), own.end(), [](const execution* left, const execution* right) {
            return left->first_token < right->first_token;
        });
        std::uint32_t made = 0;
        for (const execution* row : own) {
            if (row->first_token <= made) {
                made = std::max(made, row->first_token + row->tokens);
            }
        }
        return !own.empty() && made >= call.tokens;
    }

    void check_once_only() {
        std::map<once_only_key, const call_record*> keys;
        for (const call_record& call : seen_.calls) {
            if (call.type == request_type::application_write && call.key) {
                keys.try_emplace({call.tenant, *call.key}, &call);
            }
        }
        found_.once_only_requests = keys.size();
        for (const auto& [key, call] : keys) {
            rows own = rows_of_key(*call);
            std::erase_if(own, [](const execution* row) { return !row->ran(); });
            if (own.size() > 1) {
                report(violation_kind::ran_twice, *call,
                       "key " + key.key.value + ": " + name_row(*own[0]) + " and " +
                           name_row(*own[1]));
            }
        }
    }

    const evidence& seen_;
    request_rows by_request_;
    key_rows by_key_;
    verdict found_;
};

}  // namespace

std::string_view to_string(violation_kind kind) {
    switch (kind) {
        case violation_kind::ran_twice:
            return "ran-twice";
        case violation_kind::not_run_but_ran:
            return "not-run-but-ran";
        case violation_kind::complete_never_ran:
            return "complete-never-ran";
        case violation_kind::wrong_answer:
            return "wrong-answer";
        case violation_kind::foreign_execution:
            return "foreign-execution";
        case violation_kind::foreign_cache:
            return "foreign-cache";
        case violation_kind::unstated_execution:
            return "unstated-execution";
        case violation_kind::missing_retry_after:
            break;
    }
    return "missing-retry-after";
}

verdict judge(const evidence& seen) {
    return judgement(seen).run();
}

}  // namespace ferryroad::bench::audit
