#include "components/admission/accountshares.hpp"

#include <algorithm>
#include <limits>

namespace samphiresail::admission {

namespace {

/// Lead over the virtual time, in items of mean cost, up to which an account counts as
/// within its share.
constexpr double kSlackItems = 16.0;
constexpr double kMeanWeight = 0.02;
/// Idle accounts are forgotten once more than this are known.
constexpr std::size_t kAccountsKept = 64;

}

void AccountShares::Arrived(const ids::ClientAccountId& aAccount, std::uint32_t aWeight)
{
  Use& use = mUses[aAccount];
  use.mWeight = std::max<std::uint32_t>(aWeight, 1);
  if (use.mWaiting++ == 0) {
    use.mTime = std::max(use.mTime, mVirtualTime);
  }
}

void AccountShares::Left(const ids::ClientAccountId& aAccount)
{
  Use& use = mUses[aAccount];
  use.mWaiting -= use.mWaiting > 0 ? 1 : 0;
  AdvanceVirtualTime();
}

void AccountShares::Served(const ids::ClientAccountId& aAccount, double aCost)
{
  const double weight = mMeanCost == 0.0 ? 1.0 : kMeanWeight;
  mMeanCost += weight * (aCost - mMeanCost);
  Use& use = mUses[aAccount];
  use.mTime += aCost / use.mWeight;
  Left(aAccount);
}

bool AccountShares::InShare(const ids::ClientAccountId& aAccount) const
{
  const auto it = mUses.find(aAccount);
  return it == mUses.end() ||
         it->second.mTime <= mVirtualTime + kSlackItems * mMeanCost / it->second.mWeight;
}

void AccountShares::AdvanceVirtualTime()
{
  double least = std::numeric_limits<double>::infinity();
  double most = mVirtualTime;
  for (const auto& [account, use] : mUses) {
    most = std::max(most, use.mTime);
    if (use.mWaiting > 0) {
      least = std::min(least, use.mTime);
    }
  }
  // With nobody waiting there is no contention, and nobody is ahead of anybody.
  const bool idle = least == std::numeric_limits<double>::infinity();
  mVirtualTime = std::max(mVirtualTime, idle ? most : least);
  if (mUses.size() > kAccountsKept) {
    std::erase_if(mUses, [&](const auto& aEntry) {
      return aEntry.second.mWaiting == 0 && aEntry.second.mTime <= mVirtualTime;
    });
  }
}

}
