#include "components/gateway/leadership.hpp"

#include <algorithm>

namespace samphiresail::gateway {

bool Leadership::IsOwn(const LeaderRecord& aRecord) const
{
  return aRecord.mPresent && mLease && aRecord.mLease == *mLease &&
         aRecord.mClaim == OwnClaim();
}

bool Leadership::IsAbandoned(const LeaderRecord& aRecord) const
{
  const LeaderClaim& claim = aRecord.mClaim;
  const bool isOfThisProcess =
    claim.mProcess == mProcess && claim.mIncarnation == mIncarnation;
  // An entry that states no incarnation states no generation either.
  const bool isOfOtherGeneration =
    claim.mIncarnation != 0 && claim.mGeneration < mGeneration;
  return isOfOtherGeneration || (isOfThisProcess && !IsOwn(aRecord));
}

void Leadership::OnLeaderRecord(const LeaderRecord& aRecord)
{
  const bool own = IsOwn(aRecord);
  const std::int64_t token = FencingToken(mGeneration, aRecord.mRevision);
  mLeaderPresent = aRecord.mPresent && !IsAbandoned(aRecord);
  mReplacedRevision = aRecord.mPresent && !mLeaderPresent ? aRecord.mRevision : 0;
  mSawOtherLeader = mSawOtherLeader || (aRecord.mPresent && !own);
  mUnclaimed = own && !mToken ? std::optional(aRecord.mRevision) : std::nullopt;
  if (aRecord.mPresent && !own) {
    mHighestForeignToken = std::max(mHighestForeignToken, token);
  }
  if (!own && mToken && (!aRecord.mPresent || token > *mToken)) {
    mToken.reset();
  }
}

void Leadership::OnMemberRecord(std::int64_t aLease, timing::Instant aNow)
{
  if (aLease == mLease) {
    mMemberRecordWritten = true;
  } else if (std::exchange(mMemberRecordWritten, false)) {
    mMemberWriteFrom = aLease == 0 ? aNow : aNow + kMemberRewriteDelay;
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
  if (aNow - mLeaseRenewedAt >= std::min(kKeepAliveInterval, ShareOfLease())) {
    return Step::KeepLease;
  }
  if (!mMemberRecordWritten && aNow >= mMemberWriteFrom) {
    return Step::WriteMember;
  }
  if (mVacantSince && aNow >= std::max(mLeadFrom, *mVacantSince + mTakeoverDelay) &&
      IsLeaseCertainlyValid(aNow)) {
    return Step::CreateLeader;
  }
  return Step::None;
}

void Leadership::OnLeaseGranted(std::int64_t aLease,
                                std::chrono::milliseconds aTimeToLive,
                                timing::Instant aSent,
                                timing::Instant aNow)
{
  if (aLease <= 0) {
    OnStepFailed(aNow);
    return;
  }
  mLease = aLease;
  mTimeToLive =
    aTimeToLive.count() > 0 ? std::min(aTimeToLive, kLeaseTimeToLive) : kLeaseTimeToLive;
  mLeaseRenewedAt = aSent;
  mMemberRecordWritten = false;
  mMemberWriteFrom = timing::Instant{};
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
  mUnclaimed.reset();
  const std::int64_t token = FencingToken(mGeneration, aRevision);
  if (token <= mHighestForeignToken || token < mHighestOwnToken) {
    // Only a store that was restored and states no generation gives a revision out again.
    mLeaderPresent = false;
    mReplacedRevision = aRevision;
    mLeadFrom = aNow + mRejectedBackoff;
    mRejectedBackoff = std::min(2 * mRejectedBackoff, kMaxRejectedBackoff);
    return;
  }
  mRejectedBackoff = kRetryBackoff;
  mToken = token;
  mHighestOwnToken = token;
  mLeaderPresent = true;
  mReplacedRevision = 0;
  mOrdersAllowedFrom = mFirstStart && !mSawOtherLeader ? aNow : aNow + mOrderGracePeriod;
}

void Leadership::OnStoreRestored(store::StoreGeneration aGeneration,
                                 timing::Duration aDelay,
                                 timing::Instant aNow)
{
  OnLeaseLost();
  mGeneration = aGeneration;
  // Whether there is a leader shows the next complete read of the store.
  mLeaderPresent = true;
  mReplacedRevision = 0;
  mVacantSince.reset();
  mSawOtherLeader = true;
  mNextStepAt = aNow + aDelay;
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
  return mLease && aNow < mLeaseRenewedAt + mTimeToLive -
                            std::min(kLeaseSafetyMargin, ShareOfLease());
}

}
