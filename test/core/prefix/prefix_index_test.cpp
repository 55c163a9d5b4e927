/// Learned index: what invalidates its entries, and comparison with a naive model.
#include "ferryroad/core/prefix/prefix_index.hpp"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace {

using namespace ferryroad;
using namespace ferryroad::core::prefix;
using namespace std::chrono_literals;

constexpr base::duration lifetime = 20s;

cache_namespace scope_of(const std::string& tenant, const std::string& version) {
    return {base::tenant_name(tenant), base::model_name("m"), base::weights_version(version), {}};
}

const cache_namespace alpha = scope_of("alpha", "1");
const cache_namespace beta = scope_of("beta", "1");
const cache_namespace newer_weights = scope_of("alpha", "2");

engine_process process_of(const std::string& engine, std::uint64_t incarnation) {
    return {base::engine_name(engine), base::incarnation(incarnation)};
}

piece_chain chain_of(std::size_t pieces, std::uint64_t first = 100) {
    piece_chain chain;
    for (std::size_t piece = 0; piece < pieces; ++piece) {
        chain.emplace_back(first + piece);
    }
    return chain;
}

base::monotonic_time at(base::duration since_start) {
    return base::monotonic_time(since_start);
}

/// Number of pieces assumed to be cached by engine "a" after `arrange` was applied to an index with
/// three pieces there since second 0.
struct row {
    const char* name;
    evidence why;
    void (*arrange)(prefix_index&);
    const cache_namespace* asked_scope;
    base::duration asked_at;
    std::uint32_t expected_pieces;
};

const row rows[] = {
    {"held", evidence::dispatch, [](prefix_index&) {}, &alpha, 1s, 3},
    {"another tenant", evidence::answer, [](prefix_index&) {}, &beta, 1s, 0},
    {"other weights", evidence::answer, [](prefix_index&) {}, &newer_weights, 1s, 0},
    {"aged out", evidence::answer, [](prefix_index&) {}, &alpha, lifetime + 1ms, 0},
    {"new incarnation", evidence::answer,
     [](prefix_index& index) { index.record_incarnation(process_of("a", 2)); }, &alpha, 1s, 0},
    {"late event of an old incarnation", evidence::answer,
     [](prefix_index& index) {
         index.record_incarnation(process_of("a", 2));
         index.record(alpha, chain_of(3), process_of("a", 1), evidence::event, at(1s));
     },
     &alpha, 1s, 0},
    {"gap voids what events said", evidence::event,
     [](prefix_index& index) { index.record_gap(process_of("a", 1)); }, &alpha, 1s, 0},
    {"gap voids dispatches", evidence::dispatch,
     [](prefix_index& index) { index.record_gap(process_of("a", 1)); }, &alpha, 1s, 0},
    {"gap keeps what answers confirmed", evidence::answer,
     [](prefix_index& index) { index.record_gap(process_of("a", 1)); }, &alpha, 1s, 3},
    {"event right after a gap counts", evidence::event,
     [](prefix_index& index) {
         index.record_gap(process_of("a", 1));
         index.record(alpha, chain_of(2), process_of("a", 1), evidence::event, at(0s));
     },
     &alpha, 1s, 2},
    {"gap of a dead incarnation says nothing of the live one", evidence::event,
     [](prefix_index& index) { index.record_gap(process_of("a", 0)); }, &alpha, 1s, 3},
    {"leaf evicted", evidence::answer,
     [](prefix_index& index) {
         index.record_evicted(alpha, base::piece_hash(102), process_of("a", 1));
     },
     &alpha, 1s, 2},
    {"middle evicted ends the match there", evidence::answer,
     [](prefix_index& index) {
         index.record_evicted(alpha, base::piece_hash(101), process_of("a", 1));
     },
     &alpha, 1s, 1},
    {"eviction in another namespace", evidence::answer,
     [](prefix_index& index) {
         index.record_evicted(beta, base::piece_hash(101), process_of("a", 1));
     },
     &alpha, 1s, 3},
    {"eviction by an old incarnation", evidence::answer,
     [](prefix_index& index) {
         index.record_evicted(alpha, base::piece_hash(100), process_of("a", 0));
     },
     &alpha, 1s, 3},
    {"engine gone", evidence::answer,
     [](prefix_index& index) { index.forget(base::engine_name("a")); }, &alpha, 1s, 0},
};
constexpr std::size_t row_count = sizeof(rows) / sizeof(rows[0]);

}  // namespace

ParameterizedTestParameters(prefix_index, validity_table) {
    static std::size_t indexes[row_count];
    for (std::size_t index = 0; index < row_count; ++index) {
        indexes[index] = index;
    }
    return cr_make_param_array(std::size_t, indexes, row_count);
}

ParameterizedTest(std::size_t* number, prefix_index, validity_table) {
    const row& expected = rows[*number];
    prefix_index index({.entries = 64, .lifetime = lifetime, .holders_per_piece = 8});
    index.record(alpha, chain_of(3), process_of("a", 1), expected.why, at(0s));
    expected.arrange(index);
    const auto holders = index.lookup(*expected.asked_scope, chain_of(5), at(expected.asked_at));
    const std::uint32_t pieces = holders.empty() ? 0 : holders.front().pieces;
    cr_assert_eq(pieces, expected.expected_pieces, "%s: %u", expected.name, pieces);
}

Test(prefix_index, longest_match_comes_first) {
    prefix_index index({});
    index.record(alpha, chain_of(2), process_of("a", 1), evidence::answer, at(0s));
    index.record(alpha, chain_of(5), process_of("b", 7), evidence::answer, at(1s));
    const auto holders = index.lookup(alpha, chain_of(4), at(3s));
    cr_assert_eq(holders.size(), 2);
    cr_assert(holders[0].process == process_of("b", 7));
    cr_assert_eq(holders[0].pieces, 4);
    cr_assert(holders[0].age == 2s);
    cr_assert_eq(holders[1].pieces, 2);
}

