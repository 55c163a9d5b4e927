#include "bench/report/report.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

namespace ferryroad::bench::report {

namespace {

namespace json = boost::json;

json::object distribution_object(const measure::distribution& times) {
    constexpr double median = 0.5;
    constexpr double p95 = 0.95;
    constexpr double p99 = 0.99;
    json::array bins;
    for (const measure::bin& entry : times.bins()) {
        bins.push_back(json::object{
            {"from_seconds", entry.from}, {"to_seconds", entry.to}, {"count", entry.count}});
    }
    return {{"count", times.count()},
            {"mean_seconds", times.mean()},
            {"p50_seconds", times.quantile(median)},
            {"p95_seconds", times.quantile(p95)},
            {"p99_seconds", times.quantile(p99)},
            {"bins", std::move(bins)}};
}

}  // namespace

json::value to_json(const measure::summary& run) {
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
                        {"time_to_first_token", distribution_object(run.first_token)},
                        {"time_between_tokens", distribution_object(run.token_gap)}};
}

json::value to_json(const std::vector<measure::summary>& runs) {
    json::array items;
    for (const measure::summary& run : runs) {
        items.push_back(to_json(run));
    }
    return json::object{{"runs", std::move(items)}};
}

}  // namespace ferryroad::bench::report
