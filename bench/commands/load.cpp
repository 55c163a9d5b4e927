/// @file
/// `ferrybench load`: sends a workload to the routers and reports.
#include "bench/audit/fetch.hpp"
#include "bench/commands/commands.hpp"
#include "bench/commands/event_loop.hpp"
#include "bench/commands/report_output.hpp"
#include "bench/load/cache_observer.hpp"
#include "bench/load/record_file.hpp"
#include "bench/load/rendered_prompt.hpp"
#include "bench/load/runner.hpp"
#include "bench/load/summarize.hpp"
#include "bench/workload/file.hpp"
#include "ferryroad/base/digest.hpp"
#include "ferryroad/engine/http_client.hpp"

#include <iostream>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace ferryroad::bench::commands {

namespace {

struct load_options {
    std::string endpoints;
    std::string workload;
    std::string label;
    std::string run;
    std::string records;
    std::string json_file;
    std::string html_file;
    std::string output = "text";
    std::uint64_t requests = 0;
    std::uint64_t seed = 0;
    std::uint32_t concurrency = 0;
    double rate = 0;
    double limit_seconds = 120;
    std::uint64_t progress_ms = 1000;
    bool fresh_connections = false;
    bool quiet = false;
};

/// What one run leaves behind.
struct load_result {
    std::vector<load::call_record> records;
    std::optional<measure::summary> summary;
    std::string failure;
};

void apply_overrides(const load_options& options, workload::specification& source) {
    source.run = options.run;
    if (options.requests > 0) {
        source.requests = options.requests;
    }
    if (options.seed > 0) {
        source.seed = options.seed;
    }
    if (options.rate > 0) {
        source.arrival = workload::open_arrivals{options.rate};
    }
    if (options.concurrency > 0) {
        source.arrival = workload::closed_arrivals{options.concurrency};
    }
}

void show_progress(const std::string& label, const load::progress& state) {
    std::cerr << label << ": " << state.ended << "/" << state.requests << " ended, "
              << state.sent - state.ended << " at work, " << state.complete << " complete, "
              << state.refused << " refused, " << state.other << " cut or failed, " << state.wrong
              << " wrong" << std::endl;
}

load::prompt_index index_prompts(const workload::specification& source) {
    load::prompt_index prompts;
    workload::generator stream(source);
    while (const auto request = stream.next()) {
        if (request->prompt) {
            std::string prompt = load::rendered_prompt(*request);
            const std::string digest = base::sha256_hex(prompt);
            prompts.emplace(digest, std::make_shared<const std::string>(std::move(prompt)));
        }
    }
    return prompts;
}

/// One run against one system. Lives until the event loop has ended.
class load_run {
  public:
    load_run(runtime::scheduler& scheduler, const load::endpoints& system,
             const workload::specification& source, const load_options& options)
        : system_(system),
          source_(source),
          options_(options),
          connections_(scheduler, http::client_limits{}),
          engines_(scheduler, connections_),
          observer_(scheduler, engines_, scheduler.now()),
          caller_(scheduler, system, caller_options_of(source, options)),
          generator_(source),
          runner_(scheduler, caller_, generator_, runner_options_of(options)) {}

    runtime::task<void> run() {
        observer_.start(system_.engines);
        result_.records = co_await runner_.run();
        auto executions = co_await audit::fetch_executions(connections_, system_.engines);
        if (!executions) {
            result_.failure = executions.error().message;
            executions = std::vector<audit::execution>{};
        }
        result_.summary =
            load::summarize(options_.label, result_.records, *executions, index_prompts(source_),
                            observer_.history(), source_.piece_bytes);
    }

    const load_result& result() const { return result_; }

  private:
    static load::caller_options caller_options_of(const workload::specification& source,
                                                  const load_options& options) {
        return {base::from_seconds(options.limit_seconds), options.run, source.piece_bytes,
                options.fresh_connections};
    }

