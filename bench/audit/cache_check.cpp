#include "bench/audit/cache_check.hpp"

#include <compare>
#include <map>
#include <set>
#include <unordered_map>

namespace ferryroad::bench::audit {

namespace {

/// One piece as one namespace knows it. Chained, it stands for the whole prefix.
struct scoped_piece {
    base::tenant_name tenant;
    base::model_name model;
    base::weights_version version;
    base::piece_hash piece;

    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads defaulted comparisons.
    friend auto operator<=>(const scoped_piece&, const scoped_piece&) = default;
};

/// One process of one engine.
struct holder {
    std::size_t engine = 0;
    base::incarnation process;

    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads defaulted comparisons.
    friend auto operator<=>(const holder&, const holder&) = default;
};

using call_index = std::unordered_map<std::string, const load::call_record*>;
/// How many executions on each engine process computed or used the piece.
using holder_counts = std::map<holder, std::uint64_t>;

call_index index_by_prompt(const std::vector<load::call_record>& calls) {
    call_index index;
    for (const load::call_record& call : calls) {
        if (!call.prompt_sha256.empty()) {
            index.emplace(call.prompt_sha256, &call);
        }
    }
    return index;
}

scoped_piece scope_of(const execution& row, const base::piece_hash& piece) {
    return {row.tenant, row.model, row.version, piece};
}

std::map<scoped_piece, holder_counts> index_holders(const evidence& seen, const call_index& calls) {
    std::map<scoped_piece, holder_counts> holders;
    for (const execution& row : seen.executions) {
        const auto call = calls.find(row.prompt_sha256);
        if (call == calls.end() || !row.ran()) {
            continue;
        }
        for (const base::piece_hash& piece : call->second->pieces) {
            ++holders[scope_of(row, piece)][holder{row.engine, row.process}];
        }
    }
    return holders;
}

/// The row itself counts among its own process's holders.
bool entitled(const execution& row, const holder_counts& counts) {
    const holder self{row.engine, row.process};
    const auto own = counts.find(self);
    if (own != counts.end() && own->second > 1) {
        return true;
    }
    for (const auto& [other, count] : counts) {
        if (other.engine != row.engine) {
            return true;  // Warm state may be moved between engines.
        }
    }
    return false;
}

/// How many calls of one tenant sent a prompt with the piece.
using sent_counts = std::map<std::pair<base::tenant_name, base::piece_hash>, std::uint64_t>;

sent_counts count_sent(const std::vector<load::call_record>& calls) {
    sent_counts counts;
    for (const load::call_record& call : calls) {
        for (const base::piece_hash& piece : call.pieces) {
            ++counts[{call.tenant, piece}];
        }
    }
    return counts;
}

void report_use(const execution& row, const load::call_record& call, verdict& found) {
    found.violations.push_back(
        {violation_kind::foreign_cache, call.run, call.number, row.request,
         "attempt " + row.attempt.value + " on engine " + std::to_string(row.engine) +
             " incarnation " + std::to_string(row.process.value) + " used " +
             std::to_string(row.cached_pieces) + " cached pieces of tenant " + row.tenant.value +
             ", model " + row.model.value + ", version " + row.version.value +
             " that no entitled execution had computed"});
}

}  // namespace

void check_cache_uses(const evidence& seen, verdict& found) {
    const call_index calls = index_by_prompt(seen.calls);
    const auto holders = index_holders(seen, calls);
    const sent_counts sent = seen.executions_lost ? count_sent(seen.calls) : sent_counts{};
    for (const execution& row : seen.executions) {
        if (row.cached_pieces == 0) {
            continue;
        }
        const auto call = calls.find(row.prompt_sha256);
        if (call == calls.end()) {
            ++found.cache_uses_unjudged;
            continue;
        }
        ++found.cache_uses;
        const auto& pieces = call->second->pieces;
        if (row.cached_pieces > pieces.size()) {
            report_use(row, *call->second, found);
            continue;
        }
        const base::piece_hash& last = pieces[row.cached_pieces - 1];
        if (seen.executions_lost) {
            const auto count = sent.find({row.tenant, last});
            if (count == sent.end() || count->second < 2) {
                report_use(row, *call->second, found);
            }
            continue;
        }
        const auto known = holders.find(scope_of(row, last));
        if (known == holders.end() || !entitled(row, known->second)) {
            report_use(row, *call->second, found);
        }
    }
}

}  // namespace ferryroad::bench::audit
