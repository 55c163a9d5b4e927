/// The engine registry: active engines, restarts of engines, pools, recently used engines and
/// software counts.
#include "ferryroad/relay/engine_registry.hpp"

#include <criterion/criterion.h>

#include <optional>
#include <vector>

using namespace ferryroad;
using namespace ferryroad::relay;
using namespace std::chrono_literals;

namespace {

const base::monotonic_time start{};

engine_registry registry_of(int engines) {
    engine_registry registry;
    for (int number = 0; number < engines; ++number) {
        listed_engine one;
        one.name.value = "e" + std::to_string(number);
        registry.put(one);
    }
    return registry;
}

}  // namespace

Test(engine_registry, engine_is_active_while_it_has_requests) {
    engine_registry registry = registry_of(3);
    cr_assert(registry.active(start).empty());
    std::optional<engine_load> first(std::in_place, registry, base::engine_name("e1"), 10);
    {
        const engine_load second(registry, base::engine_name("e1"), 20);
        cr_assert_eq(registry.active(start).size(), 1);
    }
    const auto active = registry.active(start);
    cr_assert_eq(active.size(), 1);
    cr_assert_eq(active.front()->running, 1);
    first.reset();
    cr_assert(registry.active(start).empty());
}

Test(engine_registry, refusing_engine_is_active_until_the_refusal_ends) {
    engine_registry registry = registry_of(2);
    {
        const engine_load sent(registry, base::engine_name("e0"), 10);
        registry.find(base::engine_name("e0"))->refuses_until = start + 150ms;
    }
    cr_assert_eq(registry.active(start).size(), 1);
    cr_assert(registry.active(start + 150ms).empty());
}

Test(engine_registry, removed_engine_is_not_active) {
    engine_registry registry = registry_of(2);
    const engine_load sent(registry, base::engine_name("e0"), 10);
    registry.remove(base::engine_name("e0"));
    cr_assert(registry.active(start).empty());
}

Test(engine_registry, age_counts_from_the_newest_confirmation) {
    engine_registry registry;
    cr_assert(registry.age(start) == base::duration::max());
    registry.confirm(start + 300ms);
    registry.confirm(start + 100ms);  // A late confirmation from another source.
    cr_assert(registry.age(start + 450ms) == 150ms);
}

namespace {

listed_engine process_of(std::optional<std::uint64_t> process_start_ms) {
    listed_engine one;
    one.name.value = "e";
    one.process_start_ms = process_start_ms;
    return one;
}

}  // namespace

Test(engine_registry, restart_resets_everything_known_of_an_engine) {
    engine_registry registry;
    std::vector<base::engine_name> told;
    registry.on_new_process([&](const base::engine_name& name) { told.push_back(name); });
    registry.put(process_of(1000), start);
    std::optional<engine_load> sent(std::in_place, registry, base::engine_name("e"), 10);
    known_engine* before = registry.find(base::engine_name("e"));
    before->health.record_failure(true, start);
    before->refuses_until = start + 1h;
    registry.record_version(base::engine_name("e"), "m", 7);
    const std::uint64_t first = before->process;

    registry.put(process_of(1000), start + 1s);
    cr_assert(told.empty(), "the same process");
    cr_assert_eq(registry.find(base::engine_name("e"))->process, first);

    registry.put(process_of(2000), start + 2s);
    cr_assert_eq(told.size(), 1);
    const known_engine* now = registry.find(base::engine_name("e"));
    cr_assert_neq(now->process, first);
    cr_assert_eq(now->running, 0);
    cr_assert_eq(now->pending_prefill_tokens, 0);
    cr_assert_eq(now->version_of("m"), 0);
    cr_assert(now->refuses_until == base::monotonic_time{});
    cr_assert_not(now->health.suspended(start + 2s));
    cr_assert(now->listed_at == start + 2s);

    const engine_load next(registry, base::engine_name("e"), 20);
    cr_assert_null(sent->engine(), "the request was sent to the earlier process");
    sent.reset();
    cr_assert_eq(now->running, 1);
    cr_assert_eq(now->pending_prefill_tokens, 20);
}

Test(engine_registry, detects_restarts_without_start_times) {
    cr_assert_not(is_new_process(process_of({}), process_of({})));
    cr_assert_not(is_new_process(process_of({}), process_of(1000)),
                  "the engine starts to report its start time");
    listed_engine warming = process_of({});
    warming.warming = 2s;
    cr_assert(is_new_process(process_of({}), warming));
    cr_assert_not(is_new_process(warming, process_of({})));
    listed_engine moved = process_of({});
    moved.address = {"10.0.0.2", 1};
    cr_assert(is_new_process(process_of({}), moved));
}

