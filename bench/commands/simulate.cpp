/// @file
/// `ferrybench simulate`: real routers under seeded faults and virtual time, seed after seed.
#include "bench/commands/commands.hpp"
#include "bench/simulation/simulation_run.hpp"
#include "ferryroad/runtime/log.hpp"

#include <algorithm>
#include <atomic>
#include <iostream>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace ferryroad::bench::commands {

namespace {

using simulation::simulation_result;

struct simulate_options {
    simulation::simulation_options run;
    std::uint64_t seeds = 100;
    std::uint32_t threads = 4;
    bool print_plan = false;
};

struct totals {
    std::uint64_t runs = 0;
    std::uint64_t failed_runs = 0;
    std::uint64_t violations = 0;
    std::uint64_t calls = 0;
    std::uint64_t complete = 0;
    std::uint64_t refused = 0;
    std::uint64_t cut = 0;
    std::uint64_t executions = 0;
    std::uint64_t attempts_beyond_first = 0;
    std::uint64_t once_only_requests = 0;
    std::uint64_t configuration_changes = 0;
    std::uint64_t operator_conflicts = 0;
    std::uint64_t events = 0;
    simulation::fault_counts faults;
};

void print_plan(const simulation_result& result) {
    for (const simulation::planned_fault& fault : result.plan) {
        std::cout << "  fault " << simulation::to_string(fault.kind) << " at "
                  << base::to_seconds(fault.at) << " s for " << base::to_seconds(fault.length)
                  << " s, target " << fault.target << "\n";
    }
}

void print_failure(const simulation_result& result, const simulate_options& options) {
    std::cout << "seed " << result.seed << ": " << result.violations.size()
              << " violations; replay: ferrybench simulate --seeds 1 --seed " << result.seed
              << " --routers " << options.run.routers << " --engines " << options.run.engines
              << " --application-engines " << options.run.application_engines << " --requests "
              << options.run.requests << " --rate " << options.run.requests_per_second
              << (options.run.with_faults ? "" : " --no-faults") << "\n";
    for (const simulation::violation& broken : result.violations) {
        std::cout << "  " << base::to_seconds(broken.at.time_since_epoch()) << " s "
                  << simulation::to_string(broken.broken) << ": " << broken.detail << "\n";
    }
}

void add(const simulation_result& result, totals& sum) {
    ++sum.runs;
    sum.failed_runs += result.violations.empty() ? 0 : 1;
    sum.violations += result.violations.size();
    sum.calls += result.calls;
    sum.complete += result.complete;
    sum.refused += result.refused;
    sum.cut += result.cut;
    sum.executions += result.executions;
    sum.attempts_beyond_first += result.attempts_beyond_first;
    sum.once_only_requests += result.once_only_requests;
    sum.configuration_changes += result.configuration_changes;
    sum.operator_conflicts += result.operator_conflicts;
    sum.events += result.events;
    sum.faults.add_all(result.faults);
}

void print_totals(const totals& sum) {
    std::cout << "seeds " << sum.runs << ", calls " << sum.calls << " (complete " << sum.complete
              << ", refused " << sum.refused << ", cut " << sum.cut << "), executions "
              << sum.executions << " (" << sum.attempts_beyond_first
              << " beyond a request's first), once-only keys " << sum.once_only_requests
              << ", configuration changes " << sum.configuration_changes << " ("
              << sum.operator_conflicts << " lost a race), events " << sum.events << "\n"
              << "faults brought about:";
    for (std::size_t index = 0; index < simulation::fault_kinds; ++index) {
        const auto kind = static_cast<simulation::fault_kind>(index);
        std::cout << (index == 0 ? " " : ", ") << simulation::to_string(kind) << " "
                  << sum.faults.of(kind);
    }
    std::cout << "\n"
              << "violations: " << sum.violations << " in " << sum.failed_runs << " of " << sum.runs
              << " seeds\n";
}

/// Hands the seeds out to threads; each run stays in one of them.
class seed_series {
  public:
    explicit seed_series(const simulate_options& options) : options_(options) {}

    totals run() {
        std::vector<std::thread> workers;
        const auto count = std::min<std::uint64_t>(options_.threads, options_.seeds);
        for (std::uint64_t index = 0; index < count; ++index) {
            workers.emplace_back([this] { work(); });
        }
        for (std::thread& worker : workers) {
            worker.join();
        }
        return sum_;
    }

  private:
    void work() {
        for (std::uint64_t place = next_++; place < options_.seeds; place = next_++) {
            simulation::simulation_options chosen = options_.run;
            chosen.seed += place;
            const simulation_result result = simulation::run_simulation(chosen);
            const std::lock_guard<std::mutex> lock(printing_);
            add(result, sum_);
            if (!result.violations.empty()) {
                print_failure(result, options_);
            }
            if (options_.print_plan) {
                print_plan(result);
                std::cout << "  seed " << result.seed << " trace " << std::hex << result.trace_hash
                          << std::dec << "\n";
            }
        }
    }

    const simulate_options& options_;
    std::atomic<std::uint64_t> next_ = 0;
    std::mutex printing_;
    totals sum_;
};

int run_simulate(const simulate_options& options) {
    runtime::start_logging("ferrybench", runtime::log_level::error);
    const totals sum = seed_series(options).run();
    print_totals(sum);
    return sum.violations == 0 ? succeeded : failed;
}

}  // namespace

void add_simulate(CLI::App& program, outcome& result) {
    auto options = std::make_shared<simulate_options>();
    CLI::App* command = program.add_subcommand(
        "simulate", "Runs real routers under seeded faults in virtual time and judges them.");
    command->add_option("--seeds", options->seeds, "How many seeds.")->check(CLI::PositiveNumber);
    command->add_option("--seed", options->run.seed, "The first seed.");
    command->add_option("--routers", options->run.routers)->check(CLI::Range(1, 400));
    command->add_option("--engines", options->run.engines)->check(CLI::Range(1, 1200));
    command->add_option("--application-engines", options->run.application_engines)
        ->check(CLI::Range(1, 100));
    command->add_option("--requests", options->run.requests, "Requests in each run.");
    command->add_option("--rate", options->run.requests_per_second, "Requests a second.")
        ->check(CLI::PositiveNumber);
    command->add_option("--threads", options->threads)->check(CLI::Range(1, 64));
    command->add_flag("!--no-faults", options->run.with_faults, "Brings no fault about.");
    command->add_flag("--print-plan", options->print_plan, "Prints faults and trace hashes.");
    command->callback([options, &result] { result.code = run_simulate(*options); });
}

}  // namespace ferryroad::bench::commands
