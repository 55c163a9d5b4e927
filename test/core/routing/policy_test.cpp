/// Choices of each policy, and properties that all policies have in common.
#include "ferryroad/core/routing/policy.hpp"

#include "ferryroad/core/routing/estimate.hpp"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <rapidcheck.h>

#include <algorithm>
#include <set>
#include <string>

namespace {

using namespace ferryroad;
using namespace ferryroad::core::routing;
using namespace std::chrono_literals;

constexpr std::uint32_t piece_tokens = 1000;
/// At this rate the prefill of one piece takes 100 ms.
constexpr double test_prefill_rate = 10000;

struct engine_row {
    const char* name;
    base::duration queue_wait;
    std::uint32_t cached_pieces;
};

/// Expected decision for a prompt of ten pieces and the engines `a` to `c`.
struct row {
    const char* about;
    const char* policy;
    engine_row engines[3];
    double price;
    import_estimate import;
    const char* chosen;
    std::uint32_t imported;
};

constexpr import_estimate no_import{};
constexpr import_estimate fast_import{true, 20ms, 10ms};
constexpr import_estimate slow_import{true, 20ms, 150ms};

const row rows[] = {
    {"the shortest queue",
     "least_loaded",
     {{"a", 2s, 9}, {"b", 1s, 0}, {"c", 3s, 0}},
     1,
     no_import,
     "b",
     0},
    {"the longest match",
     "index_only",
     {{"a", 9s, 9}, {"b", 0s, 8}, {"c", 0s, 0}},
     1,
     no_import,
     "a",
     0},
    {"equal match, shorter queue",
     "index_only",
     {{"a", 9s, 8}, {"b", 1s, 8}, {"c", 0s, 0}},
     1,
     no_import,
     "b",
     0},
    {"cached and idle", "cost", {{"a", 0s, 9}, {"b", 0s, 0}, {"c", 0s, 0}}, 1, no_import, "a", 0},
    {"waiting is longer than prefill",
     "cost",
     {{"a", 2s, 9}, {"b", 0s, 0}, {"c", 3s, 0}},
     1,
     no_import,
     "b",
     0},
    {"the price makes waiting worth it",
     "cost",
     {{"a", 2s, 9}, {"b", 0s, 0}, {"c", 3s, 0}},
     3,
     no_import,
     "a",
     0},
    {"a price under 1 weighs time alone",
     "cost",
     {{"a", 500ms, 9}, {"b", 0s, 0}, {"c", 3s, 0}},
     0,
     no_import,
     "a",
     0},
    {"import beats prefill",
     "cost",
     {{"a", 2s, 9}, {"b", 0s, 1}, {"c", 3s, 0}},
     2,
     fast_import,
     "b",
     8},
    {"import slower than prefill",
     "cost",
     {{"a", 2s, 9}, {"b", 0s, 1}, {"c", 3s, 0}},
     1,
     slow_import,
     "b",
     0},
    {"the holder imports nothing",
     "cost",
     {{"a", 0s, 9}, {"b", 0s, 0}, {"c", 0s, 0}},
     2,
     fast_import,
     "a",
     0},
    {"full knowledge",
     "ideal",
     {{"a", 2s, 9}, {"b", 1s, 0}, {"c", 1500ms, 6}},
     1,
     no_import,
     "c",
     0},
};
constexpr std::size_t row_count = sizeof(rows) / sizeof(rows[0]);

core::prefix::piece_chain chain_of(std::size_t pieces, std::uint64_t first) {
    core::prefix::piece_chain chain;
    for (std::size_t piece = 0; piece < pieces; ++piece) {
        chain.emplace_back(first + piece * 7919);
    }
    return chain;
}

candidate engine_of(const std::string& name, base::duration queue_wait, std::uint32_t cached) {
    return {
        base::engine_name(name), base::incarnation(1), queue_wait, test_prefill_rate, 0, cached};
}

routing_query query_of(std::size_t pieces, std::uint64_t first) {
    routing_query query;
    query.pieces = chain_of(pieces, first);
    query.prompt_tokens = pieces * piece_tokens;
    query.piece_tokens = piece_tokens;
    return query;
}

std::string name_of(const routing_query& query, const decision& made) {
    return query.candidates[made.chosen].engine.value;
}

}  // namespace

