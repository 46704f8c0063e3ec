#include "components/gateway/keyrequirement.hpp"

#include <algorithm>
#include <utility>

namespace samphiresail::gateway {

namespace {

/// True if no version was before this one, which holds no accounts.
bool IsFirst(const ConfigurationVersion& aVersion)
{
  return aVersion.mAccounts == AccountsStated::None && aVersion.mRevision != 0 &&
         aVersion.mRevision == aVersion.mCreateRevision;
}

}

void KeyRequirement::OnVersion(const ConfigurationVersion& aVersion)
{
  if (aVersion.mAccounts == AccountsStated::NoConfiguration) {
    return;
  }
  if (std::exchange(mRestored, false)) {
    mNewest = 0;
    mNoAccountsThrough = 0;
    mNoAccountsRecorded = 0;
    mReplayedFor = 0;
  }
  mRequired = mRequired || aVersion.mAccounts == AccountsStated::Some;
  mLast = aVersion;
  mNewest = std::max(mNewest, aVersion.mRevision);
  if (IsFirst(aVersion)) {
    mNoAccountsThrough = std::max(mNoAccountsThrough, aVersion.mRevision);
  }
  if (mNoAccountsRecorded <= mNewest) {
    mNoAccountsThrough = std::max(mNoAccountsThrough, mNoAccountsRecorded);
  }
}

void KeyRequirement::OnStoreRestored()
{
  if (IsOpen()) {
    mNoAccountsThroughNumber = std::max(mNoAccountsThroughNumber, mLast.mNumber);
  }
  mRestored = true;
}

void KeyRequirement::OnRead(StoreRevision aRevision)
{
  if (aRevision < std::max(mNewest, mNoAccountsThrough)) {
    // The store was set back and gives the revisions since then to other versions.
    mNewest = mLast.mRevision;
    mNoAccountsThrough =
      std::max(mNoAccountsRecorded <= mNewest ? mNoAccountsRecorded : 0,
               IsFirst(mLast) ? mLast.mRevision : 0);
  }
  const bool isKnown = mLast.mNumber != 0 && mLast.mNumber <= mNoAccountsThroughNumber;
  if (IsOpen() || isKnown) {
    mNoAccountsThrough = std::max(mNoAccountsThrough, aRevision);
  }
}

void KeyRequirement::OnHistory(StoreRevision aAfter, StoreRevision aThrough)
{
  if (mNoAccountsThrough >= aAfter && mNoAccountsThrough != 0) {
    mNoAccountsThrough = std::max(mNoAccountsThrough, aThrough);
  }
}

void KeyRequirement::SetAccountsRecorded(bool aRecorded)
{
  mAccountsRecorded = aRecorded;
  mRequired = mRequired || aRecorded;
}

void KeyRequirement::SetNoAccountsRecorded(std::optional<StoreRevision> aThrough)
{
  mNoAccountsRecorded = aThrough.value_or(0);
  // The record states the revision of a version; a later one than is known is false, or
  // its version is yet to be reported.
  if (mNoAccountsRecorded <= mNewest) {
    mNoAccountsThrough = std::max(mNoAccountsThrough, mNoAccountsRecorded);
  }
}

std::optional<StoreRevision> KeyRequirement::LacksNoAccountsRecord() const
{
  return IsOpen() && mNoAccountsRecorded < mNewest ? std::optional(mNewest)
                                                   : std::nullopt;
}

std::optional<StoreRevision> KeyRequirement::TakeReplayStart()
{
  if (mRequired || mNewest == 0 || IsOpen() || mReplayedFor == mNewest) {
    return std::nullopt;
  }
  mReplayedFor = mNewest;
  return mNoAccountsThrough != 0 ? mNoAccountsThrough
                                 : std::max<StoreRevision>(mLast.mCreateRevision - 1, 0);
}

}
