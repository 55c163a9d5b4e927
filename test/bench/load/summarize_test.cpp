/// Figures follow from records, executions and what the caches held when.
#include "bench/load/summarize.hpp"

#include "ferryroad/core/prefix/pieces.hpp"

#include <criterion/criterion.h>

namespace {

using namespace ferryroad;
using namespace ferryroad::bench;
using engine::cache_change;

constexpr std::size_t piece_bytes = 8;
const std::string prompt = "aaaaaaaabbbbbbbbccccccccrest";

engine::cache_event event_of(cache_change change, base::piece_hash piece) {
    engine::cache_event event;
    event.change = change;
    event.piece = piece;
    return event;
}

core::prefix::piece_chain scoped_pieces() {
    const core::prefix::cache_namespace scope{
        base::tenant_name("t"), base::model_name("m"), base::weights_version("1"), {}};
    return core::prefix::hash_pieces(scope, prompt, piece_bytes);
}

load::call_record streamed_call() {
    load::call_record call;
    call.stream = true;
    call.prompt_sha256 = "p";
    call.sent_at = 2.0;
    call.first_token_at = 2.5;
    call.ended_at = 4.0;
    call.token_gaps = {0.1, 0.3};
    return call;
}

audit::execution execution_of(std::uint32_t cached) {
    audit::execution row;
    row.state = audit::execution_state::complete;
    row.tenant.value = "t";
    row.model.value = "m";
    row.version.value = "1";
    row.prompt_sha256 = "p";
    row.cached_pieces = cached;
    row.total_pieces = 3;
    row.tokens = 3;
    return row;
}

measure::summary summarize(const load::cache_history& caches, std::uint32_t cached) {
    const load::prompt_index prompts{{"p", std::make_shared<const std::string>(prompt)}};
    return load::summarize("run", {streamed_call()}, {execution_of(cached)}, prompts, caches,
                           piece_bytes);
}

}  // namespace

Test(cache_history, held_between_stored_and_evicted) {
    const base::piece_hash piece(5);
    load::cache_history caches;
    caches.accept(0, event_of(cache_change::stored, piece), 1.0);
    caches.accept(0, event_of(cache_change::evicted, piece), 2.0);
    caches.accept(1, event_of(cache_change::stored, piece), 3.0);
    caches.forget(1, 4.0);
    caches.accept(1, event_of(cache_change::evicted, piece), 5.0);
    const std::pair<double, bool> moments[] = {{0.5, false}, {1.0, true}, {1.9, true},
                                               {2.0, false}, {3.5, true}, {4.5, false}};
    for (const auto& [at, held] : moments) {
        cr_assert_eq(caches.held(piece, at), held, "at %f", at);
    }
    cr_assert_not(caches.held(base::piece_hash(6), 1.5));
}

Test(summarize, avoidable_is_what_was_held_and_recomputed) {
    const auto pieces = scoped_pieces();
    cr_assert_eq(pieces.size(), 3U);
    load::cache_history caches;
    caches.accept(0, event_of(cache_change::stored, pieces[0]), 1.0);
    caches.accept(1, event_of(cache_change::stored, pieces[1]), 1.0);
    caches.accept(1, event_of(cache_change::stored, pieces[2]), 2.1);
    const std::uint64_t piece_tokens = piece_bytes / core::prefix::bytes_per_token;
    const measure::summary cold = summarize(caches, 0);
    cr_assert_eq(cold.tokens.total, 3 * piece_tokens);
    cr_assert_eq(cold.tokens.avoidable, 2 * piece_tokens);
    const measure::summary warm = summarize(caches, 1);
    cr_assert_eq(warm.tokens.cached, piece_tokens);
    cr_assert_eq(warm.tokens.avoidable, piece_tokens);
    cr_assert_eq(summarize(caches, 3).tokens.avoidable, 0U);
}

Test(summarize, a_gap_ends_the_prefix) {
    const auto pieces = scoped_pieces();
    load::cache_history caches;
    caches.accept(0, event_of(cache_change::stored, pieces[1]), 1.0);
    cr_assert_eq(summarize(caches, 0).tokens.avoidable, 0U);
}

Test(summarize, times) {
    const measure::summary run = summarize({}, 0);
    cr_assert_float_eq(run.first_token.quantile(0.5), 0.5, 1e-9);
    cr_assert_eq(run.token_gap.count(), 2U);
    cr_assert_float_eq(run.seconds, 2.0, 1e-9);
    cr_assert_eq(run.complete, 1U);
}
