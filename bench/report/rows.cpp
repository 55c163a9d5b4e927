#include "bench/report/rows.hpp"

#include <array>
#include <cstdio>
#include <functional>
#include <ratio>
#include <set>

namespace ferryroad::bench::report {

namespace {

using measure::summary;
using figure = std::function<std::string(const summary&)>;

std::string fixed(double value, int digits) {
    std::array<char, 64> text{};
    std::snprintf(text.data(), text.size(), "%.*f", digits, value);
    return text.data();
}

std::string percent(double share) {
    constexpr double hundred = 100.0;
    return fixed(share * hundred, 1) + " %";
}

std::string milliseconds(double seconds) {
    return fixed(seconds * std::milli::den, 1) + " ms";
}

row make_row(const std::vector<summary>& runs, std::string name, const figure& value) {
    row made{std::move(name), {}};
    for (const summary& run : runs) {
        made.values.push_back(value(run));
    }
    return made;
}

figure first_token(double share) {
    return [share](const summary& run) { return milliseconds(run.first_token.quantile(share)); };
}

}  // namespace

std::vector<row> make_rows(const std::vector<summary>& runs) {
    constexpr double median = 0.5;
    constexpr double p95 = 0.95;
    constexpr double p99 = 0.99;
    std::vector<row> rows;
    const auto add = [&](std::string name, const figure& value) {
        rows.push_back(make_row(runs, std::move(name), value));
    };
    add("requests", [](const summary& run) { return std::to_string(run.requests); });
    add("complete", [](const summary& run) { return std::to_string(run.complete); });
    add("refused", [](const summary& run) { return std::to_string(run.refused_count()); });
    std::set<std::string> codes;
    for (const summary& run : runs) {
        for (const auto& [code, count] : run.refused) {
            codes.insert(code);
        }
    }
    for (const std::string& code : codes) {
        add("  " + code, [&code](const summary& run) {
            const auto found = run.refused.find(code);
            return std::to_string(found == run.refused.end() ? 0 : found->second);
        });
    }
    add("cut", [](const summary& run) { return std::to_string(run.cut); });
    add("failed in the stream", [](const summary& run) { return std::to_string(run.failed); });
    add("wrong answers", [](const summary& run) { return std::to_string(run.wrong); });
    add("requests a second",
        [](const summary& run) { return fixed(run.requests_per_second(), 1); });
    add("hit rate", [](const summary& run) { return percent(run.hit_rate()); });
    add("wasted recomputation", [](const summary& run) { return percent(run.wasted_share()); });
    add("TTFT p50", first_token(median));
    add("TTFT p95", first_token(p95));
    add("TTFT p99", first_token(p99));
    add("time between tokens p95",
        [](const summary& run) { return milliseconds(run.token_gap.quantile(p95)); });
    return rows;
}

}  // namespace ferryroad::bench::report
