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
/// availability zone, who keeps them while it lives. A share that is new or larger is
/// marked as reclaimed until its version has been accepted for so long that no former
/// holder can use it, which aSettled states. Accounts that left the catalogue keep a row
/// without a holder, so that a bucket starts full once only.
std::optional<ShareRecord> PlanShares(const ShareRecord& aCurrent,
                                      const catalogue::Catalogue& aCatalogue,
                                      const std::vector<HolderCandidate>& aCandidates,
                                      units::Version aSettled);

/// Returns the next record for a planned stop: the shares that aMayGive accepts move from
/// the leaving holder to others, who need not wait for its evidence to age. Returns
/// nothing if there is nothing to give or nobody to take it.
std::optional<ShareRecord> PlanShareTransfer(
  const ShareRecord& aCurrent,
  const HolderCandidate& aLeaving,
  const std::vector<HolderCandidate>& aCandidates,
  const std::function<bool(const ids::ClientAccountId&)>& aMayGive);

}

#endif
