#include "ferryroad/runtime/metrics.hpp"

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <map>
#include <mutex>
#include <sstream>

namespace ferryroad::runtime {

namespace {

template <typename Native>
using family_map = std::map<std::string, prometheus::Family<Native>*, std::less<>>;

std::map<std::string, std::string> native_labels(const metric_labels& labels) {
    std::map<std::string, std::string> native;
    for (const metric_label& label : labels) {
        native.emplace(label.name, label.value);
    }
    return native;
}

/// @return the family of that name; registers it with `builder` if it is new.
template <typename Native, typename Builder>
prometheus::Family<Native>& family_of(family_map<Native>& known, prometheus::Registry& registry,
                                      std::string_view name, std::string_view help,
                                      Builder builder) {
    const auto found = known.find(name);
    if (found != known.end()) {
        return *found->second;
    }
    auto& family = builder.Name(std::string(name)).Help(std::string(help)).Register(registry);
    known.emplace(std::string(name), &family);
    return family;
}

}  // namespace

struct metrics::state {
    prometheus::Registry registry;
    std::mutex guard;
    family_map<prometheus::Counter> counters;
    family_map<prometheus::Gauge> gauges;
    family_map<prometheus::Histogram> histograms;
};

void counter::add(double amount) {
    native_->Increment(amount);
}

void gauge::set(double value) {
    native_->Set(value);
}

void gauge::add(double amount) {
    native_->Increment(amount);
}

void histogram::observe(double value) {
    native_->Observe(value);
}

metrics::metrics() : state_(std::make_unique<state>()) {}
metrics::~metrics() = default;

counter metrics::counter_of(std::string_view name, std::string_view help,
                            const metric_labels& labels) {
    const std::scoped_lock lock(state_->guard);
    auto& family =
        family_of(state_->counters, state_->registry, name, help, prometheus::BuildCounter());
    return counter(family.Add(native_labels(labels)));
}

gauge metrics::gauge_of(std::string_view name, std::string_view help, const metric_labels& labels) {
    const std::scoped_lock lock(state_->guard);
    auto& family =
        family_of(state_->gauges, state_->registry, name, help, prometheus::BuildGauge());
    return gauge(family.Add(native_labels(labels)));
}

histogram metrics::histogram_of(std::string_view name, std::string_view help,
                                const std::vector<double>& bounds, const metric_labels& labels) {
    const std::scoped_lock lock(state_->guard);
    auto& family =
        family_of(state_->histograms, state_->registry, name, help, prometheus::BuildHistogram());
    return histogram(family.Add(native_labels(labels), bounds));
}

std::string metrics::to_text() const {
    std::ostringstream text;
    prometheus::TextSerializer().Serialize(text, state_->registry.Collect());
    return text.str();
}

}  // namespace ferryroad::runtime
