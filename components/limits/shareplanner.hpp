#ifndef SAMPHIRESAIL_COMPONENTS_LIMITS_SHAREPLANNER_HPP
#define SAMPHIRESAIL_COMPONENTS_LIMITS_SHAREPLANNER_HPP

#include <functional>
#include <optional>
#include <vector>

#include "components/catalogue/catalogue.hpp"
#include "components/limits/sharerecord.hpp"

namespace samphiresail::limits {

/// Entry that may hold shares.
struct HolderCandidate
{
  ids::ProcessId mName;
  units::Incarnation mIncarnation;
  ids::AvailabilityZoneId mAvailabilityZone;
};

/// Returns the next record if shares have to change: equal shares for one holder per
/// availability zone, which keeps them while it is a candidate. A share that is new or
/// larger, except the first ones of an account, is marked as reclaimed until its version
/// has been accepted for so long that no former holder can use it; aReleasedVersion is
/// the highest such version. An account removed from the catalogue keeps a share without
/// a holder, so that its buckets do not start full again when it returns.
std::optional<ShareRecord> PlanShares(const ShareRecord& aCurrent,
                                      const catalogue::Catalogue& aCatalogue,
                                      const std::vector<HolderCandidate>& aCandidates,
                                      units::Version aReleasedVersion);

/// Returns the next record for a planned stop: the shares that aMayTransfer accepts move
/// from the stopping holder to others, which need not wait for the in-touch limit to
/// pass. Returns nullopt if no share can be moved.
std::optional<ShareRecord> PlanShareTransfer(
  const ShareRecord& aCurrent,
  const HolderCandidate& aStopping,
  const std::vector<HolderCandidate>& aCandidates,
  const std::function<bool(const ids::ClientAccountId&)>& aMayTransfer);

}

#endif
