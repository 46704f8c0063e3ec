#include "components/gateway/enginememory.hpp"

#include <algorithm>
#include <limits>

namespace samphiresail::gateway {

namespace {

/// Smallest weight of a new response in the averages.
constexpr double kGain = 0.02;
/// Responses from which on the averages are used.
constexpr unsigned kMinSamples = 10;
/// Responses with fewer events say little of the tokens of an event, as the last one may
/// hold fewer than the others.
constexpr double kMinRateEvents = 10.0;
/// Decrease of the largest rate per response, so that a change of the engines is
/// followed.
constexpr double kRateDecrease = 0.999;

}

double EngineMemory::ExpectedTokens(const EngineWork& aWork) const
{
  const auto it = mOutputs.find(aWork.mModel);
  double used = 1.0;
  if (it != mOutputs.end() && it->second.mSamples >= kMinSamples &&
      it->second.mMaxRate > 0.0) {
    const Outputs& outputs = it->second;
    used = std::min(outputs.mEvents / (outputs.mStatedTokens * outputs.mMaxRate), 1.0);
  }
  return aWork.mPromptTokens + used * aWork.mOutputTokens;
}

void EngineMemory::ObserveOutput(const ids::ModelId& aModel,
                                 double aStatedTokens,
                                 double aEvents)
{
  if (aStatedTokens < 1.0 || aEvents < 1.0) {
    return;
  }
  Outputs& outputs = mOutputs[aModel];
  ++outputs.mSamples;
  const double gain = std::max(kGain, 1.0 / outputs.mSamples);
  outputs.mEvents += gain * (aEvents - outputs.mEvents);
  outputs.mStatedTokens += gain * (aStatedTokens - outputs.mStatedTokens);
  outputs.mMaxRate *= kRateDecrease;
  if (aEvents >= kMinRateEvents) {
    outputs.mMaxRate = std::max(outputs.mMaxRate, aEvents / aStatedTokens);
  }
}

double EngineMemory::Room(const EngineLoad& aLoad,
                          const EngineCapacity& aCapacity,
                          Milliseconds aBehind,
                          Milliseconds aSlotTime)
{
  if (aCapacity.mMemoryTokens <= 0.0) {
    return std::numeric_limits<double>::infinity();
  }
  // What the requests hold becomes free at an even rate, all of it in one slot time.
  const double reserve = std::clamp(aBehind / aSlotTime, 0.0, kMaxReserve);
  return aCapacity.mMemoryTokens * (1.0 - reserve) - aLoad.mMemoryTokens;
}

Milliseconds EngineMemory::WaitForRoom(const EngineLoad& aLoad,
                                       double aRoom,
                                       double aExpectedTokens,
                                       Milliseconds aSlotTime)
{
  if (aLoad.mMemoryTokens <= 0.0) {
    return Milliseconds(0);
  }
  const double excess = aExpectedTokens - aRoom;
  return aSlotTime * std::clamp(excess / aLoad.mMemoryTokens, 0.0, 1.0);
}

}
