/// Tests the selector with a fake directory and the local index: cache estimates, ineligible
/// engines, imports, refusals and explanations.
#include "ferryroad/router/selection/selector.hpp"

#include "bench/simulation/virtual_scheduler.hpp"
#include "ferryroad/router/selection/candidates.hpp"
#include "ferryroad/router/selection/local_prefix_knowledge.hpp"
#include "test/router/selection/fake_directory.hpp"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <string>
#include <vector>

namespace {

using namespace ferryroad;
using namespace ferryroad::router;
using namespace std::chrono_literals;
using bench::simulation::virtual_scheduler;
using bench::simulation::virtual_time;

using selection_result = runtime::result<selected_engine, selection_error>;

runtime::task<void> select_into(selection::selector& selector, selection_query query,
                                std::optional<selection_result>& destination) {
    destination = co_await selector.select(std::move(query));
}

/// The selector of one router in virtual time.
struct selector_fixture {
    virtual_time time{1};
    virtual_scheduler scheduler{time, 1};
    test::fake_directory directory;
    selection::local_prefix_knowledge knowledge{scheduler};
    selection::selector selector;

    explicit selector_fixture(std::string_view policy = "cost",
                              selection::selection_tunables tunables = {})
        : selector(directory, knowledge, core::routing::make_policy(policy), scheduler, tunables) {}

    selection_result select(selection_query query) {
        std::optional<selection_result> result;
        scheduler.spawn("select", select_into(selector, std::move(query), result));
        time.run_until(time.now() + 1ms);
        return *result;
    }
};

core::prefix::piece_chain chain_of(std::size_t pieces) {
    core::prefix::piece_chain chain;
    for (std::size_t piece = 0; piece < pieces; ++piece) {
        chain.emplace_back(1000 + piece * 7919);
    }
    return chain;
}

selection_query query_of(const std::string& id, const std::string& tenant = "alpha") {
    selection_query query;
    query.request = base::request_id(id);
    query.scope = {
        base::tenant_name(tenant), base::model_name("m"), base::weights_version("2"), {}};
    query.pieces = chain_of(10);
    query.prompt_tokens = 10000;
    query.piece_tokens = 1000;
    query.recompute_price = 2;
    query.time_left = 10s;
    return query;
}

engine::stream_started started_with(std::uint32_t cached, std::uint64_t incarnation = 1) {
    engine::stream_started started;
    started.incarnation = base::incarnation(incarnation);
    started.cached_pieces = cached;
    started.total_pieces = 10;
    return started;
}

/// A reason why an engine must not get the request.
struct ineligible_row {
    const char* description;
    void (*make_ineligible)(engine_view&, selection_query&);
};

const ineligible_row ineligible_rows[] = {
    {"tried already", [](engine_view& engine,
                         selection_query& query) { query.excluded.push_back(engine.target.name); }},
    {"another model",
     [](engine_view& engine, selection_query&) { engine.load.model = base::model_name("n"); }},
    {"older weights",
     [](engine_view& engine, selection_query&) {
         engine.load.model = base::model_name("m");
         engine.load.version = base::weights_version("1");
     }},
    {"adapter not loaded",
     [](engine_view& engine, selection_query& query) {
         query.scope.adapter = base::adapter_name("x");
         engine.load.model = base::model_name("m");
         engine.load.version = base::weights_version("2");
     }},
    {"decode role",
     [](engine_view& engine, selection_query&) { engine.load.role = engine::engine_role::decode; }},
};
constexpr std::size_t ineligible_count = sizeof(ineligible_rows) / sizeof(ineligible_rows[0]);

}  // namespace

ParameterizedTestParameters(selector, ineligible_table) {
    static std::size_t indexes[ineligible_count];
    for (std::size_t index = 0; index < ineligible_count; ++index) {
        indexes[index] = index;
    }
    return cr_make_param_array(std::size_t, indexes, ineligible_count);
}

