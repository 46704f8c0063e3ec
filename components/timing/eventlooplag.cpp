#include "components/timing/eventlooplag.hpp"

#include <algorithm>

namespace samphiresail::timing {

void EventLoopLag::OnTick(Instant aNow)
{
  if (!mDue) {
    return;
  }
  mBeforeLast = mLast;
  mLast = std::max(aNow - *mDue, Duration(0));
  mDue.reset();
  while (!mLate.empty() && mLate.front().mAt + kMemory <= aNow) {
    mLate.pop_front();
  }
  if (mLast > mTolerance) {
    mLate.push_back({ aNow, mLast });
  }
}

Duration EventLoopLag::Lag(Instant aNow) const
{
  const Duration overdue = mDue ? aNow - *mDue : Duration(0);
  Duration lag = overdue > mTolerance ? overdue : Duration(0);
  for (const LateTick& tick : mLate) {
    if (aNow < tick.mAt + kMemory) {
      lag = std::max(lag, tick.mDelay);
    }
  }
  return lag;
}

Duration EventLoopLag::UnreadTime(std::optional<Duration> aSinceLastBytes,
                                  Instant aNow) const
{
  if (!IsBehind(aNow)) {
    return Duration(0);
  }
  // The smaller delay of two ticks, since a request may have arrived late in a long turn.
  return aSinceLastBytes ? *aSinceLastBytes : std::min(mLast, mBeforeLast);
}

}
