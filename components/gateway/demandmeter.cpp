#include "components/gateway/demandmeter.hpp"

#include <chrono>
#include <cmath>

namespace samphiresail::gateway {

namespace {

/// Time constant of the average; demand moves to other models within seconds.
constexpr double kSeconds = 2.0;
/// Rate below which nothing is asked for any more, in requests a second.
constexpr double kForget = 0.005;

}

std::string DemandMeter::Name(const ids::ModelId& aModel, const std::string& aAdapter)
{
  return aAdapter.empty() ? aModel.Str() : aModel.Str() + "/" + aAdapter;
}

void DemandMeter::Record(const ids::ModelId& aModel,
                         const std::string& aAdapter,
                         timing::Instant aNow)
{
  Add(Name(aModel, {}), aNow);
  if (!aAdapter.empty()) {
    Add(Name(aModel, aAdapter), aNow);
  }
}

void DemandMeter::Add(const std::string& aName, timing::Instant aNow)
{
  Counter& counter = mCounters[aName];
  counter.mRate = Decayed(counter, aNow) + 1.0 / kSeconds;
  counter.mAt = aNow;
}

double DemandMeter::Rate(const std::string& aName, timing::Instant aNow) const
{
  const auto it = mCounters.find(aName);
  return it == mCounters.end() ? 0.0 : Decayed(it->second, aNow);
}

double DemandMeter::Decayed(const Counter& aCounter, timing::Instant aNow)
{
  const double seconds = std::chrono::duration<double>(aNow - aCounter.mAt).count();
  return aCounter.mRate * std::exp(-seconds / kSeconds);
}

void DemandMeter::Tick(timing::Instant aNow)
{
  std::erase_if(
    mCounters, [aNow](const auto& aRow) { return Decayed(aRow.second, aNow) < kForget; });
}

}