ParameterizedTest(std::size_t* number, selector, ineligible_table) {
    const ineligible_row& row = ineligible_rows[*number];
    selector_fixture fixture;
    fixture.directory.add("a");
    auto query = query_of("r1");
    cr_assert(fixture.select(query).has_value(), "%s", row.description);
    row.make_ineligible(fixture.directory.engines.front(), query);
    const auto refused = fixture.select(query);
    cr_assert(refused.has_error(), "%s", row.description);
    cr_assert(refused.error().failure == selection_failure::no_engine);
    cr_assert(refused.error().retry_after > 0s);
}

Test(selector, prefers_the_engine_of_an_earlier_dispatch) {
    selector_fixture fixture;
    for (int engine = 0; engine < 8; ++engine) {
        fixture.directory.add("engine" + std::to_string(engine));
    }
    const auto first = fixture.select(query_of("r1"));
    const auto second = fixture.select(query_of("r2"));
    cr_assert_eq(first->expected_cached_pieces, 0);
    cr_assert(second->target.name == first->target.name);
    cr_assert_eq(second->expected_cached_pieces, 10);
}

Test(selector, another_tenants_pieces_are_ignored) {
    selector_fixture fixture;
    fixture.directory.add("a");
    fixture.select(query_of("r1", "alpha"));
    cr_assert_eq(fixture.select(query_of("r2", "beta"))->expected_cached_pieces, 0);
}

Test(selector, a_dead_incarnations_pieces_are_ignored) {
    selector_fixture fixture;
    fixture.directory.add("a");
    const auto query = query_of("r1");
    const auto selected = fixture.select(query);
    fixture.selector.record_started(query, *selected, started_with(0));
    fixture.directory.engines.front().target.incarnation = base::incarnation(2);
    cr_assert_eq(fixture.select(query_of("r2"))->expected_cached_pieces, 0);
}

Test(selector, events_add_and_evict) {
    selector_fixture fixture;
    fixture.directory.add("a");
    const auto query = query_of("r1");
    engine::cache_event_batch batch;
    batch.incarnation = base::incarnation(1);
    for (const auto piece : {0, 1, 2}) {
        batch.events.push_back({.change = engine::cache_change::stored,
                                .scope = query.scope,
                                .root = query.pieces[0],
                                .piece = query.pieces[static_cast<std::size_t>(piece)]});
    }
    batch.events.push_back({.change = engine::cache_change::evicted,
                            .scope = query.scope,
                            .root = query.pieces[0],
                            .piece = query.pieces[2]});
    fixture.knowledge.report_events(base::engine_name("a"), batch);
    cr_assert_eq(fixture.select(query)->expected_cached_pieces, 2);
    batch = {.incarnation = base::incarnation(1), .gap = true};
    fixture.knowledge.report_events(base::engine_name("a"), batch);
    cr_assert_eq(fixture.select(query_of("r2", "beta"))->expected_cached_pieces, 0);
}

namespace {

/// Adds engine "a", which holds the prompt and has a long queue, and engines "b" to "d", which are
/// idle and have empty caches.
void add_loaded_holder(selector_fixture& fixture) {
    const auto query = query_of("r0");
    fixture.directory.add("a", 60000).reported_at = fixture.scheduler.now();
    fixture.directory.add("b");
    fixture.directory.add("c");
    fixture.directory.add("d");
    fixture.knowledge.report({query.scope,
                              query.pieces,
                              {base::engine_name("a"), base::incarnation(1)},
                              core::prefix::evidence::answer});
}

}  // namespace

Test(selector, dispatches_of_other_routers_count_as_queued) {
    selector_fixture fixture;
    const engine_view& engine = fixture.directory.add("a");
    selection::prefix_answer knowledge;
    const core::prefix::engine_process process{engine.target.name, engine.target.incarnation};
    const core::prefix::engine_process dead{engine.target.name, base::incarnation(7)};
    knowledge.dispatches = {{process, 5000, 100ms}, {process, 7000, 3s}, {dead, 9000, 100ms}};
    const auto now = engine.reported_at + 1s;
    const auto policy_query =
        selection::to_routing_query(query_of("r1"), fixture.directory.engines, knowledge, now);
    cr_assert(policy_query.candidates.front().queue_wait == 500ms,
              "5,000 tokens at 10,000 per second");
}