ParameterizedTestParameters(policy, choice_table) {
    static std::size_t indexes[row_count];
    for (std::size_t index = 0; index < row_count; ++index) {
        indexes[index] = index;
    }
    return cr_make_param_array(std::size_t, indexes, row_count);
}

ParameterizedTest(std::size_t* number, policy, choice_table) {
    const row& expected = rows[*number];
    base::seeded_random random(1);
    routing_query query = query_of(10, 42);
    query.recompute_price = expected.price;
    query.import = expected.import;
    for (const engine_row& engine : expected.engines) {
        query.candidates.push_back(engine_of(engine.name, engine.queue_wait, engine.cached_pieces));
    }
    const auto made = make_policy(expected.policy)->choose(query, random);
    cr_assert(made.has_value());
    cr_assert_str_eq(name_of(query, *made).c_str(), expected.chosen, "%s", expected.about);
    const auto figures =
        std::find_if(made->considered.begin(), made->considered.end(),
                     [&](const candidate_figures& each) { return each.candidate == made->chosen; });
    cr_assert(figures != made->considered.end());
    cr_assert_eq(figures->imported_pieces, expected.imported, "%s", expected.about);
    cr_assert_eq(made->import.has_value(), expected.imported > 0);
}

Test(policy, names_and_factory_agree) {
    for (const auto name : policy_names()) {
        const auto made = make_policy(name);
        cr_assert_not_null(made.get());
        cr_assert(made->name() == name);
    }
    cr_assert_null(make_policy("no such policy").get());
}

Test(policy, round_robin_takes_each_in_turn_whatever_the_order) {
    base::seeded_random random(1);
    routing_query query = query_of(3, 1);
    query.candidates = {engine_of("c", 0s, 0), engine_of("a", 0s, 0), engine_of("b", 0s, 0)};
    const auto policy = make_policy("round_robin");
    std::string taken;
    for (int request = 0; request < 6; ++request) {
        taken += name_of(query, *policy->choose(query, random));
        std::rotate(query.candidates.begin(), query.candidates.begin() + 1, query.candidates.end());
    }
    cr_assert_str_eq(taken.c_str(), "abcabc");
}

Test(policy, bounded_rendezvous_skips_an_overloaded_engine) {
    base::seeded_random random(1);
    routing_query query = query_of(3, 1);
    query.candidates = {engine_of("a", 0s, 0), engine_of("b", 0s, 0), engine_of("c", 0s, 0)};
    const auto plain = make_policy("rendezvous")->choose(query, random);
    const auto idle = make_policy("rendezvous_bounded")->choose(query, random);
    cr_assert_eq(idle->chosen, plain->chosen);
    query.candidates[plain->chosen].queue_wait = 10s;
    const auto loaded = make_policy("rendezvous_bounded")->choose(query, random);
    cr_assert_neq(loaded->chosen, plain->chosen);
    cr_assert_eq(make_policy("rendezvous")->choose(query, random)->chosen, plain->chosen);
}

Test(policy, an_engine_that_meets_the_deadline_beats_a_cheaper_one) {
    base::seeded_random random(1);
    routing_query query = query_of(10, 42);
    query.recompute_price = 8;
    query.candidates = {engine_of("a", 2s, 10), engine_of("b", 0s, 0)};
    const auto policy = make_policy("cost");
    cr_assert_str_eq(name_of(query, *policy->choose(query, random)).c_str(), "a");
    query.time_left = 1500ms;
    cr_assert_str_eq(name_of(query, *policy->choose(query, random)).c_str(), "b");
}

Test(policy, all_engines_are_evaluated_if_no_selected_one_meets_the_deadline) {
    base::seeded_random random(1);
    routing_query query = query_of(1, 42);
    query.time_left = 1s;
    for (int engine = 0; engine < 40; ++engine) {
        query.candidates.push_back(engine_of("engine" + std::to_string(engine), 5s, 0));
    }
    for (std::size_t idle = 0; idle < query.candidates.size(); ++idle) {
        query.candidates[idle].queue_wait = 0s;
        cr_assert_eq(make_policy("cost")->choose(query, random)->chosen, idle);
        query.candidates[idle].queue_wait = 5s;
    }
}

