#include "components/gateway/generationtimes.hpp"

#include <algorithm>
#include <cmath>

namespace samphiresail::gateway {

namespace {

/// Smallest weight of a new response in the averages.
constexpr double kGain = 0.05;
/// Responses from which on the averages are used.
constexpr unsigned kMinSamples = 10;

}

void GenerationTimes::Observe(const ids::ModelId& aModel,
                              double aStatedTokens,
                              Milliseconds aGenerating)
{
  if (aStatedTokens < 1.0) {
    return;
  }
  Times& times = mTimes[aModel];
  ++times.mSamples;
  const double gain = std::max(kGain, 1.0 / times.mSamples);
  const double error = aGenerating.count() / aStatedTokens - times.mMean;
  times.mMean += gain * error;
  if (times.mSamples > 1) {
    times.mDeviation += gain * (std::abs(error) - times.mDeviation);
  }
}

Milliseconds GenerationTimes::FastTime(const ids::ModelId& aModel,
                                       double aStatedTokens) const
{
  const auto it = mTimes.find(aModel);
  if (it == mTimes.end() || it->second.mSamples < kMinSamples) {
    return Milliseconds(0);
  }
  const Times& times = it->second;
  return Milliseconds(std::max(times.mMean - times.mDeviation, 0.0) * aStatedTokens);
}

}
