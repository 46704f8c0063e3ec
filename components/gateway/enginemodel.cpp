#include "components/gateway/enginemodel.hpp"

#include <algorithm>
#include <cmath>

namespace samphiresail::gateway {

namespace {

/// A read time is fitted only from prompts that take at least this long, since shorter
/// ones are hidden by the engine's steps.
constexpr Milliseconds kMinFittedRead{ 10.0 };
/// Smallest weight of a new sample in the averages of read times.
constexpr double kReadGain = 0.03;
/// Weight of a new sample of one engine's speed.
constexpr double kSlownessGain = 0.25;
/// Number of samples of the average read time from which single engines are compared with
/// it.
constexpr unsigned kMinAverageSamples = 20;
/// Largest change by one sample, as the logarithm of a factor; bounds the effect of
/// requests that waited for other reasons.
constexpr double kMaxLogStep = 1.0;
/// Bounds of an engine's slowness, as the logarithm of a factor.
constexpr double kMinLogSlowness = -1.0;
constexpr double kMaxLogSlowness = 3.0;
/// Weight of a new sample in the average overhead and slot time.
constexpr double kTimeGain = 0.05;
constexpr Milliseconds kMinOverhead{ 1.0 };
constexpr Milliseconds kMaxOverhead{ 100.0 };
/// Growth per sample of the shortest time for a token of a response, so that a change of
/// the engines is followed.
constexpr double kOutputTimeGrowth = 1.002;

}

EngineLoad& EngineLoad::operator+=(const EngineLoad& aOther)
{
  mRequests += aOther.mRequests;
  mUnread += aOther.mUnread;
  mMemoryTokens += aOther.mMemoryTokens;
  return *this;
}

EngineLoad& EngineLoad::operator-=(const EngineLoad& aOther)
{
  mRequests -= std::min(mRequests, aOther.mRequests);
  mUnread = std::max(mUnread - aOther.mUnread, Milliseconds(0));
  mMemoryTokens = std::max(mMemoryTokens - aOther.mMemoryTokens, 0.0);
  return *this;
}

double EngineModel::LogReadTime(const ids::ModelId& aModel) const
{
  const double initial = std::log(kInitialReadTime.count());
  const auto it = mModels.find(aModel);
  return initial + (it != mModels.end() ? it->second.mLogTime : mAverage.mLogTime);
}

Milliseconds EngineModel::ReadTime(const ids::ModelId& aModel, double aTokens) const
{
  return Milliseconds(aTokens * std::exp(LogReadTime(aModel)));
}

Milliseconds EngineModel::EngineTime(const EngineWork& aWork,
                                     const EngineCapacity& aCapacity) const
{
  double slots = std::max(1U, aCapacity.mSlots);
  const double memory = aWork.mPromptTokens + aWork.mOutputTokens;
  if (aCapacity.mMemoryTokens > 0 && memory > 0) {
    slots = std::clamp(aCapacity.mMemoryTokens / memory, 1.0, slots);
  }
  return ReadTime(aWork.mModel, aWork.mUnreadTokens) +
         mOutputTime * (aWork.mOutputTokens / slots);
}

double EngineModel::LogSlowness(const ids::EndpointId& aEndpoint,
                                timing::Instant aNow) const
{
  const auto it = mEngines.find(aEndpoint);
  if (it == mEngines.end()) {
    return 0.0;
  }
  const double halfLives = std::chrono::duration<double>(aNow - it->second.mUpdatedAt) /
                           std::chrono::duration<double>(kSlownessHalfLife);
  return it->second.mLogSlowness * std::exp2(-std::max(halfLives, 0.0));
}

double EngineModel::Slowness(const ids::EndpointId& aEndpoint, timing::Instant aNow) const
{
  return std::exp(LogSlowness(aEndpoint, aNow)) * mMachines.Slowness(aEndpoint);
}

EngineForecast EngineModel::Predict(const ids::EndpointId& aEndpoint,
                                    const EngineLoad& aLoad,
                                    const EngineCapacity& aCapacity,
                                    const EngineWork& aWork,
                                    timing::Instant aNow) const
{
  const double slowness = Slowness(aEndpoint, aNow);
  const double slots = std::max(1U, aCapacity.mSlots);
  const double excessRequests = aLoad.mRequests + 1.0 - slots;
  const Milliseconds slotWait = mSlotTime * (std::max(excessRequests, 0.0) / slots);
  Milliseconds memoryWait{ 0 };
  if (aCapacity.mMemoryTokens > 0) {
    const double excess = aLoad.mMemoryTokens + aWork.mPromptTokens +
                          aWork.mOutputTokens - aCapacity.mMemoryTokens;
    memoryWait = mSlotTime * (std::max(excess, 0.0) / aCapacity.mMemoryTokens);
  }
  EngineForecast forecast;
  forecast.mWait = std::max({ aLoad.mUnread * slowness, slotWait, memoryWait });
  forecast.mRead = ReadTime(aWork.mModel, aWork.mUnreadTokens) * slowness;
  forecast.mFirstEvent = mOverhead + forecast.mWait + forecast.mRead;
  return forecast;
}

void EngineModel::Adjust(ReadSpeed& aSpeed, double aLogRatio)
{
  ++aSpeed.mSamples;
  const double gain = std::max(kReadGain, 1.0 / aSpeed.mSamples);
  aSpeed.mLogTime += gain * std::clamp(aLogRatio, -kMaxLogStep, kMaxLogStep);
}

void EngineModel::ObserveFirstEvent(const ids::EndpointId& aEndpoint,
                                    const ids::ModelId& aModel,
                                    const EngineForecast& aForecast,
                                    Milliseconds aTook,
                                    timing::Instant aNow)
{
  const Milliseconds expected = aForecast.mWait + aForecast.mRead;
  if (expected < kMinFittedRead) {
    const Milliseconds overhead =
      std::clamp(aTook - expected, kMinOverhead, kMaxOverhead);
    mOverhead += kTimeGain * (overhead - mOverhead);
    return;
  }
  const Milliseconds reading = std::max(aTook - mOverhead, Milliseconds(1));
  const double ratio = std::log(reading / expected);
  if (aForecast.mWait <= aForecast.mRead) {
    // Little waited ahead of the request, so the time is that of its own model.
    const auto [it, added] = mModels.try_emplace(aModel, mAverage);
    if (added) {
      it->second.mSamples = std::min(it->second.mSamples, 1U);
    }
    Adjust(it->second, ratio);
    Adjust(mAverage, ratio);
  }
  if (mAverage.mSamples < kMinAverageSamples) {
    return;
  }
  Deviation& engine = mEngines[aEndpoint];
  const double known = LogSlowness(aEndpoint, aNow);
  const double step = std::clamp(ratio, -kMaxLogStep, kMaxLogStep);
  engine.mLogSlowness =
    std::clamp(known + kSlownessGain * step, kMinLogSlowness, kMaxLogSlowness);
  engine.mUpdatedAt = aNow;
}

void EngineModel::ObserveCompletion(double aOutputTokens,
                                    Milliseconds aGenerating,
                                    Milliseconds aTook)
{
  mSlotTime += kTimeGain * (aTook - mSlotTime);
  if (aOutputTokens >= 1) {
    mOutputTime = std::min(mOutputTime * kOutputTimeGrowth, aGenerating / aOutputTokens);
  }
}

}
