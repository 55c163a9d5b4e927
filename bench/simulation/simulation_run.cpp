#include "bench/simulation/simulation_run.hpp"

#include "bench/simulation/cluster/cluster.hpp"
#include "bench/simulation/faults/fault_driver.hpp"
#include "bench/simulation/invariants/router_observer.hpp"
#include "bench/simulation/invariants/run_audit.hpp"

#include <algorithm>
#include <string>

namespace ferryroad::bench::simulation {

namespace {

constexpr base::duration start_limit = std::chrono::seconds(20);
/// The machine list's lag and its reading: engines are known by then.
constexpr base::duration warm_up = std::chrono::seconds(6);
constexpr base::duration fault_end = std::chrono::seconds(30);
constexpr base::duration settle_time = std::chrono::seconds(30);
constexpr base::duration probe_limit = std::chrono::seconds(20);
constexpr std::size_t piece_bytes = 1024;

cluster_options cluster_options_of(const simulation_options& options) {
    cluster_options chosen;
    chosen.seed = options.seed;
    chosen.routers = options.routers;
    chosen.engines = options.engines;
    chosen.application_engines = options.application_engines;
    chosen.tenants = {base::tenant_name("alerts"), base::tenant_name("notaries"),
                      base::tenant_name("archive")};
    chosen.engine.model = cluster_names{}.model;
    chosen.engine.version = base::weights_version("1");
    chosen.engine.piece_bytes = piece_bytes;
    chosen.engine.capacity_pieces = 40;
    chosen.engine.model_load = std::chrono::seconds(2);
    chosen.deadline = std::chrono::seconds(15);
    if (options.with_faults) {
        chosen.links.loss_share = 0.01;
        chosen.links.doubled_share = 0.01;
        chosen.links.reordered_share = 0.02;
    }
    return chosen;
}

workload::corpus shared_texts() {
    workload::corpus tree;
    tree.name = "shared";
    tree.levels = {{5, 3072, 0}, {4, 2048, 0.3}, {3, 1024, 0.3}};
    tree.tail_bytes_max = 700;
    return tree;
}

workload::specification workload_of(const simulation_options& options) {
    workload::specification source;
    source.name = "simulate";
    source.seed = options.seed;
    source.requests = options.requests;
    source.piece_bytes = piece_bytes;
    source.arrival = workload::open_arrivals{options.requests_per_second};
    source.tenants = {{base::tenant_name("alerts"), 3},
                      {base::tenant_name("notaries"), 2},
                      {base::tenant_name("archive"), 1}};
    source.corpora = {shared_texts()};
    workload::request_kind generation;
    generation.name = "stream";
    generation.type = workload::request_type::generation;
    generation.weight = 4;
    generation.model = cluster_names{}.model;
    generation.corpus = "shared";
    generation.max_tokens_min = 4;
    generation.max_tokens_max = 40;
    workload::request_kind whole = generation;
    whole.name = "whole";
    whole.weight = 1;
    whole.stream = false;
    workload::request_kind reading;
    reading.name = "reading";
    reading.type = workload::request_type::application_read;
    workload::request_kind record;
    record.name = "record";
    record.type = workload::request_type::application_write;
    record.weight = 4;
    record.repeat_share = 0.2;
    source.kinds = {generation, whole, reading, record};
    source.hot_set_shifts = {0.5};
    return source;
}

void count_calls(const std::vector<load::call_record>& records, simulation_result& result) {
    result.calls = records.size();
    for (const load::call_record& record : records) {
        switch (record.outcome) {
            case load::call_outcome::complete:
                ++result.complete;
                break;
            case load::call_outcome::refused:
            case load::call_outcome::failed:
                ++result.refused;
                break;
            case load::call_outcome::cut:
            case load::call_outcome::unreachable:
                ++result.cut;
                break;
        }
    }
}

/// After the faults: each router answers each kind of request whole.
class probes {
  public:
    explicit probes(cluster& world) : world_(world) {}

    std::vector<violation> run() {
        for (const auto& router : world_.routers()) {
            for (const auto type :
                 {workload::request_type::generation, workload::request_type::application_write}) {
                send(*router, type);
            }
        }
        const std::uint64_t sent = next_number_;
        world_.time().run_until(world_.time().now() + probe_limit);
        if (answered_ != sent) {
            report("only " + std::to_string(answered_) + " of " + std::to_string(sent) +
                   " probes were answered");
        }
        return std::move(violations_);
    }

  private:
    void send(simulated_router& router, workload::request_type type) {
        workload::workload_request request;
        request.number = next_number_++;
        request.kind = "probe";
        request.type = type;
        request.tenant = base::tenant_name("alerts");
        if (type == workload::request_type::generation) {
            request.stream = true;
            request.model = cluster_names{}.model;
            request.prompt = std::make_shared<const std::string>(
                "probe " + std::to_string(request.number) + std::string(2 * piece_bytes, 'p'));
            request.max_tokens = 4;
        } else {
            request.body = "probe " + std::to_string(request.number);
            request.key.emplace("probe-" + std::to_string(request.number));
        }
        world_.callers().send_one(request, router, [this](const load::call_record& record) {
            ++answered_;
            if (record.answer != load::answer_state::exact) {
                report("probe through " + record.router.to_string() + ": " + record.error_code);
            }
        });
    }

    void report(std::string detail) {
        violations_.push_back({invariant::not_recovered, world_.time().now(), std::move(detail)});
    }

    cluster& world_;
    std::uint64_t next_number_ = 0;
    std::uint64_t answered_ = 0;
    std::vector<violation> violations_;
};

void add_all(std::vector<violation>& to, const std::vector<violation>& from) {
    to.insert(to.end(), from.begin(), from.end());
}

}  // namespace

simulation_result run_simulation(const simulation_options& options) {
    simulation_result result;
    result.seed = options.seed;
    cluster world(cluster_options_of(options));
    fault_driver driver(world);
    const invariant_bounds bounds;
    router_observer observer(world, driver, bounds);
    if (!world.start(start_limit)) {
        result.violations.push_back(
            {invariant::restart_not_serving, world.time().now(), "the first start"});
    }
    world.time().run_until(world.time().now() + warm_up);
    const base::monotonic_time begin = world.time().now();
    if (options.with_faults) {
        result.plan = draw_fault_plan(options.seed, {});
    }
    driver.schedule(result.plan, begin);
    world.callers().send_all(workload_of(options), begin);
    observer.observe_until(begin + fault_end + settle_time);
    world.time().run_until(begin + fault_end);
    driver.end_all();
    world.time().run_until(begin + fault_end + settle_time);
    observer.check_recovered();
    add_all(result.violations, observer.violations());
    add_all(result.violations, probes(world).run());
    const run_audit audited = audit_run(world, driver, bounds);
    add_all(result.violations, audited.violations);
    count_calls(world.callers().records(), result);
    result.faults = world.faults();
    result.executions = audited.verdict.executions;
    result.attempts_beyond_first = audited.verdict.attempts_beyond_first;
    result.once_only_requests = audited.verdict.once_only_requests;
    result.configuration_changes = world.operator_team().accepted().size();
    result.operator_conflicts = world.operator_team().conflicts();
    result.events = world.time().events_run();
    result.trace_hash = world.time().trace_hash();
    return result;
}

}  // namespace ferryroad::bench::simulation