    static load::runner_options runner_options_of(const load_options& options) {
        load::runner_options made;
        made.progress_every = std::chrono::milliseconds(options.progress_ms);
        if (!options.quiet) {
            made.show_progress = [label = options.label](const load::progress& state) {
                show_progress(label, state);
            };
        }
        return made;
    }

    const load::endpoints& system_;
    const workload::specification& source_;
    const load_options& options_;
    http::client connections_;
    engine::http_client engines_;
    load::cache_observer observer_;
    load::caller caller_;
    workload::generator generator_;
    load::runner runner_;
    load_result result_;
};

bool write_reports(const load_options& options, const load_result& result) {
    bool written = true;
    if (!options.records.empty()) {
        const auto saved = load::write_records(options.records, result.records);
        if (!saved) {
            std::cerr << saved.error().message << "\n";
            written = false;
        }
    }
    const std::vector<measure::summary> runs{*result.summary};
    written &= write_report_files("ferrybench load", runs, {options.json_file, options.html_file});
    print_report(runs, options.output);
    return written;
}

int finish(const load_options& options, const load_result& result) {
    if (!result.summary) {
        std::cerr << "the run ended early\n";
        return failed;
    }
    if (!result.failure.empty()) {
        std::cerr << result.failure << ": hit rate and recomputation are not known\n";
    }
    const bool written = write_reports(options, result);
    const measure::summary& run = *result.summary;
    const bool right = run.wrong == 0 && run.cut == 0 && run.failed == 0 && result.failure.empty();
    return written && right ? succeeded : failed;
}

int run_load(load_options options) {
    const auto system = load::read_endpoints(options.endpoints);
    if (!system) {
        std::cerr << options.endpoints << ": " << system.error().message << "\n";
        return misused;
    }
    auto source = workload::read_specification(options.workload);
    if (!source) {
        std::cerr << options.workload << ": " << source.error().message << "\n";
        return misused;
    }
    event_loop loop;
    if (options.run.empty()) {
        options.run = std::to_string(loop.scheduler().unix_milliseconds());
    }
    if (options.label.empty()) {
        options.label = source->name;
    }
    apply_overrides(options, *source);
    load_run work(loop.scheduler(), *system, *source, options);
    loop.run(work.run());
    return finish(options, work.result());
}

}  // namespace

void add_load(CLI::App& program, outcome& result) {
    auto options = std::make_shared<load_options>();
    CLI::App* command = program.add_subcommand(
        "load", "Sends a workload to the routers, checks every answer and reports.");
    command->add_option("--endpoints", options->endpoints, "endpoints.json of the system.")
        ->required();
    command->add_option("--workload", options->workload, "Workload file.")->required();
    command->add_option("--label", options->label, "Heading of the run in reports.");
    command->add_option("--run", options->run, "Name of the run in keys and prompts.");
    command->add_option("--records", options->records, "Writes each call's record to this file.");
    command->add_option("--json", options->json_file,
                        "Writes the report as JSON with all samples to this file.");
    command->add_option("--html", options->html_file, "Writes the report as HTML to this file.");
    command->add_option("--output", options->output, "text, json or none.")
        ->check(CLI::IsMember({"text", "json", "none"}));
    command->add_option("--requests", options->requests, "In place of the file's number.");
    command->add_option("--seed", options->seed, "In place of the file's seed.");
    command->add_option("--concurrency", options->concurrency,
                        "Closed loop in place of the file's arrivals.");
    command->add_option("--rate", options->rate, "Open loop, requests a second.");
    command->add_option("--limit-seconds", options->limit_seconds, "For one whole exchange.");
    command->add_option("--progress-ms", options->progress_ms, "Time between progress lines.")
        ->check(CLI::PositiveNumber);
    command->add_flag("--fresh-connections", options->fresh_connections,
                      "A connection for each request.");
    command->add_flag("--quiet", options->quiet, "Shows no progress.");
    command->callback([options, &result] { result.code = run_load(*options); });
}

}  // namespace ferryroad::bench::commands
