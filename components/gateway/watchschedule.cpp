#include "components/gateway/watchschedule.hpp"

#include <algorithm>

namespace samphiresail::gateway {

namespace {

using std::chrono::milliseconds;

/// Longest time after which a watch without changes returns. Its response shows that keys
/// and configuration are fresh, so it must come well within their staleness bounds.
constexpr milliseconds kMaxWait{ 1200 };
/// Time beyond the wait after which a watch without a response fails.
constexpr milliseconds kWatchMargin{ 700 };
constexpr milliseconds kReadTimeout{ 1500 };
/// Bounds of the pause between two watches, so that changes in quick succession are read
/// by one call.
constexpr milliseconds kMinPause{ 250 };
constexpr milliseconds kPausePerEntry{ 45 };
constexpr milliseconds kMaxPause{ 1500 };
/// Largest pause as a fraction of the time within which a change must be in force.
constexpr double kMaxPauseFraction = 0.45;
/// Longest sum of pause and wait; shorter than the time without a response after which
/// the store counts as down.
constexpr milliseconds kMaxTimeBetweenResponses{ 2100 };
/// Bounds of the random pause after a failed call.
constexpr milliseconds kMinRetryPause{ 60 };
constexpr milliseconds kMaxRetryPause{ 250 };

}

WatchSchedule::WatchSchedule(std::uint64_t aSeed)
  : mPause(kMinPause)
  , mWait(kMaxWait)
  , mRandom(aSeed)
{
}

void WatchSchedule::SetFleet(std::size_t aEntries, milliseconds aChangeTime)
{
  const milliseconds pause = kPausePerEntry * static_cast<std::int64_t>(aEntries);
  const auto byChangeTime = std::chrono::duration_cast<milliseconds>(
    kMaxPauseFraction * std::chrono::duration<double, std::milli>(aChangeTime));
  const milliseconds longest = std::clamp(byChangeTime, kMinPause, kMaxPause);
  mPause = std::clamp(pause, kMinPause, longest);
  mWait = std::min(kMaxWait, kMaxTimeBetweenResponses - mPause);
}

WatchSchedule::Step WatchSchedule::Next() const
{
  return mCall == Call::Read ? Step{ Call::Read, mAt, milliseconds(0), kReadTimeout }
                             : Step{ Call::Watch, mAt, mWait, mWait + kWatchMargin };
}

void WatchSchedule::OnApplied(timing::Instant aNow)
{
  mCall = Call::Watch;
  mAt = aNow + mPause;
}

void WatchSchedule::OnHistoryLost(timing::Instant aNow)
{
  mCall = Call::Read;
  mAt = aNow;
}

void WatchSchedule::OnFailed(timing::Instant aNow)
{
  std::uniform_int_distribution<milliseconds::rep> pause(kMinRetryPause.count(),
                                                         kMaxRetryPause.count());
  mAt = aNow + milliseconds(pause(mRandom));
}

}