Test(engine_registry, replace_all_detects_restarts) {
    engine_registry registry;
    int told = 0;
    registry.on_new_process([&](const base::engine_name&) { ++told; });
    registry.replace_all({process_of(1000)}, start);
    registry.replace_all({process_of(2000)}, start + 1s);
    cr_assert_eq(told, 1);
}

Test(engine_registry, pool_is_sorted_by_engine_name) {
    engine_registry registry;
    listed_engine one;
    one.pool.value = "p";
    for (const char* name : {"c", "a", "b"}) {
        one.name.value = name;
        registry.put(one);
    }
    const auto names = [&](const char* pool) {
        std::string all;
        for (const pool_member& member : registry.pool(base::pool_name(pool))) {
            all += member.engine->listed.name.value;
        }
        return all;
    };
    cr_assert(names("p") == "abc");
    one.process_start_ms = 7;
    registry.put(one);  // A restart.
    one.pool.value = "q";
    registry.put(one);
    cr_assert(names("p") == "ac");
    cr_assert(names("q") == "b");
    registry.remove(base::engine_name("c"));
    cr_assert(names("p") == "a");
    registry.replace_all({one});
    cr_assert(names("p").empty());
    cr_assert(names("q") == "b");
}

Test(engine_registry, lists_recently_used_engines_of_a_pool) {
    engine_registry registry;
    listed_engine one;
    one.pool.value = "p";
    for (int number = 0; number < 200; ++number) {
        one.name.value = "e" + std::to_string(number);
        registry.put(one);
        registry.mark_active(one.name);
    }
    registry.mark_active(base::engine_name("e150"));
    const auto used = registry.recently_used(one.pool);
    cr_assert_leq(used.size(), 64);
    cr_assert(used.front()->listed.name.value == "e150");
    cr_assert(registry.recently_used(base::pool_name("q")).empty());
}

Test(engine_registry, counts_software_versions_by_pool) {
    engine_registry registry;
    const auto versions = [&] {
        std::string all;
        for (const auto& [version, engines] : registry.software().at(base::pool_name("p"))) {
            all += version.value + std::to_string(engines) + " ";
        }
        return all;
    };
    listed_engine one;
    one.pool.value = "p";
    one.software.value = "v1";
    for (const char* name : {"a", "b", "c"}) {
        one.name.value = name;
        registry.put(one);
    }
    cr_assert(versions() == "v13 ");
    one.software.value = "v2";
    registry.put(one);
    cr_assert(versions() == "v12 v21 ");
    one.process_start_ms = 7;
    registry.put(one);  // A restart.
    cr_assert(versions() == "v12 v21 ");
    registry.remove(base::engine_name("a"));
    cr_assert(versions() == "v11 v21 ");
    registry.replace_all({one});
    cr_assert(versions() == "v21 ");
    registry.remove(base::engine_name("c"));
    cr_assert(versions().empty(), "a pool without engines is kept");
}

/// Load pattern: thousands of engines start within seconds, and every router reads each of them
/// from the list.
Test(engine_registry, first_weights_of_an_engine_cause_no_event) {
    engine_registry registry;
    int told = 0;
    registry.on_newer_weights([&](const auto&, const auto&, std::uint64_t) { ++told; });
    listed_engine one;
    one.name.value = "e";
    one.versions["m"] = 3;
    registry.put(one);
    cr_assert_eq(told, 0);
    cr_assert_eq(registry.find(one.name)->version_of("m"), 3);
    one.versions["m"] = 4;
    registry.put(one);
    cr_assert_eq(told, 1);
}

namespace {

const base::engine_name leaver("leaver");

listed_engine process_started_at(std::uint64_t process_start_ms) {
    listed_engine one;
    one.name = leaver;
    one.process_start_ms = process_start_ms;
    return one;
}

/// A registry with one engine, listed as ready, that has stated that it is leaving.
engine_registry registry_with_leaver() {
    engine_registry registry;
    registry.put(process_started_at(1), start);
    registry.record_statement(leaver, {true, {}}, start, start);
    return registry;
}

}  // namespace

Test(engine_registry, a_row_that_is_behind_does_not_undo_that_an_engine_stated_to_leave) {
    engine_registry registry = registry_with_leaver();
    cr_assert(registry.find(leaver)->is_leaving());
    registry.put(process_started_at(1), start + 1s);
    cr_assert(registry.find(leaver)->is_leaving());
    registry.replace_all({process_started_at(1)}, start + 2s);
    cr_assert(registry.find(leaver)->is_leaving());
}

