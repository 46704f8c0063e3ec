#include "apps/samphiresail/agent/endpointgate.hpp"

#include <algorithm>

namespace samphiresail::agent {

namespace {

constexpr std::chrono::milliseconds kHealthInterval{ 100 };
/// Age above which a health answer no longer shows that the back end is ready.
constexpr std::chrono::milliseconds kHealthLife{ 1000 };
/// Time after which a health query without an answer is asked again.
constexpr std::chrono::milliseconds kHealthTimeout{ 3000 };

}

EndpointGate::EndpointGate(timing::Instant aStart)
  : mLastRestart(aStart)
{
}

void EndpointGate::Configure(const catalogue::EndpointPool& aPool)
{
  mPool = aPool;
}

void EndpointGate::OnHealth(const HealthAnswer& aAnswer, timing::Instant aNow)
{
  mQueryPending = false;
  switch (aAnswer.mState) {
    case BackendState::Ready:
      if (mDown) {
        mLastRestart = aNow;
      } else if (mReportedCold) {
        // The back end itself says that its cold start is over.
        mLastRestart = timing::Instant();
      }
      mDown = false;
      mReportedCold = false;
      mReadyAskedAt = std::max(mReadyAskedAt, aAnswer.mAskedAt);
      break;
    case BackendState::Cold:
      mDown = false;
      mReportedCold = true;
      mLastRestart = aNow;
      break;
    case BackendState::Unreachable:
      OnUnreachable(aNow);
      break;
    case BackendState::Silent:
      break;
  }
}

void EndpointGate::OnBroken(timing::Instant aNow)
{
#ifndef SAMPHIRESAIL_MUTANT_COLD_AFTER_BREAK
  mLastRestart = aNow;
#endif
}

void EndpointGate::OnUnreachable(timing::Instant aNow)
{
  mDown = true;
  mReportedCold = false;
  mLastRestart = aNow;
}

bool EndpointGate::TakeHealthQuery(timing::Instant aNow)
{
  const auto wait = mQueryPending ? kHealthTimeout : kHealthInterval;
  if (aNow - mQueriedAt < wait) {
    return false;
  }
  mQueriedAt = aNow;
  mQueryPending = true;
  return true;
}

bool EndpointGate::IsCold(timing::Instant aNow) const
{
  if (!HasColdStart()) {
    return false;
  }
#ifndef SAMPHIRESAIL_MUTANT_COLD_HEALTH_AGE
  if (aNow - mReadyAskedAt > kHealthLife) {
    return true;
  }
#endif
  return mReportedCold || aNow - mLastRestart < mPool->mColdDuration;
}

std::uint32_t EndpointGate::InFlightLimit(timing::Instant aNow) const
{
  if (!mPool || mDown) {
    return 0;
  }
#ifndef SAMPHIRESAIL_MUTANT_COLD_LIMIT
  if (IsCold(aNow)) {
    return std::min(mPool->mColdInFlight, mPool->mInFlight);
  }
#endif
  return mPool->mInFlight;
}

std::uint32_t EndpointGate::QueueLimit(timing::Instant aNow) const
{
  if (!mPool) {
    return 0;
  }
  return IsCold(aNow) ? std::min(mPool->mColdInFlight, mPool->mQueue) : mPool->mQueue;
}

bool EndpointGate::HasColdStart() const
{
  return mPool && mPool->mColdDuration > std::chrono::milliseconds::zero();
}

}
