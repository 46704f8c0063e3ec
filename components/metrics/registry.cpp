#include "components/metrics/registry.hpp"

#include <prometheus/counter.h>
#include <prometheus/exposer.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace samphiresail::metrics {

namespace {

constexpr std::size_t kServerThreads = 1;

/// Returns the upper bounds of the histogram buckets in seconds.
prometheus::Histogram::BucketBoundaries DurationBuckets()
{
  return { 0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1,
           0.2,    0.5,   1,     2,     5,    10,   30,   60 };
}

std::string FormatBindAddress(const settings::SocketAddress& aAddress)
{
  const bool bracketed = aAddress.mHost.find(':') != std::string::npos;
  const std::string host = bracketed ? "[" + aAddress.mHost + "]" : aAddress.mHost;
  return host + ":" + std::to_string(aAddress.mPort);
}

}

Registry::Registry()
  : mRegistry(std::make_shared<prometheus::Registry>())
{
}

Registry::~Registry() = default;

Counter Registry::AddCounter(const std::string& aName,
                             const std::string& aHelp,
                             const Labels& aLabels)
{
  auto& family = prometheus::BuildCounter().Name(aName).Help(aHelp).Register(*mRegistry);
  return Counter(family.Add(aLabels));
}

Gauge Registry::AddGauge(const std::string& aName,
                         const std::string& aHelp,
                         const Labels& aLabels)
{
  auto& family = prometheus::BuildGauge().Name(aName).Help(aHelp).Register(*mRegistry);
  return Gauge(family.Add(aLabels));
}

Histogram Registry::AddHistogram(const std::string& aName,
                                 const std::string& aHelp,
                                 const Labels& aLabels)
{
  auto& family =
    prometheus::BuildHistogram().Name(aName).Help(aHelp).Register(*mRegistry);
  return Histogram(family.Add(aLabels, DurationBuckets()));
}

void Registry::Serve(const settings::SocketAddress& aAddress)
{
  if (aAddress.mPort == 0) {
    return;
  }
  mExposer =
    std::make_unique<prometheus::Exposer>(FormatBindAddress(aAddress), kServerThreads);
  mExposer->RegisterCollectable(mRegistry);
}

std::string Registry::Text() const
{
  return prometheus::TextSerializer().Serialize(mRegistry->Collect());
}

}