Test(prefix_index, memory_is_bounded_and_the_least_recent_goes_first) {
    prefix_index index({.entries = 8, .lifetime = lifetime, .holders_per_piece = 2});
    index.record(alpha, chain_of(4, 100), process_of("a", 1), evidence::answer, at(0s));
    index.record(alpha, chain_of(4, 200), process_of("a", 1), evidence::answer, at(1s));
    index.record(alpha, chain_of(2, 300), process_of("a", 1), evidence::answer, at(2s));
    cr_assert_eq(index.size(), 8);
    cr_assert_eq(index.lookup(alpha, chain_of(4, 100), at(2s)).front().pieces, 2);
    cr_assert_eq(index.lookup(alpha, chain_of(4, 200), at(2s)).front().pieces, 4);
}

Test(prefix_index, a_piece_has_a_bounded_number_of_holders) {
    prefix_index index({.entries = 64, .lifetime = lifetime, .holders_per_piece = 2});
    index.record(alpha, chain_of(1), process_of("a", 1), evidence::answer, at(0s));
    index.record(alpha, chain_of(1), process_of("b", 1), evidence::answer, at(1s));
    index.record(alpha, chain_of(1), process_of("c", 1), evidence::answer, at(2s));
    const auto holders = index.lookup(alpha, chain_of(1), at(2s));
    cr_assert_eq(holders.size(), 2);
    cr_assert(holders[0].process == process_of("b", 1));
    cr_assert(holders[1].process == process_of("c", 1));
}

namespace {

/// Reference implementation without limits on memory.
struct naive_model {
    struct fact {
        base::monotonic_time seen_at;
        bool answered = false;
        bool event_lost_since = false;
    };
    std::map<base::engine_name, base::incarnation> current;
    std::map<std::pair<cache_namespace, std::pair<engine_process, base::piece_hash>>, fact> facts;

    bool is_current(const engine_process& process) {
        auto& known = current[process.engine];
        known = std::max(known, process.incarnation);
        return known == process.incarnation;
    }
    bool is_valid(const fact& each, base::monotonic_time now) const {
        return now - each.seen_at <= lifetime && (each.answered || !each.event_lost_since);
    }
    void record(const cache_namespace& scope, const piece_chain& pieces,
                const engine_process& process, evidence why, base::monotonic_time now) {
        if (!is_current(process)) {
            return;
        }
        for (const auto piece : pieces) {
            fact& each = facts[{scope, {process, piece}}];
            const bool answered_before = each.answered && is_valid(each, now);
            each = {now, answered_before || why == evidence::answer, false};
        }
    }
    void gap(const engine_process& process) {
        if (!is_current(process)) {
            return;
        }
        for (auto& [key, each] : facts) {
            each.event_lost_since |= key.second.first == process;
        }
    }
    std::uint32_t match(const cache_namespace& scope, const piece_chain& pieces,
                        const engine_process& process, base::monotonic_time now) const {
        std::uint32_t depth = 0;
        while (depth < pieces.size()) {
            const auto found = facts.find({scope, {process, pieces[depth]}});
            if (found == facts.end() || !is_valid(found->second, now)) {
                break;
            }
            ++depth;
        }
        return depth;
    }
};

}  // namespace

Test(prefix_index, agrees_with_a_naive_model) {
    cr_assert(rc::check("same holders, never of another tenant, version or incarnation", [] {
        prefix_index index({.entries = 4096, .lifetime = lifetime, .holders_per_piece = 64});
        naive_model model;
        const std::vector<cache_namespace> scopes{alpha, beta, newer_weights};
        const std::vector<std::string> engines{"a", "b", "c"};
        base::monotonic_time now = at(0s);
        const auto steps = *rc::gen::inRange(1, 80);
        for (int step = 0; step < steps; ++step) {
            now += std::chrono::milliseconds(*rc::gen::inRange(0, 4000));
            const auto& scope = scopes[*rc::gen::inRange<std::size_t>(0, scopes.size())];
            const auto process = process_of(engines[*rc::gen::inRange<std::size_t>(0, 3)],
                                            *rc::gen::inRange<std::uint64_t>(1, 4));
            // Two families of prompts, with the same hashes in all namespaces on purpose.
            const auto first = *rc::gen::element<std::uint64_t>(100, 200);
            const auto pieces = chain_of(*rc::gen::inRange<std::size_t>(1, 6), first);
            switch (*rc::gen::inRange(0, 8)) {
                case 0:
                    index.record_gap(process);
                    model.gap(process);
                    break;
                case 1:
                    index.record_incarnation(process);
                    model.is_current(process);
                    break;
                case 2:
                    index.record_evicted(scope, pieces.back(), process);
                    model.facts.erase({scope, {process, pieces.back()}});
                    break;
                default: {
                    const auto why =
                        *rc::gen::element(evidence::dispatch, evidence::event, evidence::answer);
                    index.record(scope, pieces, process, why, now);
                    model.record(scope, pieces, process, why, now);
                }
            }
            const auto asked = chain_of(6, first);
            std::map<engine_process, std::uint32_t> expected;
            for (const auto& [engine, incarnation] : model.current) {
                const engine_process current{engine, incarnation};
                if (const auto match = model.match(scope, asked, current, now)) {
                    expected[current] = match;
                }
            }
            std::map<engine_process, std::uint32_t> found;
            for (const auto& each : index.lookup(scope, asked, now)) {
                found[each.process] = each.pieces;
            }
            RC_ASSERT(found == expected);
        }
    }));
}
