/// @file
/// Metrics for Prometheus. prometheus-cpp stays behind this header.
#pragma once

#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace prometheus {
class Counter;
class Gauge;
class Histogram;
}  // namespace prometheus

namespace ferryroad::runtime {

/// One fixed label of a metric, such as `{"route", name}`.
struct metric_label {
    std::string name;
    std::string value;
};
using metric_labels = std::vector<metric_label>;

/// Only rises. Owned by its `metrics`; copies name the same counter.
class counter {
  public:
    explicit counter(prometheus::Counter& native) : native_(&native) {}
    void add(double amount = 1.0);

  private:
    prometheus::Counter* native_;
};

/// Rises and falls.
class gauge {
  public:
    explicit gauge(prometheus::Gauge& native) : native_(&native) {}
    void set(double value);
    void add(double amount);

  private:
    prometheus::Gauge* native_;
};

/// Counts observations in buckets.
class histogram {
  public:
    explicit histogram(prometheus::Histogram& native) : native_(&native) {}
    void observe(double value);

  private:
    prometheus::Histogram* native_;
};

/// A process's metrics. Thread-safe; outlives every metric taken from it. Asking again for a
/// name with the same labels gives the same metric. Names begin with `ferryroad_`, counters
/// end in `_total`, times are in seconds.
class metrics {
  public:
    metrics();
    ~metrics();
    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;

    counter counter_of(std::string_view name, std::string_view help,
                       const metric_labels& labels = {});
    gauge gauge_of(std::string_view name, std::string_view help, const metric_labels& labels = {});
    /// @param bounds upper bounds of the buckets, rising; the same on each call for a name.
    histogram histogram_of(std::string_view name, std::string_view help,
                           const std::vector<double>& bounds, const metric_labels& labels = {});

    /// @return everything in Prometheus's text format.
    std::string to_text() const;

  private:
    struct state;
    std::unique_ptr<state> state_;
};

}  // namespace ferryroad::runtime
