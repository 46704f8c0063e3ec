#include "components/limits/bytebudget.hpp"

#include <algorithm>

namespace samphiresail::limits {

ByteBudget::Share::Share(ByteBudget& aBudget)
  : mBudget(aBudget)
{
}

ByteBudget::Share::~Share()
{
  Release();
}

ByteBudget::Outcome ByteBudget::Share::Grow(std::size_t aBytes)
{
  const bool fits = mBudget.mUsed + aBytes <= mBudget.mLimit;
  if (!fits && mSize + aBytes > kSmallShare) {
    return mBudget.IsLargest(*this) ? Outcome::Denied : Outcome::Wait;
  }
  mSize += aBytes;
  mBudget.mUsed += aBytes;
  if (mSize > kSmallShare) {
    mBudget.mLargeShares.insert(this);
  }
  return Outcome::Granted;
}

void ByteBudget::Share::Release()
{
  mBudget.mUsed -= mSize;
  mSize = 0;
  mBudget.mLargeShares.erase(this);
}

bool ByteBudget::TryTake(std::size_t aBytes, std::size_t aAlways)
{
  if (aBytes > aAlways && mUsed + aBytes > mLimit) {
    return false;
  }
  mUsed += aBytes;
  return true;
}

bool ByteBudget::IsLargest(const Share& aShare) const
{
  return std::ranges::all_of(
    mLargeShares, [&](const Share* aOther) { return aOther->Size() <= aShare.Size(); });
}

}
