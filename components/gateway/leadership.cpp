#include "components/gateway/leadership.hpp"

namespace samphiresail::gateway {

void Leadership::OnLeaderRecord(bool aPresent,
                                std::int64_t aLease,
                                std::int64_t aCreateRevision)
{
  mLeaderPresent = aPresent;
  const bool own = aPresent && mLease && aLease == *mLease;
  mSawOtherLeader = mSawOtherLeader || (aPresent && !own);
  mUnclaimed = own && !mToken ? std::optional(aCreateRevision) : std::nullopt;
  if (!own && mToken && (!aPresent || aCreateRevision > *mToken)) {
    mToken.reset();
  }
}

Leadership::Step Leadership::Next(timing::Instant aNow)
{
  if (mUnclaimed) {
    OnLeaderCreated(*mUnclaimed, aNow);
  }
  if (mLeaderPresent || mToken) {
    mVacantSince.reset();
  } else if (!mVacantSince) {
    mVacantSince = aNow;
  }
  if (aNow < mNextStepAt) {
    return Step::None;
  }
  if (!mLease) {
    return Step::GrantLease;
  }
  if (aNow - mLeaseRenewedAt >= kKeepAliveInterval) {
    return Step::KeepLease;
  }
  if (!mMemberRecordWritten) {
    return Step::WriteMember;
  }
  if (mVacantSince && aNow >= *mVacantSince + mTakeoverDelay &&
      IsLeaseCertainlyValid(aNow)) {
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
  mLeaseRenewedAt = aSent;
  mMemberRecordWritten = false;
  mUnclaimed.reset();
  mToken.reset();
}

void Leadership::OnLeaseKept(timing::Instant aSent)
{
  mLeaseRenewedAt = aSent;
}

void Leadership::OnLeaseLost()
{
  mUnclaimed.reset();
  mLease.reset();
  mToken.reset();
}

void Leadership::OnLeaderCreated(std::int64_t aRevision, timing::Instant aNow)
{
  mToken = aRevision;
  mUnclaimed.reset();
  mLeaderPresent = true;
  mOrdersAllowedFrom = mFirstStart && !mSawOtherLeader ? aNow : aNow + mOrderGracePeriod;
}

void Leadership::OnFenced(timing::Instant aNow)
{
  mUnclaimed.reset();
  mToken.reset();
  mLease.reset();
  mNextStepAt = aNow + kRetryBackoff;
}

std::optional<std::int64_t> Leadership::Token(timing::Instant aNow) const
{
  return mToken && aNow >= mOrdersAllowedFrom && IsLeaseCertainlyValid(aNow)
           ? mToken
           : std::nullopt;
}

bool Leadership::IsLeaseCertainlyValid(timing::Instant aNow) const
{
  return mLease && aNow < mLeaseRenewedAt + mTimeToLive - kLeaseSafetyMargin;
}

}
