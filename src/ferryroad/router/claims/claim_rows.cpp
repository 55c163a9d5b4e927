#include "ferryroad/router/claims/claim_rows.hpp"

#include <utility>

namespace ferryroad::router {

namespace claims = coordination::claim;

namespace {

claims::stored_row to_stored(const platform::row& row) {
    return {claims::row_version(row.version.value), row.value};
}

platform::row_version to_platform(claims::row_version version) {
    return platform::row_version(version.value);
}

recorded_outcome from_stored_outcome(const claims::outcome& stored) {
    recorded_outcome outcome;
    outcome.execution = core::execution::execution_report::complete;
    outcome.status = stored.status;
    outcome.content_type = stored.content_type;
    outcome.body = stored.body;
    return outcome;
}

recorded_outcome unknown_outcome() {
    recorded_outcome outcome;
    outcome.execution = core::execution::execution_report::unknown;
    return outcome;
}

claim_result result_of(claim_answer answer) {
    claim_result result;
    result.answer = answer;
    return result;
}

}  // namespace

platform::row_key row_key_of(const claim_request& request) {
    return platform::row_key(claim_key_prefix + request.tenant.value + '/' + request.route.value +
                             '/' + request.key.value);
}

platform::transaction to_transaction(const platform::row_key& key, const claims::write_row& write) {
    platform::transaction table_transaction;
    table_transaction.conditions.push_back({key, to_platform(write.expected)});
    table_transaction.writes.push_back({key, write.value});
    return table_transaction;
}

claims::event to_event(const platform::result<std::vector<platform::transaction_outcome>>& answer) {
    if (answer.has_error()) {
        const platform::error& failure = answer.error();
        const bool certainly_not_applied = failure.code == platform::error_code::unavailable ||
                                           failure.code == platform::error_code::rate_limited;
        if (certainly_not_applied) {
            return claims::write_refused{failure.retry_after};
        }
        return claims::write_lost{};
    }
    if (answer->size() != 1) {
        return claims::write_lost{};
    }
    const platform::transaction_outcome& outcome = answer->front();
    if (outcome.committed) {
        return claims::write_committed{claims::row_version(outcome.version.value)};
    }
    if (!outcome.conflicting) {
        return claims::write_lost{};
    }
    return claims::write_conflicted{to_stored(*outcome.conflicting)};
}

claims::event to_event(const platform::result<std::vector<platform::row>>& answer) {
    if (answer.has_error()) {
        return claims::read_failed{answer.error().retry_after};
    }
    return claims::row_read{answer->empty() ? claims::stored_row{} : to_stored(answer->front())};
}

runtime::result<claim_result, platform::error> to_claim_result(const claims::ended& end,
                                                               const claim_tunables& limits) {
    switch (end.result) {
        case claims::claim_outcome::granted:
            return result_of(claim_answer::granted);
        case claims::claim_outcome::in_progress:
            return result_of(claim_answer::in_progress);
        case claims::claim_outcome::other_content:
            return result_of(claim_answer::other_content);
        case claims::claim_outcome::finished:
        case claims::claim_outcome::unknown: {
            claim_result result = result_of(claim_answer::finished);
            const bool has_outcome =
                end.result == claims::claim_outcome::finished && end.kept_outcome;
            result.outcome =
                has_outcome ? from_stored_outcome(*end.kept_outcome) : unknown_outcome();
            return result;
        }
        case claims::claim_outcome::unavailable:
            break;
    }
    return platform::error{platform::error_code::unavailable, "the claim could not be recorded",
                           end.retry_after.value_or(limits.retry_after)};
}

claims::outcome to_stored_outcome(const recorded_outcome& outcome) {
    return {outcome.status, outcome.content_type, outcome.body};
}

}  // namespace ferryroad::router
