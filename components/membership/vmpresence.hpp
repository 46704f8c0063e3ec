#ifndef SAMPHIRESAIL_COMPONENTS_MEMBERSHIP_VMPRESENCE_HPP
#define SAMPHIRESAIL_COMPONENTS_MEMBERSHIP_VMPRESENCE_HPP

#include <map>
#include <vector>

#include "components/ids/ids.hpp"
#include "components/timing/clock.hpp"

namespace samphiresail::membership {

/// VM in the platform's list.
struct ListedVm
{
  ids::VmId mName;
  bool mLeaving{ false };
};

/// Decides from the platform's lagging list which VMs are gone. A VM that is missing may
/// be new and not yet listed, so it counts as gone only after it was missing from every
/// list for the lag limit.
class VmPresence
{
public:
  explicit VmPresence(timing::Duration aLag);

  /// Notes a list of the platform; aTracked are the VMs to be judged.
  void OnVmList(const std::vector<ListedVm>& aList,
                const std::vector<ids::VmId>& aTracked,
                timing::Instant aNow);

  /// Returns true if the VM has been missing for the lag limit.
  bool IsGone(const ids::VmId& aVm, timing::Instant aNow) const;

  /// Returns true if the list says that the VM leaves.
  bool IsLeaving(const ids::VmId& aVm) const;

private:
  timing::Duration mLag;
  timing::Instant mLastList;
  std::map<ids::VmId, ListedVm> mListed;
  std::map<ids::VmId, timing::Instant> mMissingSince;
};

}

#endif
