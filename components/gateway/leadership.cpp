#include "components/gateway/leadership.hpp"

namespace samphiresail::gateway {

void Leadership::OnLeaderRecord(bool aPresent,
                                std::int64_t aLease,
                                std::int64_t aCreateRevision)
{
  mLeaderPresent = aPresent;
  const bool own = aPresent && mLease && aLease == *mLease;
  mSeenOther = mSeenOther || (aPresent && !own);
  if (!own && mToken && (!aPresent || aCreateRevision > *mToken)) {
    mToken.reset();
  }
}

Leadership::Step Leadership::Next(timing::Instant aNow)
{
  if (mLeaderPresent || mToken) {
    mVacantSince.reset();
  } else if (!mVacantSince) {
    mVacantSince = aNow;
  }
  if (aNow < mNotBefore) {
    return Step::None;
  }
  if (!mLease) {
    return Step::GrantLease;
  }
  if (aNow - mKeptAt >= kKeepAliveInterval) {
    return Step::KeepLease;
  }
  if (!mMemberWritten) {
    return Step::WriteMember;
  }
  if (mVacantSince && aNow >= *mVacantSince + mYield && LeaseSurelyRuns(aNow)) {
    return Step::CreateLeader;
  }
  return Step::None;
}

void Leadership::OnLeaseGranted(std::int64_t aLease,
                                std::chrono::milliseconds aTimeToLive,
                                timing::Instant aSent)
{
  mLease = aLease;
  mTimeToLive = aTimeToLive;
  mKeptAt = aSent;
  mMemberWritten = false;
  mToken.reset();
}

void Leadership::OnLeaseKept(timing::Instant aSent)
{
  mKeptAt = aSent;
}

void Leadership::OnLeaseLost()
{
  mLease.reset();
  mToken.reset();
}

void Leadership::OnLeaderCreated(std::int64_t aRevision, timing::Instant aNow)
{
  mToken = aRevision;
  mLeaderPresent = true;
  mOrdersFrom = mFirstStart && !mSeenOther ? aNow : aNow + mQuietTime;
}

void Leadership::OnFenced(timing::Instant aNow)
{
  mToken.reset();
  mLease.reset();
  mNotBefore = aNow + kRetryBackoff;
}

std::optional<std::int64_t> Leadership::Token(timing::Instant aNow) const
{
  return mToken && aNow >= mOrdersFrom && LeaseSurelyRuns(aNow) ? mToken : std::nullopt;
}

bool Leadership::LeaseSurelyRuns(timing::Instant aNow) const
{
  return mLease && aNow < mKeptAt + mTimeToLive - kLeaseSafetyMargin;
}

}
