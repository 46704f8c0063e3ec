#include "components/membership/vmpresence.hpp"

namespace samphiresail::membership {

VmPresence::VmPresence(timing::Duration aMaxLag)
  : mMaxLag(aMaxLag)
{
}

void VmPresence::OnVmList(const std::vector<ListedVm>& aList,
                          const std::vector<ids::VmId>& aTracked,
                          timing::Instant aNow)
{
  mLastListAt = aNow;
  mListed.clear();
  for (const ListedVm& vm : aList) {
    mListed[vm.mName] = vm;
    mMissingSince.erase(vm.mName);
  }
  for (const ids::VmId& vm : aTracked) {
    if (!mListed.contains(vm)) {
      mMissingSince.try_emplace(vm, aNow);
    }
  }
}

bool VmPresence::IsGone(const ids::VmId& aVm, timing::Instant aNow) const
{
  const auto it = mMissingSince.find(aVm);
  // Only a recent list shows that the VM is still missing.
  return it != mMissingSince.end() && mLastListAt - it->second >= mMaxLag &&
         aNow - mLastListAt < mMaxLag;
}

bool VmPresence::IsLeaving(const ids::VmId& aVm) const
{
  const auto it = mListed.find(aVm);
  return it != mListed.end() && it->second.mLeaving;
}

}
