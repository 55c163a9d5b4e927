/// @file
/// Prometheus metrics. Hides prometheus-cpp from users of this header.
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

/// A label of a metric with its value, such as `{"route", name}`.
struct metric_label {
    std::string name;
    std::string value;
};
using metric_labels = std::vector<metric_label>;

/// Handle of a monotonically increasing counter that its `metrics` owns. Copies refer to the same
/// counter.
class counter {
  public:
    explicit counter(prometheus::Counter& native) : native_(&native) {}
    void add(double amount = 1.0);

  private:
    prometheus::Counter* native_;
};

/// Handle of a value that can go up and down. Copies refer to the same gauge.
class gauge {
  public:
    explicit gauge(prometheus::Gauge& native) : native_(&native) {}
    void set(double value);
    void add(double amount);

  private:
    prometheus::Gauge* native_;
};

/// Handle of a histogram, which counts observations in buckets. Copies refer to the same histogram.
class histogram {
  public:
    explicit histogram(prometheus::Histogram& native) : native_(&native) {}
    void observe(double value);

  private:
    prometheus::Histogram* native_;
};

/// Registry of a process's metrics. Thread-safe. Must outlive every handle that it returned. The
/// same name with the same labels yields the same metric. Names begin with `ferryroad_`, those of
/// counters end in `_total`, and times are in seconds.
class metrics {
  public:
    metrics();
    ~metrics();
    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;

    counter counter_of(std::string_view name, std::string_view help,
                       const metric_labels& labels = {});
    gauge gauge_of(std::string_view name, std::string_view help, const metric_labels& labels = {});
    /// @param bounds upper bounds of the buckets in ascending order; must be the same on each call
    /// for a name.
    histogram histogram_of(std::string_view name, std::string_view help,
                           const std::vector<double>& bounds, const metric_labels& labels = {});

    /// @return all metrics in the Prometheus text format.
    std::string to_text() const;

  private:
    struct state;
    std::unique_ptr<state> state_;
};

}  // namespace ferryroad::runtime
