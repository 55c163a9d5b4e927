/// Real routers in virtual time, without faults: all answers whole, the same run each time.
#include "bench/simulation/cluster/cluster.hpp"

#include "ferryroad/runtime/log.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <chrono>

using namespace std::chrono_literals;
using namespace ferryroad;
using namespace ferryroad::bench::simulation;
namespace workload = ferryroad::bench::workload;
namespace load = ferryroad::bench::load;

namespace {

cluster_options small_options(std::uint64_t seed) {
    cluster_options options;
    options.seed = seed;
    options.tenants = {base::tenant_name("large"), base::tenant_name("small")};
    options.engine.model = cluster_names{}.model;
    options.engine.version = base::weights_version("1");
    options.engine.piece_bytes = 1024;
    options.callers.leaving_share = 0;
    return options;
}

workload::specification small_workload() {
    workload::specification source;
    source.name = "small";
    source.requests = 120;
    source.piece_bytes = 1024;
    source.arrival = workload::open_arrivals{20};
    source.tenants = {{base::tenant_name("large"), 3}, {base::tenant_name("small"), 1}};
    workload::corpus tree;
    tree.name = "tree";
    tree.levels = {{4, 2048, 0}, {3, 1024, 0.3}};
    source.corpora = {tree};
    workload::request_kind generation;
    generation.name = "generation";
    generation.type = workload::request_type::generation;
    generation.weight = 3;
    generation.model = cluster_names{}.model;
    generation.corpus = "tree";
    workload::request_kind write;
    write.name = "write";
    write.type = workload::request_type::application_write;
    write.repeat_share = 0.2;
    source.kinds = {generation, write};
    return source;
}

struct run_outcome {
    bool started = false;
    std::size_t records = 0;
    std::size_t exact = 0;
    std::size_t failures = 0;
    std::uint64_t trace = 0;
};

run_outcome run(std::uint64_t seed) {
    runtime::start_logging("test", runtime::log_level::error);
    cluster world(small_options(seed));
    run_outcome outcome;
    outcome.started = world.start(20s);
    world.callers().send_all(small_workload(), world.time().now() + 6s);
    world.time().run_until(world.time().now() + 30s);
    const auto& records = world.callers().records();
    outcome.records = records.size();
    outcome.exact = static_cast<std::size_t>(
        std::count_if(records.begin(), records.end(), [](const load::call_record& record) {
            return record.answer == load::answer_state::exact;
        }));
    outcome.failures = world.time().failures().size();
    outcome.trace = world.time().trace_hash();
    return outcome;
}

}  // namespace

Test(cluster, answers_all_without_faults) {
    const run_outcome outcome = run(1);
    cr_assert(outcome.started);
    cr_assert_eq(outcome.records, 120U);
    cr_assert_eq(outcome.exact, 120U);
    cr_assert_eq(outcome.failures, 0U);
}

Test(cluster, same_seed_same_run) {
    const run_outcome first = run(2);
    const run_outcome second = run(2);
    cr_assert_eq(first.trace, second.trace);
    cr_assert_neq(first.trace, run(3).trace);
}
