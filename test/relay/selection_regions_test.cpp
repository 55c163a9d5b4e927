/// Selection across regions: where requests are sent, where they fetch KV state from, and what
/// happens when a region's engines fail, only one region has engines, or a zone is unknown.
#include "ferryroad/relay/selection.hpp"

#include <criterion/criterion.h>

#include <map>
#include <memory>
#include <set>
#include <string>

using namespace ferryroad;
using namespace ferryroad::relay;
using namespace std::chrono_literals;
using core::topology::distance;

namespace {

constexpr base::monotonic_time start{100s};

/// Zones a1 and a2 are in region a, b1 in b, c1 in c; this router is in a1.
struct fixture {
    engine_registry registry;
    policy_source policies{policy_staleness_limits{}};
    core::placement::warm_state warm;
    core::placement::engine_load_view loads;
    engine_selection selection;
    relay_call call;

    explicit fixture(selection_settings settings = regions())
        : selection(registry, policies, warm, loads, std::move(settings)) {
        declare({});
        call.prompt =
            core::prefix::declared_prompt{"m", {{"a", 1000}, {"b", 8000}, {"own", 500}}, 9500, 20};
    }
    static selection_settings regions() {
        selection_settings all;
        all.zone = base::zone_name("a1");
        all.zones = core::topology::parse_zones({"a1=a", "a2=a", "b1=b", "c1=c"}).zones;
        return all;
    }
    void declare(std::vector<core::traffic::state_store> stores) {
        static std::uint64_t version = 0;
        core::traffic::declaration declared;
        declared.version = ++version;
        declared.stores = std::move(stores);
        core::traffic::pool pool;
        pool.name.value = "p";
        pool.model = core::traffic::model_engine_capacity{8, 90000, 100};
        declared.pools = {pool};
        policies.offer(std::move(declared));
        policies.confirm(start);
    }
    void add(const std::string& name, const std::string& zone) {
        listed_engine one;
        one.name.value = name;
        one.pool.value = "p";
        one.zone.value = zone;
        one.address = {"10.0.1." + std::to_string(registry.engines().size() + 1), 1};
        one.slots = 8;
        one.versions["m"] = 1;
        registry.put(one);
    }
    void add_everywhere(int each) {
        for (const char* zone : {"a1", "a2", "b1", "c1"}) {
            for (int number = 0; number < each; ++number) {
                add(std::string(zone) + "-" + std::to_string(number), zone);
            }
        }
    }
    void hold(const std::string& name) {
        warm.follow(base::engine_name(name), true);
        for (const auto& part : core::prefix::scoped_parts_of(*call.prompt, "shared/1")) {
            warm.told(part.key, base::engine_name(name), part.tokens, start);
        }
    }
    void short_prompt() {
        call.prompt->parts = {{"own", 300}};
        call.prompt->input_tokens = 300;
    }
    std::optional<selected_engine> select(std::vector<base::engine_name> excluded = {},
                                          base::monotonic_time now = start) {
        const selection_query query{call, *policies.current(), base::pool_name("p"), nullptr,
                                    std::move(excluded)};
        return selection.select(query, now);
    }
    std::map<distance, int> distances_of(int requests, base::monotonic_time now = start) {
        std::map<distance, int> counts;
        for (int number = 0; number < requests; ++number) {
            call.id = base::request_id("request-" + std::to_string(number));
            ++counts[select({}, now)->away];
        }
        return counts;
    }
    void suspend(const std::string& prefix) {
        for (const auto& [name, engine] : registry.engines()) {
            if (name.value.starts_with(prefix)) {
                registry.find(name)->health.record_failure(true, start);
            }
        }
    }
};

core::traffic::state_store store(const char* host, const char* zone) {
    return {{host, 9}, base::zone_name(zone)};
}

}  // namespace

Test(selection_regions, prefers_the_own_region_and_zone) {
    fixture at;
    at.short_prompt();
    at.add_everywhere(30);
    auto counts = at.distances_of(200);
    cr_assert_eq(counts[distance::other_region], 0);
    cr_assert_geq(counts[distance::same_zone], 190);
}

Test(selection_regions, sample_covers_many_engines_of_the_own_region) {
    fixture at;
    at.short_prompt();
    at.add_everywhere(30);
    const auto settings = fixture::regions();
    std::set<std::string> own;
    for (int number = 0; number < 100; ++number) {
        at.call.id = base::request_id("request-" + std::to_string(number));
        const auto chosen = at.select();
        cr_assert_eq(chosen->candidates, settings.sampling.engines);
        own.insert(chosen->target.name.value);
    }
    cr_assert_geq(own.size(), 20);
}

Test(selection_regions, leaves_a_failed_region_and_returns_to_it) {
    fixture at;
    at.short_prompt();
    at.add_everywhere(30);
    at.suspend("a");
    auto counts = at.distances_of(100);
    cr_assert_eq(counts[distance::other_region], 100);
    counts = at.distances_of(100, start + 60s);  // The suspensions have expired.
    cr_assert_eq(counts[distance::other_region], 0);
}

Test(selection_regions, uses_other_regions_if_the_own_has_no_engines) {
    fixture at;
    at.add("b1-0", "b1");
    at.add("c1-0", "c1");
    cr_assert(at.select()->away == distance::other_region);
}

