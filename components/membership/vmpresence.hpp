#ifndef SAMPHIRESAIL_COMPONENTS_MEMBERSHIP_VMPRESENCE_HPP
#define SAMPHIRESAIL_COMPONENTS_MEMBERSHIP_VMPRESENCE_HPP

#include <map>
#include <vector>

#include "components/ids/ids.hpp"
#include "components/timing/clock.hpp"

namespace samphiresail::membership {

/// VM as listed by the platform.
struct ListedVm
{
  ids::VmId mName;
  bool mLeaving{ false };
};

/// Detects VMs that no longer exist by the platform's list, which is updated with a lag.
/// A missing VM may be new and not listed yet, so it counts as gone only after it was
/// missing from every list for the maximum lag.
class VmPresence
{
public:
  explicit VmPresence(timing::Duration aMaxLag);

  /// Replaces the list. aTracked are the VMs whose absence from it is recorded.
  void OnVmList(const std::vector<ListedVm>& aList,
                const std::vector<ids::VmId>& aTracked,
                timing::Instant aNow);

  /// Returns true if the VM has been missing for the maximum lag according to a recent
  /// list.
  bool IsGone(const ids::VmId& aVm, timing::Instant aNow) const;

  /// Returns true if the VM is listed as leaving.
  bool IsLeaving(const ids::VmId& aVm) const;

private:
  timing::Duration mMaxLag;
  timing::Instant mLastListAt;
  std::map<ids::VmId, ListedVm> mListed;
  std::map<ids::VmId, timing::Instant> mMissingSince;
};

}

#endif
