#include "components/metrics/metrics.hpp"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>

namespace samphiresail::metrics {

void Counter::Increment(double aStep) const
{
  mCounter->Increment(aStep);
}

double Counter::Value() const
{
  return mCounter->Value();
}

void Gauge::Set(double aValue) const
{
  mGauge->Set(aValue);
}

void Gauge::Add(double aStep) const
{
  mGauge->Increment(aStep);
}

void Histogram::Observe(std::chrono::duration<double> aDuration) const
{
  mHistogram->Observe(aDuration.count());
}

}