Test(selector, imports_warm_state_from_a_loaded_holder) {
    selector_fixture fixture;
    add_loaded_holder(fixture);
    const auto query = query_of("r1");
    const auto selected = fixture.select(query);
    cr_assert(selected->import.has_value());
    cr_assert(selected->target.name != base::engine_name("a"));
    cr_assert(selected->import->source.name == base::engine_name("a"));
    cr_assert(selected->import->pieces == query.pieces);
    cr_assert(selected->import->scope == query.scope);
    cr_assert_eq(selected->expected_cached_pieces, 10);
    const auto record = fixture.selector.explain(query.request);
    for (const auto& candidate : record->candidates) {
        cr_assert_eq(candidate.import > 0s, candidate.engine != base::engine_name("a"));
    }
}

Test(selector, imports_are_limited_and_released_by_the_answer) {
    selector_fixture fixture("cost", {.import_limits = {.max_concurrent = 1}});
    add_loaded_holder(fixture);
    auto query = query_of("r1");
    const auto first = fixture.select(query);
    cr_assert(first->import.has_value());
    query.excluded.push_back(first->target.name);
    const auto second = fixture.select(query);
    cr_assert(!second->import.has_value());
    cr_assert_eq(fixture.selector.import_counts().over_limit, 1);
    fixture.selector.record_started(query_of("r1"), *first, started_with(10));
    query.excluded.push_back(second->target.name);
    cr_assert(fixture.select(query)->import.has_value());
}

Test(selector, a_refused_request_releases_its_import) {
    selector_fixture fixture("cost", {.import_limits = {.max_concurrent = 1}});
    add_loaded_holder(fixture);
    auto query = query_of("r1");
    query.time_left = 1ms;
    cr_assert(fixture.select(query).has_error());
    query.time_left = 10s;
    cr_assert(fixture.select(query)->import.has_value());
}

Test(selector, refuses_at_once_when_no_engine_can_meet_the_deadline) {
    selector_fixture fixture;
    fixture.directory.add("a", 200000).reported_at = fixture.scheduler.now();
    auto query = query_of("r1");
    query.time_left = 1s;
    const auto refused = fixture.select(query);
    cr_assert(refused.has_error());
    cr_assert(refused.error().failure == selection_failure::deadline_too_near);
    cr_assert(refused.error().retry_after >= 100ms);
    cr_assert_eq(fixture.selector.counters().refused_deadline, 1);
}

Test(selector, explains_only_recent_decisions) {
    selector_fixture fixture("cost", {.max_logged_decisions = 2});
    fixture.directory.add("a");
    fixture.directory.add("b", 50000).reported_at = fixture.scheduler.now();
    fixture.select(query_of("r1"));
    const auto record = fixture.selector.explain(base::request_id("r1"));
    cr_assert(record.has_value());
    cr_assert_str_eq(record->policy.c_str(), "cost");
    cr_assert_eq(record->candidates.size(), 2);
    for (const auto& candidate : record->candidates) {
        cr_assert_eq(candidate.chosen, candidate.engine == base::engine_name("a"));
    }
    fixture.select(query_of("r2"));
    fixture.select(query_of("r3"));
    cr_assert(!fixture.selector.explain(base::request_id("r1")).has_value());
    cr_assert(fixture.selector.explain(base::request_id("r3")).has_value());
}

Test(selector, application_requests_need_no_pieces) {
    selector_fixture fixture;
    fixture.directory.add("a");
    selection_query query;
    query.request = base::request_id("r1");
    query.time_left = 1s;
    cr_assert(fixture.select(query).has_value());
}

Test(selector, counts_estimation_errors) {
    selector_fixture fixture;
    fixture.directory.add("a");
    const auto query = query_of("r1");
    auto selected = fixture.select(query);
    fixture.selector.record_started(query, *selected, started_with(4));
    cr_assert_eq(fixture.selector.counters().pieces_underestimated, 4);
    selected = fixture.select(query);
    fixture.selector.record_started(query, *selected, started_with(7));
    cr_assert_eq(fixture.selector.counters().pieces_overestimated, 3);
    cr_assert_eq(fixture.selector.counters().pieces_total, 20);
    cr_assert_eq(fixture.selector.counters().pieces_cached, 11);
}
