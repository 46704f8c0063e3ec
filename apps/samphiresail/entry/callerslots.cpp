#include "apps/samphiresail/entry/callerslots.hpp"

#include <utility>

namespace samphiresail::entry {

namespace {

/// Part of the slots that is kept for accounts with less than an even part.
constexpr std::size_t kReservedPart = 4;

}

CallerSlots::CallerSlots(std::size_t aSlots)
  : mSlots(aSlots)
{
}

bool CallerSlots::TryEnter(const ids::ClientAccountId& aAccount)
{
  const std::lock_guard lock(mMutex);
  const auto it = mByAccount.find(aAccount);
  const std::size_t held = it == mByAccount.end() ? 0 : it->second;
  const std::size_t others = mByAccount.size() - (held > 0 ? 1 : 0);
  const bool isScarce = mTaken + mSlots / kReservedPart >= mSlots;
  // The part is worked out as if one more account were there, which leaves it room.
  const std::size_t evenPart = mSlots / (others + 2);
#ifndef SAMPHIRESAIL_MUTANT_CALLER_SLOTS
  if (isScarce && held >= evenPart) {
    return false;
  }
#endif
  ++mByAccount[aAccount];
  ++mTaken;
  return true;
}

void CallerSlots::Leave(const ids::ClientAccountId& aAccount)
{
  const std::lock_guard lock(mMutex);
  const auto it = mByAccount.find(aAccount);
  --mTaken;
  if (--it->second == 0) {
    mByAccount.erase(it);
  }
}

std::size_t CallerSlots::Taken() const
{
  const std::lock_guard lock(mMutex);
  return mTaken;
}

CallerSlot::CallerSlot(CallerSlots& aSlots, ids::ClientAccountId aAccount)
  : mSlots(aSlots)
  , mAccount(std::move(aAccount))
  , mIsTaken(mSlots.TryEnter(mAccount))
{
}

CallerSlot::~CallerSlot()
{
  if (mIsTaken) {
    mSlots.Leave(mAccount);
  }
}

}
