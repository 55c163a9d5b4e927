#include "ferryroad/http/json.hpp"

#include "bench/report/report.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

namespace ferryroad::bench::report {

namespace {

namespace json = boost::json;

json::object distribution_object(const measure::distribution& times, samples wanted) {
    constexpr double median = 0.5;
    constexpr double p95 = 0.95;
    constexpr double p99 = 0.99;
    json::array bins;
    for (const measure::bin& entry : times.bins()) {
        bins.push_back(json::object{
            {"from_seconds", entry.from}, {"to_seconds", entry.to}, {"count", entry.count}});
    }
    json::object fields{{"count", times.count()},
                        {"mean_seconds", times.mean()},
                        {"p50_seconds", times.quantile(median)},
                        {"p95_seconds", times.quantile(p95)},
                        {"p99_seconds", times.quantile(p99)},
                        {"bins", std::move(bins)}};
    if (wanted == samples::included) {
        fields["samples_seconds"] = json::array(times.samples().begin(), times.samples().end());
    }
    return fields;
}

/// Reads the member `name` of `run`.
measure::distribution read_distribution(http::object_reader& run, std::string_view name) {
    measure::distribution times;
    const json::value* member = run.find(name);
    if (member == nullptr || !member->is_object() ||
        !member->get_object().contains("samples_seconds")) {
        run.fail(name, "an object with samples_seconds");
        return times;
    }
    http::object_reader fields(*member, std::string(name));
    for (const json::value& sample : fields.list("samples_seconds")) {
        if (!sample.is_number()) {
            run.fail(name, "samples that are numbers");
            break;
        }
        times.add(sample.to_number<double>());
    }
    return times;
}

void read_refusals(http::object_reader& fields, measure::summary& run) {
    const json::value* refused = fields.find("refused_by_code");
    if (refused == nullptr || !refused->is_object()) {
        fields.fail("refused_by_code", "an object");
        return;
    }
    http::object_reader counts(*refused, "refused_by_code");
    for (const auto& member : refused->get_object()) {
        const std::string code(member.key());
        run.refused[code] = counts.unsigned_number(code);
    }
    if (counts.fault()) {
        fields.fail("refused_by_code", "whole numbers");
    }
}

measure::summary read_run(http::object_reader& fields) {
    measure::summary run;
    run.label = fields.text("label");
    run.requests = fields.unsigned_number("requests");
    run.complete = fields.unsigned_number("complete");
    run.cut = fields.unsigned_number("cut");
    run.failed = fields.unsigned_number("failed");
    run.wrong = fields.unsigned_number("wrong");
    run.seconds = fields.number("seconds");
    run.tokens.total = fields.unsigned_number("prompt_tokens");
    run.tokens.cached = fields.unsigned_number("cached_tokens");
    run.tokens.avoidable = fields.unsigned_number("avoidable_tokens");
    run.first_token = read_distribution(fields, "time_to_first_token");
    run.token_gap = read_distribution(fields, "time_between_tokens");
    read_refusals(fields, run);
    return run;
}

}  // namespace

json::value to_json(const measure::summary& run, samples wanted) {
    json::object refused;
    for (const auto& [code, count] : run.refused) {
        refused[code] = count;
    }
    return json::object{{"label", run.label},
                        {"requests", run.requests},
                        {"complete", run.complete},
                        {"refused", run.refused_count()},
                        {"refused_by_code", std::move(refused)},
                        {"cut", run.cut},
                        {"failed", run.failed},
                        {"wrong", run.wrong},
                        {"seconds", run.seconds},
                        {"requests_per_second", run.requests_per_second()},
                        {"prompt_tokens", run.tokens.total},
                        {"cached_tokens", run.tokens.cached},
                        {"avoidable_tokens", run.tokens.avoidable},
                        {"hit_rate", run.hit_rate()},
                        {"wasted_recomputation", run.wasted_share()},
                        {"time_to_first_token", distribution_object(run.first_token, wanted)},
                        {"time_between_tokens", distribution_object(run.token_gap, wanted)}};
}

json::value to_json(const std::vector<measure::summary>& runs, samples wanted) {
    json::array items;
    for (const measure::summary& run : runs) {
        items.push_back(to_json(run, wanted));
    }
    return json::object{{"runs", std::move(items)}};
}

runtime::result<std::vector<measure::summary>, std::string> from_json(std::string_view text) {
    const auto parsed = http::parse_json(text);
    if (!parsed) {
        return parsed.error().message;
    }
    http::object_reader fields(*parsed);
    std::vector<measure::summary> runs;
    for (const json::value& value : fields.list("runs")) {
        http::object_reader item(value, "runs");
        runs.push_back(read_run(item));
        if (item.fault()) {
            return item.fault()->message;
        }
    }
    if (fields.fault()) {
        return fields.fault()->message;
    }
    return runs;
}

}  // namespace ferryroad::bench::report
