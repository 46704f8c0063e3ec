#ifndef SAMPHIRESAIL_COMPONENTS_METRICS_METRICS_HPP
#define SAMPHIRESAIL_COMPONENTS_METRICS_METRICS_HPP

#include <chrono>

namespace prometheus {
class Counter;
class Gauge;
class Histogram;
}

namespace samphiresail::metrics {

/// Monotonically increasing counter. Copies refer to the same counter; the registry must
/// outlive them.
class Counter
{
public:
  explicit Counter(prometheus::Counter& aCounter)
    : mCounter(&aCounter)
  {
  }
  void Increment(double aStep = 1) const;
  double Value() const;

private:
  prometheus::Counter* mCounter;
};

/// Value that can increase and decrease. Copies refer to the same gauge; the registry
/// must outlive them.
class Gauge
{
public:
  explicit Gauge(prometheus::Gauge& aGauge)
    : mGauge(&aGauge)
  {
  }
  void Set(double aValue) const;
  void Add(double aStep) const;

private:
  prometheus::Gauge* mGauge;
};

/// Distribution of durations in seconds. Copies refer to the same histogram; the registry
/// must outlive them.
class Histogram
{
public:
  explicit Histogram(prometheus::Histogram& aHistogram)
    : mHistogram(&aHistogram)
  {
  }
  void Observe(std::chrono::duration<double> aDuration) const;

private:
  prometheus::Histogram* mHistogram;
};

}

#endif
