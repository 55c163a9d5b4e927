#include "bench/load/summarize.hpp"

#include "ferryroad/core/prefix/pieces.hpp"

#include <algorithm>

namespace ferryroad::bench::load {

namespace {

void count_call(const call_record& record, measure::summary& run) {
    ++run.requests;
    switch (record.outcome) {
        case call_outcome::complete:
            ++run.complete;
            break;
        case call_outcome::refused:
            ++run.refused[record.error_code];
            break;
        case call_outcome::failed:
            ++run.failed;
            break;
        case call_outcome::cut:
        case call_outcome::unreachable:
            ++run.cut;
            break;
    }
    if (record.answer == answer_state::wrong) {
        ++run.wrong;
    }
    if (record.stream && record.first_token_at > 0) {
        run.first_token.add(record.first_token_at - record.sent_at);
    }
    for (const double gap : record.token_gaps) {
        run.token_gap.add(gap);
    }
}

double seconds_of(const std::vector<call_record>& records) {
    double first = records.empty() ? 0 : records.front().sent_at;
    double last = first;
    for (const call_record& record : records) {
        first = std::min(first, record.sent_at);
        last = std::max(last, record.ended_at);
    }
    return last - first;
}

/// @return recomputed pieces of one execution that an engine held as the request was sent.
std::uint64_t avoidable_pieces(const audit::execution& row, const std::string& prompt,
                               double sent_at, const cache_history& caches,
                               std::size_t piece_bytes) {
    const core::prefix::cache_namespace scope{row.tenant, row.model, row.version, {}};
    const auto pieces = core::prefix::hash_pieces(scope, prompt, piece_bytes);
    std::uint64_t avoidable = 0;
    for (std::size_t depth = row.cached_pieces; depth < pieces.size(); ++depth) {
        if (!caches.held(pieces[depth], sent_at)) {
            break;  // Without this piece the later ones are of no use.
        }
        ++avoidable;
    }
    return avoidable;
}

}  // namespace

measure::summary summarize(const std::string& label, const std::vector<call_record>& records,
                           const std::vector<audit::execution>& executions,
                           const prompt_index& prompts, const cache_history& caches,
                           std::size_t piece_bytes) {
    measure::summary run;
    run.label = label;
    run.seconds = seconds_of(records);
    std::unordered_map<std::string, double> sent_at;
    for (const call_record& record : records) {
        count_call(record, run);
        if (!record.prompt_sha256.empty()) {
            sent_at.emplace(record.prompt_sha256, record.sent_at);
        }
    }
    const std::uint64_t piece_tokens = piece_bytes / core::prefix::bytes_per_token;
    for (const audit::execution& row : executions) {
        const auto sent = sent_at.find(row.prompt_sha256);
        if (sent == sent_at.end() || !row.ran()) {
            continue;
        }
        run.tokens.total += row.total_pieces * piece_tokens;
        run.tokens.cached += row.cached_pieces * piece_tokens;
        const std::string& prompt = *prompts.at(row.prompt_sha256);
        run.tokens.avoidable +=
            piece_tokens * avoidable_pieces(row, prompt, sent->second, caches, piece_bytes);
    }
    return run;
}

}  // namespace ferryroad::bench::load
