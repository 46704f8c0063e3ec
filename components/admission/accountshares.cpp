#include "components/admission/accountshares.hpp"

#include <algorithm>
#include <limits>

namespace samphiresail::admission {

namespace {

/// Lead over the virtual time, in items of mean cost, up to which an account counts as
/// within its fair share.
constexpr double kMaxLeadItems = 16.0;
constexpr double kMeanCostSmoothing = 0.02;
/// Idle accounts are erased while there are more accounts than this.
constexpr std::size_t kMaxAccountsBeforeCleanup = 64;

}

void AccountShares::RecordArrival(const ids::ClientAccountId& aAccount,
                                  std::uint32_t aWeight)
{
  Usage& usage = mUsages[aAccount];
  usage.mWeight = std::max<std::uint32_t>(aWeight, 1);
  if (usage.mWaiting++ == 0) {
    usage.mNormalisedCost = std::max(usage.mNormalisedCost, mVirtualTime);
  }
}

void AccountShares::RecordRemoval(const ids::ClientAccountId& aAccount)
{
  Usage& usage = mUsages[aAccount];
  usage.mWaiting -= usage.mWaiting > 0 ? 1 : 0;
  AdvanceVirtualTime();
}

void AccountShares::RecordServed(const ids::ClientAccountId& aAccount, double aCost)
{
  const double weight = mMeanCost == 0.0 ? 1.0 : kMeanCostSmoothing;
  mMeanCost += weight * (aCost - mMeanCost);
  Usage& usage = mUsages[aAccount];
  usage.mNormalisedCost += aCost / usage.mWeight;
  RecordRemoval(aAccount);
}

bool AccountShares::IsWithinFairShare(const ids::ClientAccountId& aAccount) const
{
  const auto it = mUsages.find(aAccount);
  return it == mUsages.end() ||
         it->second.mNormalisedCost <=
           mVirtualTime + kMaxLeadItems * mMeanCost / it->second.mWeight;
}

void AccountShares::AdvanceVirtualTime()
{
  double minWaiting = std::numeric_limits<double>::infinity();
  double maxCost = mVirtualTime;
  for (const auto& [account, usage] : mUsages) {
    maxCost = std::max(maxCost, usage.mNormalisedCost);
    if (usage.mWaiting > 0) {
      minWaiting = std::min(minWaiting, usage.mNormalisedCost);
    }
  }
  // If no account is waiting there is no contention, and none is above its fair share.
  const bool idle = minWaiting == std::numeric_limits<double>::infinity();
  mVirtualTime = std::max(mVirtualTime, idle ? maxCost : minWaiting);
  if (mUsages.size() > kMaxAccountsBeforeCleanup) {
    std::erase_if(mUsages, [&](const auto& aEntry) {
      return aEntry.second.mWaiting == 0 && aEntry.second.mNormalisedCost <= mVirtualTime;
    });
  }
}

}
