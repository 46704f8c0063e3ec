#include "components/gateway/quotashares.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace samphiresail::gateway {

namespace {

/// Time constant of the demand's exponential average.
constexpr double kDemandSeconds = 4.0;
/// Part of the burst that a process has when it starts.
constexpr double kFirstLevel = 0.5;

double Seconds(timing::Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

}

double MaxMinShare(double aTotal, double aOwn, std::vector<double> aOthers)
{
  aOthers.push_back(aOwn);
  std::ranges::sort(aOthers);
  double left = aTotal;
  double level = 0.0;
  for (std::size_t i = 0; i < aOthers.size(); ++i) {
    const double equal = left / static_cast<double>(aOthers.size() - i);
    if (aOthers[i] >= equal) {
      return std::min(aOwn, equal);
    }
    left -= aOthers[i];
    level = aOthers[i];
  }
  return std::min(aOwn, level) + left / static_cast<double>(aOthers.size());
}

void QuotaShares::Configure(const ServingConfiguration& aConfiguration,
                            timing::Instant aNow)
{
  std::unordered_map<ids::ClientAccountId, Bucket> buckets;
  for (const ClientAccount& account : aConfiguration.mAccounts) {
    if (account.mTokensPerSecond <= 0) {
      continue;
    }
    const auto known = mBuckets.find(account.mName);
    Bucket bucket = known == mBuckets.end() ? Bucket{} : known->second;
    if (known == mBuckets.end()) {
      bucket.mLast = aNow;
      bucket.mDemandAt = aNow;
    } else {
      Refill(bucket, aNow);
    }
    const double window =
      account.mTokensPerSecond * Seconds(mTolerance.mWindow) + account.mBurstTokens;
    bucket.mRate = account.mTokensPerSecond;
    bucket.mBurst =
      account.mBurstTokens +
      kUsedTolerance * (mTolerance.mOverage * window + mTolerance.mSlackTokens);
    bucket.mLevel = std::min(bucket.mLevel, bucket.mBurst * bucket.mPart);
    buckets.emplace(account.mName, bucket);
  }
  mBuckets = std::move(buckets);
}

void QuotaShares::SetPart(const ids::ClientAccountId& aAccount,
                          const Demands& aPeers,
                          std::size_t aEntries,
                          bool aAllHeard,
                          timing::Instant aNow)
{
  const auto it = mBuckets.find(aAccount);
  if (it == mBuckets.end()) {
    return;
  }
  Bucket& bucket = it->second;
  Refill(bucket, aNow);
  DecayDemand(bucket, aNow);
  const double equal = 1.0 / static_cast<double>(std::max<std::size_t>(aEntries, 1));
  double part = equal;
  if (aAllHeard && bucket.mRate > 0) {
    part = MaxMinShare(bucket.mRate, bucket.mDemand, aPeers) / bucket.mRate;
  }
  if (bucket.mPart == 0.0) {
    // An earlier process of this entry may just have spent the burst.
    bucket.mLevel = kFirstLevel * bucket.mBurst * part;
  }
  bucket.mPart = part;
  bucket.mLevel = std::min(bucket.mLevel, bucket.mBurst * part);
}

QuotaDecision QuotaShares::Take(const ids::ClientAccountId& aAccount,
                                double aTokens,
                                timing::Instant aNow)
{
  const auto it = mBuckets.find(aAccount);
  if (it == mBuckets.end()) {
    return { true, {} };
  }
  Bucket& bucket = it->second;
  Refill(bucket, aNow);
  DecayDemand(bucket, aNow);
  bucket.mDemand += aTokens / kDemandSeconds;
  // A request larger than the part's burst passes when the bucket is full.
  const double needed = std::min(aTokens, bucket.mBurst * bucket.mPart);
  if (bucket.mPart > 0 && bucket.mLevel >= needed) {
    bucket.mLevel -= aTokens;
    return { true, {} };
  }
  const double rate = std::max(bucket.mRate * bucket.mPart, 1.0);
  return { false,
           std::chrono::duration_cast<timing::Duration>(
             std::chrono::duration<double>((needed - bucket.mLevel) / rate)) };
}

void QuotaShares::Return(const ids::ClientAccountId& aAccount, double aTokens)
{
  const auto it = mBuckets.find(aAccount);
  if (it != mBuckets.end()) {
    Bucket& bucket = it->second;
    bucket.mLevel = std::min(bucket.mLevel + aTokens, bucket.mBurst * bucket.mPart);
  }
}

double QuotaShares::Demand(const ids::ClientAccountId& aAccount, timing::Instant aNow)
{
  const auto it = mBuckets.find(aAccount);
  if (it == mBuckets.end()) {
    return 0.0;
  }
  DecayDemand(it->second, aNow);
  return it->second.mDemand;
}

void QuotaShares::Refill(Bucket& aBucket, timing::Instant aNow)
{
  const double seconds = Seconds(aNow - aBucket.mLast);
  aBucket.mLast = aNow;
  aBucket.mLevel = std::min(aBucket.mLevel + seconds * aBucket.mRate * aBucket.mPart,
                            aBucket.mBurst * aBucket.mPart);
}

void QuotaShares::DecayDemand(Bucket& aBucket, timing::Instant aNow)
{
  const double seconds = Seconds(aNow - aBucket.mDemandAt);
  aBucket.mDemandAt = aNow;
  aBucket.mDemand *= std::exp(-seconds / kDemandSeconds);
}

}
