#include "components/gateway/demandmeter.hpp"

#include <chrono>
#include <cmath>

namespace samphiresail::gateway {

namespace {

/// Time constant of the exponential average. It is short because demand moves to other
/// models within seconds.
constexpr double kTimeConstantSeconds = 2.0;
/// Rate below which a counter is erased.
constexpr double kMinTrackedRate = 0.0003;

}

std::string DemandMeter::Name(const ids::ModelId& aModel, const std::string& aAdapter)
{
  return aAdapter.empty() ? aModel.Str() : aModel.Str() + "/" + aAdapter;
}

void DemandMeter::Record(const ids::ModelId& aModel,
                         const std::string& aAdapter,
                         double aEngineSeconds,
                         timing::Instant aNow)
{
  Add(Name(aModel, {}), aEngineSeconds, aNow);
  if (!aAdapter.empty()) {
    Add(Name(aModel, aAdapter), aEngineSeconds, aNow);
  }
}

void DemandMeter::Add(const std::string& aName, double aAmount, timing::Instant aNow)
{
  Counter& counter = mCounters[aName];
  counter.mRate = Decayed(counter, aNow) + aAmount / kTimeConstantSeconds;
  counter.mUpdatedAt = aNow;
}

double DemandMeter::Rate(const std::string& aName, timing::Instant aNow) const
{
  const auto it = mCounters.find(aName);
  return it == mCounters.end() ? 0.0 : Decayed(it->second, aNow);
}

double DemandMeter::Decayed(const Counter& aCounter, timing::Instant aNow)
{
  const double seconds =
    std::chrono::duration<double>(aNow - aCounter.mUpdatedAt).count();
  return aCounter.mRate * std::exp(-seconds / kTimeConstantSeconds);
}

void DemandMeter::Tick(timing::Instant aNow)
{
  std::erase_if(mCounters, [aNow](const auto& aRow) {
    return Decayed(aRow.second, aNow) < kMinTrackedRate;
  });
}

}
