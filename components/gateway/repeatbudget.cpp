#include "components/gateway/repeatbudget.hpp"

#include <algorithm>

namespace samphiresail::gateway {

RepeatBudget::Traffic& RepeatBudget::Of(const ids::ServiceId& aService)
{
  return mTraffic
    .try_emplace(
      aService, Traffic{ SlidingWindow(mLimits.mWindow), SlidingWindow(mLimits.mWindow) })
    .first->second;
}

void RepeatBudget::RecordFirst(const ids::ServiceId& aService, timing::Instant aNow)
{
  Of(aService).mFirst.Add(aNow);
}

bool RepeatBudget::TrySpend(const ids::ServiceId& aService,
                            std::size_t aEntries,
                            timing::Instant aNow)
{
  Traffic& traffic = Of(aService);
  const auto entries = static_cast<double>(std::max<std::size_t>(aEntries, 1));
  const double allowed =
    kUsedPart * (mLimits.mRatio * static_cast<double>(traffic.mFirst.Count(aNow)) +
                 mLimits.mSlack / entries);
  if (static_cast<double>(traffic.mRepeats.Count(aNow)) + 1 > allowed) {
    return false;
  }
  traffic.mRepeats.Add(aNow);
  return true;
}

}