Test(policy, queue_wait_is_corrected_by_age_and_later_dispatches) {
    reported_load load{.queued_prefill_tokens = 20000,
                       .prefill_tokens_per_second = test_prefill_rate,
                       .age = 500ms,
                       .prefill_tokens_since = 5000};
    cr_assert(estimate_queue_wait(load) == 2s);
    load.age = 1min;
    cr_assert(estimate_queue_wait(load) == 500ms);
}

namespace {

routing_query any_query() {
    routing_query query =
        query_of(*rc::gen::inRange<std::size_t>(0, 20), *rc::gen::inRange<std::uint64_t>(1, 1000));
    query.recompute_price = *rc::gen::element(0.0, 1.0, 2.0, 8.0);
    query.import = *rc::gen::element(no_import, fast_import, slow_import);
    const auto engines = *rc::gen::inRange(0, 12);
    for (int engine = 0; engine < engines; ++engine) {
        const auto wait = std::chrono::milliseconds(*rc::gen::inRange(0, 5000));
        const auto cached = *rc::gen::inRange<std::uint32_t>(
            0, static_cast<std::uint32_t>(query.pieces.size()) + 1);
        query.candidates.push_back(engine_of("engine" + std::to_string(engine), wait, cached));
    }
    return query;
}

}  // namespace

Test(policy, every_policy_answers_with_a_candidate_and_its_figures) {
    cr_assert(rc::check("a candidate, its figures, and the least cost for the cost policies", [] {
        routing_query query = any_query();
        if (*rc::gen::arbitrary<bool>()) {
            query.time_left = std::chrono::milliseconds(*rc::gen::inRange(0, 3000));
        }
        base::seeded_random random(*rc::gen::arbitrary<std::uint64_t>());
        for (const auto name : policy_names()) {
            const auto made = make_policy(name)->choose(query, random);
            RC_ASSERT(made.has_value() == !query.candidates.empty());
            if (!made) {
                continue;
            }
            RC_ASSERT(made->chosen < query.candidates.size());
            std::set<std::size_t> seen;
            const auto rank_of = [&query](const candidate_figures& each) {
                const bool late = each.queue_wait + each.import + each.prefill > query.time_left;
                return std::pair(late, each.cost);
            };
            auto least = std::pair(true, base::duration::max());
            auto chosen_rank = least;
            for (const auto& each : made->considered) {
                RC_ASSERT(seen.insert(each.candidate).second);
                RC_ASSERT(each.cost >= each.queue_wait + each.prefill + each.import);
                least = std::min(least, rank_of(each));
                chosen_rank = each.candidate == made->chosen ? rank_of(each) : chosen_rank;
            }
            RC_ASSERT(seen.count(made->chosen) == 1U);
            RC_ASSERT(chosen_rank == least);
        }
    }));
}

Test(policy, rendezvous_moves_only_the_keys_of_a_lost_engine) {
    cr_assert(rc::check("removal of another engine changes no choice", [] {
        routing_query query = query_of(5, *rc::gen::arbitrary<std::uint64_t>());
        for (const char* name : {"a", "b", "c", "d", "e"}) {
            query.candidates.push_back(engine_of(name, 0s, 0));
        }
        base::seeded_random random(1);
        const auto policy = make_policy("rendezvous");
        const std::string before = name_of(query, *policy->choose(query, random));
        const auto removed = *rc::gen::inRange<std::size_t>(0, 5);
        const std::string removed_name = query.candidates[removed].engine.value;
        query.candidates.erase(query.candidates.begin() + static_cast<std::ptrdiff_t>(removed));
        const std::string after = name_of(query, *policy->choose(query, random));
        RC_ASSERT(after != removed_name);
        RC_ASSERT(before == removed_name || before == after);
    }));
}
