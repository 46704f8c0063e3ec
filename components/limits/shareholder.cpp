#include "components/limits/shareholder.hpp"

#include <algorithm>
#include <utility>

namespace samphiresail::limits {

ShareHolder::ShareHolder(ids::ProcessId aSelf,
                         units::Incarnation aIncarnation,
                         ShareTimes aTimes)
  : mSelf(std::move(aSelf))
  , mIncarnation(aIncarnation)
  , mTimes(aTimes)
{
}

void ShareHolder::Adopt(const ShareRecord& aRecord,
                        units::Version aAccepted,
                        const catalogue::Catalogue& aCatalogue,
                        timing::Instant aNow)
{
  std::map<ids::ClientAccountId, HeldShare> kept;
  for (const LimitShare& share : aRecord.mShares) {
    const auto account = std::ranges::find(
      aCatalogue.mClientAccounts, share.mAccount, &catalogue::ClientAccount::mName);
    const bool isOwn = share.mHolder == mSelf && share.mIncarnation == mIncarnation;
    if (isOwn && account != aCatalogue.mClientAccounts.end()) {
      AdoptShare(share, *account, aNow);
      kept.insert(mHeld.extract(share.mAccount));
    }
  }
  mHeld = std::move(kept);
  Tick(aAccepted, aNow);
}

void ShareHolder::AdoptShare(const LimitShare& aShare,
                             const catalogue::ClientAccount& aAccount,
                             timing::Instant aNow)
{
#ifndef SAMPHIRESAIL_MUTANT_SHARE_SINCE
  // Other versions mean that this entry missed a record and that another holder may have
  // had the share in between: start empty.
  const auto previous = mHeld.find(aShare.mAccount);
  if (previous != mHeld.end() && previous->second.mSince != aShare.mSince &&
      previous->second.mSince != aShare.mKeptSince) {
    mHeld.erase(previous);
  }
#endif
  const auto [it, isNew] = mHeld.try_emplace(aShare.mAccount, aNow, mTimes.mGrantLife);
  HeldShare& held = it->second;
  held.mRate = aAccount.mRate;
  held.mBurst = aAccount.mBurst;
  held.mSince = aShare.mSince;
  if (isNew && aShare.mStartsFull) {
    held.mMillionths = aShare.mMillionths;
    ApplyLimits(held, aNow);
    held.mBucket.Fill();
    return;
  }
  if (aShare.mMillionths <= held.mMillionths) {
    held.mMillionths = aShare.mMillionths;
    held.mPending.reset();
  } else if (held.mPending && held.mPending->mSince == aShare.mSince) {
    held.mPending->mMillionths = aShare.mMillionths;
  } else {
    if (aShare.mKeptMillionths < held.mMillionths) {
      held.mMillionths = aShare.mKeptMillionths;
    }
    // An increase by a released share does not shorten the delay of a pending increase by
    // a reclaimed one.
    const bool reclaimed =
      aShare.mReclaimed || (held.mPending && held.mPending->mReclaimed);
    held.mPending =
      PendingShare{ aShare.mSince, aShare.mMillionths, reclaimed, std::nullopt };
  }
  ApplyLimits(held, aNow);
}

void ShareHolder::Tick(units::Version aAccepted, timing::Instant aNow)
{
  for (auto& [account, held] : mHeld) {
    if (!held.mPending) {
      continue;
    }
    StartWaitingPeriod(*held.mPending, aAccepted, aNow);
    if (held.mPending->mUsableAt && *held.mPending->mUsableAt <= aNow) {
      held.mMillionths = held.mPending->mMillionths;
      held.mPending.reset();
      ApplyLimits(held, aNow);
    }
  }
}

void ShareHolder::StartWaitingPeriod(PendingShare& aPending,
                                     units::Version aAccepted,
                                     timing::Instant aNow) const
{
  if (aPending.mUsableAt) {
    return;
  }
  if (!aPending.mReclaimed) {
    aPending.mUsableAt = aNow + mTimes.mGrantLife;
    return;
  }
#ifndef SAMPHIRESAIL_MUTANT_RECLAIM_WAIT
  if (aPending.mSince <= aAccepted) {
    aPending.mUsableAt = aNow + mTimes.mInTouch + mTimes.mGrantLife;
  }
#else
  aPending.mUsableAt = aNow;
#endif
}

void ShareHolder::ApplyLimits(HeldShare& aHeld, timing::Instant aNow)
{
  constexpr std::int64_t kMillion = 1000000;
  const double share = static_cast<double>(aHeld.mMillionths) / kMillion;
  aHeld.mBucket.SetLimits(
    units::TokensPerSecond(aHeld.mRate.Count() * share),
    units::Tokens(aHeld.mBurst.Count() * aHeld.mMillionths / kMillion),
    aNow);
}

void ShareHolder::Stop()
{
  mStopped = true;
}

units::Tokens ShareHolder::Grant(const ids::ClientAccountId& aAccount,
                                 const GrantKey& aKey,
                                 units::Tokens aWanted,
                                 timing::Instant aNow)
{
  const auto it = mHeld.find(aAccount);
  if (mStopped || it == mHeld.end()) {
    return units::Tokens(0);
  }
  return it->second.mBucket.Grant(aKey, aWanted, aNow);
}

void ShareHolder::Report(const ids::ClientAccountId& aAccount,
                         const GrantKey& aKey,
                         units::Tokens aSpent,
                         bool aClosed,
                         timing::Instant aNow)
{
  const auto it = mHeld.find(aAccount);
  if (it != mHeld.end()) {
    it->second.mBucket.Report(aKey, aSpent, aClosed, aNow);
  }
}

units::Tokens ShareHolder::Refund(const ids::ClientAccountId& aAccount,
                                  const GrantKey& aKey,
                                  units::Tokens aSpent,
                                  units::Tokens aTokens,
                                  timing::Instant aNow)
{
  const auto it = mHeld.find(aAccount);
  if (it == mHeld.end()) {
    return units::Tokens(0);
  }
  return it->second.mBucket.Refund(aKey, aSpent, aTokens, aNow);
}

bool ShareHolder::AwaitsAcceptance(units::Version aAccepted) const
{
  return std::ranges::any_of(mHeld, [&](const auto& aItem) {
    const auto& pending = aItem.second.mPending;
    return pending && pending->mReclaimed && aAccepted < pending->mSince;
  });
}

bool ShareHolder::IsFullyUsable(const ids::ClientAccountId& aAccount) const
{
  const auto it = mHeld.find(aAccount);
  return it != mHeld.end() && !it->second.mPending;
}

}
