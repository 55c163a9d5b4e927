/// Reports carry every run's figures in each form.
#include "bench/report/report.hpp"

#include "ferryroad/http/json.hpp"

#include <criterion/criterion.h>

namespace {

using namespace ferryroad::bench;

std::vector<measure::summary> sample_runs() {
    measure::summary first;
    first.label = "cost";
    first.requests = 10;
    first.complete = 9;
    first.refused = {{"overloaded", 1}};
    first.tokens = {1000, 750, 50};
    first.first_token.add(0.25);
    first.token_gap.add(0.02);
    measure::summary second;
    second.label = "<other>";
    second.requests = 4;
    return {first, second};
}

bool holds(const std::string& text, const char* part) {
    return text.find(part) != std::string::npos;
}

}  // namespace

Test(report, text_has_a_column_for_each_run) {
    const std::string text = report::to_text(sample_runs());
    for (const char* part : {"cost", "<other>", "  overloaded", "75.0 %", "5.0 %", "250.0 ms"}) {
        cr_assert(holds(text, part), "%s in\n%s", part, text.c_str());
    }
}

Test(report, json_has_all_figures) {
    const auto value = report::to_json(sample_runs());
    const auto& runs = value.as_object().at("runs").as_array();
    cr_assert_eq(runs.size(), 2U);
    const auto& first = runs.at(0).as_object();
    cr_assert_eq(first.at("complete").to_number<int>(), 9);
    cr_assert_eq(first.at("refused_by_code").as_object().at("overloaded").to_number<int>(), 1);
    cr_assert_float_eq(first.at("hit_rate").to_number<double>(), 0.75, 1e-9);
    const auto& times = first.at("time_to_first_token").as_object();
    cr_assert_float_eq(times.at("p99_seconds").to_number<double>(), 0.25, 1e-9);
    cr_assert_eq(times.at("bins").as_array().size(), 1U);
}

Test(report, html_is_self_contained_and_escaped) {
    const std::string page = report::to_html("Runs & plots", sample_runs());
    for (const char* part : {"Runs &amp; plots", "&lt;other>", "<svg", "<rect", "75.0 %"}) {
        cr_assert(holds(page, part), "%s", part);
    }
    for (const char* part : {"<other>", "<script", "http:", "src="}) {
        cr_assert_not(holds(page, part), "%s", part);
    }
}

Test(report, json_with_samples_reads_back) {
    const auto runs = sample_runs();
    const std::string text =
        ferryroad::http::to_text(report::to_json(runs, report::samples::included));
    const auto read = report::from_json(text);
    cr_assert(read.has_value(), "%s", read.has_error() ? read.error().c_str() : "");
    cr_assert_eq(report::to_text(*read), report::to_text(runs));
    const std::string without = ferryroad::http::to_text(report::to_json(runs));
    cr_assert(report::from_json(without).has_error());
    cr_assert(report::from_json("{").has_error());
}