Test(selection_regions, overflows_to_other_regions_only_beyond_local_capacity) {
    fixture at;
    at.short_prompt();
    at.add_everywhere(10);
    std::vector<std::unique_ptr<engine_load>> running;
    std::map<distance, int> counts;
    for (int number = 0; number < 160; ++number) {  // Region a has 160 slots, all regions 320.
        at.call.id = base::request_id("request-" + std::to_string(number));
        const auto chosen = at.select();
        ++counts[chosen->away];
        running.push_back(std::make_unique<engine_load>(at.registry, chosen->target.name, 2500));
    }
    cr_assert_gt(counts[distance::same_zone] + counts[distance::other_zone],
                 counts[distance::other_region]);
    cr_assert_gt(counts[distance::other_region], 0);
}

Test(selection_regions, retries_at_the_nearest_other_engine) {
    fixture at;
    at.short_prompt();
    for (const char* zone : {"a1", "a2", "b1"}) {
        at.add(zone, zone);
    }
    cr_assert(at.select()->target.name.value == "a1");
    cr_assert(at.select({base::engine_name("a1")})->target.name.value == "a2");
    cr_assert(at.select({base::engine_name("a1"), base::engine_name("a2")})->away ==
              distance::other_region);
}

Test(selection_regions, home_is_in_the_own_region_unless_it_has_too_few_engines) {
    fixture at;
    at.add_everywhere(3);
    std::set<std::string> homes;
    for (int number = 0; number < 40; ++number) {
        at.call.prompt->parts[1].id = "b" + std::to_string(number);
        homes.insert(at.select()->target.name.value);
    }
    // Homes are chosen from the own region's engines, whichever would rank highest overall.
    cr_assert_leq(homes.size(), 3);
    fixture few;
    few.add("a1-0", "a1");
    few.add("b1-0", "b1");
    few.suspend("a1");
    cr_assert(few.select()->target.name.value == "b1-0");
}

Test(selection_regions, fetches_from_the_nearest_holder) {
    fixture at;
    at.add_everywhere(2);
    for (const char* holder : {"b1-0", "a2-0"}) {
        at.hold(holder);
    }
    const auto chosen = at.select({base::engine_name("a2-0"), base::engine_name("b1-0")});
    cr_assert(chosen->target.name.value.starts_with("a1"));
    cr_assert(chosen->fetch_state_from ==
              at.registry.find(base::engine_name("a2-0"))->listed.address);
    cr_assert(chosen->moved_distance == distance::other_zone);
    cr_assert_float_eq(chosen->moved_bytes, 9000 * 100, 1);
}

Test(selection_regions, fetches_across_regions_only_if_cheaper_than_computing) {
    selection_settings settings = fixture::regions();
    for (const double factor : {5.0, 50.0}) {
        settings.placement.far_fetch_factor = factor;
        fixture at(settings);
        at.add_everywhere(2);
        at.hold("b1-0");
        const auto chosen = at.select({base::engine_name("b1-0"), base::engine_name("b1-1")});
        cr_assert(chosen->away == distance::same_zone);
        cr_assert_eq(chosen->fetch_state_from.has_value(), factor == 5.0);
        cr_assert_eq(chosen->fetchable_tokens, factor == 5.0 ? 9000 : 0);
    }
}

Test(selection_regions, selects_a_holder_in_another_region) {
    fixture at;
    at.add_everywhere(2);
    at.hold("b1-0");
    cr_assert(at.select()->target.name.value == "b1-0");
}

Test(selection_regions, uses_the_store_of_the_own_region) {
    fixture at;
    at.add_everywhere(2);
    at.declare({store("10.9.0.1", "b1"), store("10.9.0.2", "a2"), store("10.9.0.3", "c1")});
    for (int number = 0; number < 20; ++number) {
        at.call.prompt->parts[1].id = "b" + std::to_string(number);
        const auto chosen = at.select();
        cr_assert(chosen->fetch_state_from == (base::endpoint{"10.9.0.2", 9}));
        cr_assert(chosen->save_state_to == (base::endpoint{"10.9.0.2", 9}));
    }
}

Test(selection_regions, uses_a_store_of_another_region_if_cheaper_than_computing) {
    selection_settings settings = fixture::regions();
    for (const double factor : {5.0, 50.0}) {
        settings.placement.far_fetch_factor = factor;
        fixture at(settings);
        at.add_everywhere(2);
        at.declare({store("10.9.0.1", "b1")});
        cr_assert_eq(at.select()->save_state_to.has_value(), factor == 5.0);
    }
}

Test(selection_regions, treats_an_unknown_zone_as_another_region) {
    fixture at;
    at.short_prompt();
    at.add("new", "z9");
    cr_assert(at.select()->away == distance::other_region);
    at.add("own", "a2");
    cr_assert(at.select()->target.name.value == "own");
}

Test(selection_regions, counts_measured_latency_to_a_zone) {
    fixture at;
    at.short_prompt();
    for (const char* zone : {"b1", "c1"}) {
        at.add(zone, zone);
    }
    for (int number = 0; number < 20; ++number) {
        at.selection.record_path_latency(base::zone_name("a1"), 1ms, start);
        at.selection.record_path_latency(base::zone_name("b1"), 151ms, start);
        at.selection.record_path_latency(base::zone_name("c1"), 21ms, start);
    }
    const auto chosen = at.select();
    cr_assert(chosen->target.name.value == "c1");
    cr_assert_float_eq(chosen->path_ms, 20, 1e-6);
}
