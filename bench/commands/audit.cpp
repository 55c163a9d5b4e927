/// @file
/// `ferrybench audit`: compares callers' records with the engines' executions.
#include "bench/audit/auditor.hpp"
#include "bench/audit/fetch.hpp"
#include "bench/commands/commands.hpp"
#include "bench/commands/event_loop.hpp"
#include "bench/load/record_file.hpp"
#include "ferryroad/http/json.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include <iostream>
#include <iterator>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace ferryroad::bench::commands {

namespace {

struct audit_options {
    std::string endpoints;
    std::vector<std::string> records;
    bool executions_lost = false;
    std::string output = "text";
};

using fetched = runtime::result<std::vector<audit::execution>, load::error>;

runtime::result<std::vector<load::call_record>, load::error> read_all(
    const std::vector<std::string>& files) {
    std::vector<load::call_record> all;
    for (const std::string& file : files) {
        auto records = load::read_records(file);
        if (!records) {
            return records.error();
        }
        std::move(records->begin(), records->end(), std::back_inserter(all));
    }
    return all;
}

runtime::task<void> fetch_all(runtime::scheduler& scheduler,
                              std::vector<load::engine_entry> engines, fetched& result) {
    http::client client(scheduler, http::client_limits{});
    result = co_await audit::fetch_executions(client, std::move(engines));
}

void print_text(const audit::verdict& found) {
    for (const audit::violation& entry : found.violations) {
        std::cout << "violation " << audit::to_string(entry.kind) << ": run " << entry.run
                  << " request " << entry.number << " id " << entry.request << ": " << entry.detail
                  << "\n";
    }
    std::cout << "audit: " << found.calls << " calls, " << found.executions << " executions, "
              << found.attempts_beyond_first << " attempts beyond the first, "
              << found.once_only_requests << " once-only requests, " << found.cache_uses
              << " cache uses judged, " << found.cache_uses_unjudged << " unjudged, "
              << found.violations.size() << " violations\n";
}

void print_json(const audit::verdict& found) {
    boost::json::array violations;
    for (const audit::violation& entry : found.violations) {
        violations.push_back(boost::json::object{{"kind", audit::to_string(entry.kind)},
                                                 {"run", entry.run},
                                                 {"number", entry.number},
                                                 {"request_id", entry.request.value},
                                                 {"detail", entry.detail}});
    }
    const boost::json::object verdict{{"calls", found.calls},
                                      {"executions", found.executions},
                                      {"attempts_beyond_first", found.attempts_beyond_first},
                                      {"once_only_requests", found.once_only_requests},
                                      {"cache_uses", found.cache_uses},
                                      {"cache_uses_unjudged", found.cache_uses_unjudged},
                                      {"violations", std::move(violations)}};
    std::cout << http::to_text(verdict) << "\n";
}

int run_audit(const audit_options& options) {
    const auto system = load::read_endpoints(options.endpoints);
    if (!system) {
        std::cerr << options.endpoints << ": " << system.error().message << "\n";
        return misused;
    }
    auto calls = read_all(options.records);
    if (!calls) {
        std::cerr << calls.error().message << "\n";
        return misused;
    }
    event_loop loop;
    fetched executions = std::vector<audit::execution>{};
    loop.run(fetch_all(loop.scheduler(), system->engines, executions));
    if (!executions) {
        std::cerr << executions.error().message << "\n";
        return failed;
    }
    const audit::verdict found =
        audit::judge({std::move(*calls), std::move(*executions), options.executions_lost});
    if (options.output == "json") {
        print_json(found);
    } else {
        print_text(found);
    }
    return found.violations.empty() ? succeeded : failed;
}

}  // namespace

void add_audit(CLI::App& program, outcome& result) {
    auto options = std::make_shared<audit_options>();
    CLI::App* command =
        program.add_subcommand("audit", "Compares what callers saw with what the engines ran.");
    command->add_option("--endpoints", options->endpoints, "endpoints.json of the system.")
        ->required();
    command->add_option("--records", options->records, "Files that `load --records` wrote.")
        ->required();
    command->add_flag("--executions-lost", options->executions_lost,
                      "Engine processes were killed with their lists.");
    command->add_option("--output", options->output, "text or json.")
        ->check(CLI::IsMember({"text", "json"}));
    command->callback([options, &result] { result.code = run_audit(*options); });
}

}  // namespace ferryroad::bench::commands
