#include "components/gateway/watchschedule.hpp"

#include <algorithm>
#include <limits>

namespace samphiresail::gateway {

namespace {

using std::chrono::milliseconds;

/// Longest time after which a watch without changes returns. Its response shows that keys
/// and configuration are fresh, so it must come well within their staleness bounds.
constexpr milliseconds kMaxWait{ 1200 };
/// Wait of a watch that only asks whether the store answers; its response comes at once.
constexpr milliseconds kMinWait{ 1 };
/// Bounds of the time beyond the wait after which a watch without a response fails, and
/// of the store's delay from which it is derived.
constexpr milliseconds kMinHeadMargin{ 300 };
constexpr milliseconds kMaxHeadMargin{ 1500 };
constexpr int kHeadMarginDelays = 2;
/// Time in which lost packets are sent again.
constexpr milliseconds kStallTimeout{ 1000 };
constexpr milliseconds kBodyTimeout{ 5000 };
/// A watch may always return this much.
constexpr std::size_t kMinMaxBytes = 256U << 10U;
/// Largest response to a watch as a multiple of the size of all records.
constexpr double kMaxBytesFactor = 1.25;
/// Bounds of the pause between two calls, so that changes in quick succession are read by
/// one call.
constexpr milliseconds kMinPause{ 50 };
constexpr milliseconds kMinGatherTime{ 250 };
constexpr milliseconds kGatherTimePerEntry{ 45 };
constexpr milliseconds kMaxGatherTime{ 1500 };
/// Largest pause as a fraction of the time within which a change must be in force.
constexpr double kMaxPauseFraction = 0.45;
/// Longest sum of pause and wait; shorter than the time without a response after which
/// the store counts as down.
constexpr milliseconds kMaxTimeBetweenResponses{ 2100 };
/// Part of the time for changes that is kept for timers that fire late and for the way of
/// the call.
constexpr milliseconds kDeliveryMargin{ 150 };
/// Bounds of the random pause after a failed call; the first one may be due to a dead
/// connection, more of them are due to the store.
constexpr milliseconds kMinFirstRetryPause{ 10 };
constexpr milliseconds kMaxFirstRetryPause{ 100 };
constexpr milliseconds kMinRetryPause{ 60 };
constexpr milliseconds kMaxRetryPause{ 250 };
/// Time in which one entry reads all records of a restored store.
constexpr milliseconds kReadTimePerEntry{ 5 };
/// Factor by which the processing time decreases with each response.
constexpr double kProcessingTimeDecay = 0.75;

}

WatchSchedule::WatchSchedule(std::uint64_t aSeed)
  : mHeadMargin(kMinHeadMargin)
  , mRandom(aSeed)
{
}

void WatchSchedule::SetFleet(std::size_t aEntries, milliseconds aChangeTime)
{
  mEntries = aEntries;
  mChangeTime = aChangeTime;
}

milliseconds WatchSchedule::TimeToSpend() const
{
  return mChangeTime - kDeliveryMargin - mHeadMargin - kMaxFirstRetryPause -
         mProcessingTime;
}

milliseconds WatchSchedule::Pause() const
{
  const milliseconds gather =
    std::clamp(kGatherTimePerEntry * static_cast<std::int64_t>(mEntries),
               kMinGatherTime,
               kMaxGatherTime);
  const auto byChangeTime = std::chrono::duration_cast<milliseconds>(
    kMaxPauseFraction * std::chrono::duration<double, std::milli>(mChangeTime));
  return std::max(std::min({ gather, byChangeTime, TimeToSpend() - kMinWait }),
                  kMinPause);
}

milliseconds WatchSchedule::Wait() const
{
  const milliseconds pause = Pause();
  return std::max(
    std::min({ kMaxWait, kMaxTimeBetweenResponses - pause, TimeToSpend() - pause }),
    kMinWait);
}

WatchSchedule::Step WatchSchedule::Next() const
{
  Step step;
  step.mCall = mCall;
  step.mAt = mAt;
  step.mStallTimeout = kStallTimeout;
  if (mCall == Call::Read) {
    step.mHeadTimeout = kMaxHeadMargin;
    step.mMaxBytes = std::numeric_limits<std::size_t>::max();
  } else {
    step.mWait = mFailures > 0 ? kMinWait : Wait();
    step.mHeadTimeout = step.mWait + (mFailures > 0 ? kMaxHeadMargin : mHeadMargin);
    step.mMaxBytes = std::max(
      kMinMaxBytes,
      static_cast<std::size_t>(kMaxBytesFactor * static_cast<double>(mReadBytes)));
  }
  step.mTimeout = step.mHeadTimeout + kBodyTimeout;
  return step;
}

void WatchSchedule::OnApplied(const Response& aResponse)
{
  using std::chrono::ceil;
  const Step step = Next();
  const auto processing = ceil<milliseconds>(aResponse.mAppliedAt - aResponse.mBeganAt);
  const auto decayed = std::chrono::duration_cast<milliseconds>(
    kProcessingTimeDecay * std::chrono::duration<double, std::milli>(mProcessingTime));
  mProcessingTime = std::max(processing, decayed);
  if (mCall == Call::Read) {
    mReadBytes = aResponse.mBytes;
  }
  if (!aResponse.mHadChanges || step.mWait <= kMinWait) {
    const auto delay =
      ceil<milliseconds>(aResponse.mBeganAt - aResponse.mSentAt) - step.mWait;
    mHeadMargin = std::clamp(kHeadMarginDelays * delay, kMinHeadMargin, kMaxHeadMargin);
  }
  mFailures = 0;
  mCall = Call::Watch;
  mAt = std::max(aResponse.mBeganAt + Pause(), aResponse.mAppliedAt);
}

void WatchSchedule::OnReadNeeded(timing::Instant aNow)
{
  mCall = Call::Read;
  mAt = aNow;
}

void WatchSchedule::OnRestored(timing::Instant aNow)
{
  const auto others = static_cast<milliseconds::rep>(mEntries - 1);
  std::uniform_int_distribution<milliseconds::rep> delay(
    0, kReadTimePerEntry.count() * others);
  OnReadNeeded(aNow + kMinFirstRetryPause + milliseconds(delay(mRandom)));
}

void WatchSchedule::OnFailed(bool aBegan, timing::Instant aNow)
{
  if (aBegan) {
    // The same changes and newer ones would take longer still.
    mCall = Call::Read;
  }
  const bool first = mFailures == 0;
  ++mFailures;
  std::uniform_int_distribution<milliseconds::rep> pause(
    (first ? kMinFirstRetryPause : kMinRetryPause).count(),
    (first ? kMaxFirstRetryPause : kMaxRetryPause).count());
  mAt = aNow + milliseconds(pause(mRandom));
}

}