Test(engine_registry, a_row_that_lapses_and_returns_does_not_undo_it_either) {
    engine_registry registry = registry_with_leaver();
    registry.remove(leaver);
    registry.put(process_started_at(1), start + 1s);
    cr_assert(registry.find(leaver)->is_leaving());
    registry.replace_all({}, start + 2s);
    registry.replace_all({process_started_at(1)}, start + 3s);
    cr_assert(registry.find(leaver)->is_leaving());
}

Test(engine_registry, an_engine_that_states_to_leave_while_its_row_has_lapsed_is_leaving) {
    engine_registry registry;
    registry.put(process_started_at(1), start);
    registry.remove(leaver);
    cr_assert(registry.record_statement(leaver, {true, {}}, start, start + 1s).leaving);
    registry.put(process_started_at(1), start + 2s);
    cr_assert(registry.find(leaver)->is_leaving());
}

Test(engine_registry, a_new_process_under_the_same_name_is_not_leaving) {
    engine_registry registry = registry_with_leaver();
    registry.put(process_started_at(2), start + 1s);
    cr_assert_not(registry.find(leaver)->is_leaving());
    registry.record_statement(leaver, {true, {}}, start + 2s, start + 2s);
    registry.remove(leaver);
    registry.put(process_started_at(3), start + 3s);
    cr_assert_not(registry.find(leaver)->is_leaving());
}

Test(engine_registry, an_answer_of_the_process_before_says_nothing_about_its_successor) {
    engine_registry registry;
    registry.put(process_started_at(1), start);
    registry.put(process_started_at(2), start + 5s);
    cr_assert_not(registry.record_statement(leaver, {true, {}}, start + 4s, start + 4s).leaving);
    cr_assert_not(registry.find(leaver)->is_leaving());
    cr_assert(registry.record_statement(leaver, {true, {}}, start + 5s, start + 5s).leaving);
    cr_assert_not(registry.record_statement(leaver, {true, {}}, start + 6s, start + 6s).leaving,
                  "known before");
}

Test(engine_registry, statements_of_lapsed_engines_are_bounded_in_number) {
    engine_registry registry;
    for (int number = 0; number < 1001; ++number) {
        listed_engine one = process_started_at(1);
        one.name.value = "e" + std::to_string(number);
        registry.put(one, start);
        registry.record_statement(one.name, {true, {}}, start, start);
        registry.remove(one.name);
    }
    for (const char* name : {"e0", "e1", "e1000"}) {
        listed_engine one = process_started_at(1);
        one.name.value = name;
        registry.put(one, start);
    }
    cr_assert_not(registry.find(base::engine_name("e0"))->is_leaving());
    cr_assert(registry.find(base::engine_name("e1"))->is_leaving());
    cr_assert(registry.find(base::engine_name("e1000"))->is_leaving());
}

Test(engine_registry, of_several_backoffs_the_latest_end_counts) {
    engine_registry registry;
    registry.put(process_started_at(1), start);
    const auto state = [&](base::duration backoff, base::monotonic_time now) {
        return registry.record_statement(leaver, {false, backoff}, now, now).backoff;
    };
    cr_assert(state(3s, start));
    cr_assert_not(state(1s, start + 1s));
    cr_assert_not(state(0s, start + 1s));
    cr_assert(registry.find(leaver)->is_backing_off(start + 2s));
    cr_assert(state(3s, start + 2s));
    cr_assert(registry.find(leaver)->is_backing_off(start + 4s));
    cr_assert_not(registry.find(leaver)->is_backing_off(start + 5s));
}

Test(engine_registry, a_backoff_outlasts_a_lapse_of_the_row_but_not_the_process) {
    engine_registry registry;
    registry.put(process_started_at(1), start);
    registry.record_statement(leaver, {false, 10s}, start, start);
    registry.remove(leaver);
    registry.put(process_started_at(1), start + 1s);
    cr_assert(registry.find(leaver)->is_backing_off(start + 2s));
    registry.put(process_started_at(2), start + 2s);
    cr_assert_not(registry.find(leaver)->is_backing_off(start + 2s));
}

// Guards against an engine that was left out for all of its models while it loaded one of them.
Test(engine_registry, an_announced_load_concerns_one_model) {
    engine_registry registry;
    listed_engine one;
    one.name.value = "e1";
    one.versions = {{"a", 1}, {"b", 7}};
    registry.put(one);
    const base::monotonic_time now{100s};
    registry.expect_weights(one.name, "b", 8, now + 1s);
    const known_engine& engine = *registry.find(one.name);
    cr_assert(engine.is_loading("b", now));
    cr_assert_not(engine.is_loading("a", now));
    registry.record_version(one.name, "a", 2);
    cr_assert(engine.is_loading("b", now), "the other model's weights prove nothing");
    registry.record_version(one.name, "b", 8);
    cr_assert_not(engine.is_loading("b", now));
}
