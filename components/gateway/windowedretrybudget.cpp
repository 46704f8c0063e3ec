#include "components/gateway/windowedretrybudget.hpp"

#include <algorithm>

namespace samphiresail::gateway {

WindowedRetryBudget::Traffic& WindowedRetryBudget::TrafficOf(
  const ids::ServiceId& aService)
{
  return mTraffic
    .try_emplace(
      aService, Traffic{ SlidingWindow(mLimits.mWindow), SlidingWindow(mLimits.mWindow) })
    .first->second;
}

void WindowedRetryBudget::RecordFirstAttempt(const ids::ServiceId& aService,
                                             timing::Instant aNow)
{
  TrafficOf(aService).mFirstAttempts.Add(aNow);
}

bool WindowedRetryBudget::TrySpend(const ids::ServiceId& aService,
                                   std::size_t aEntries,
                                   timing::Instant aNow)
{
  Traffic& traffic = TrafficOf(aService);
  const auto entries = static_cast<double>(std::max<std::size_t>(aEntries, 1));
  const double allowed =
    kUsedFraction *
    (mLimits.mRatio * static_cast<double>(traffic.mFirstAttempts.Count(aNow)) +
     mLimits.mSlack / entries);
  if (static_cast<double>(traffic.mRetries.Count(aNow)) + 1 > allowed) {
    return false;
  }
  traffic.mRetries.Add(aNow);
  return true;
}

}
