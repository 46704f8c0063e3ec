#ifndef SAMPHIRESAIL_COMPONENTS_PLACEMENT_KEEPERPLANNER_HPP
#define SAMPHIRESAIL_COMPONENTS_PLACEMENT_KEEPERPLANNER_HPP

#include <map>
#include <vector>

#include "components/placement/keepermemory.hpp"
#include "components/placement/placementview.hpp"
#include "components/timing/clock.hpp"

namespace samphiresail::placement {

/// Keeper table, and the models for which no serving keeper could be assigned.
struct KeeperAssignment
{
  KeeperTable mKeepers;
  std::vector<ids::ModelId> mUnplaced;
};

/// Assigns keepers to models: every model gets a first keeper before any model gets a
/// second, in different availability zones where memory allows. Keepers that serve are
/// not moved. A keeper that is leaving stays in the table until enough others hold the
/// model. A keeper whose agent is missing is replaced after a grace period, or at once if
/// the model has no serving keeper. A keeper is known to hold the model only if its
/// report was requested after the endpoint was first read from the store as a keeper:
/// before that, its agent may have decided to evict the model.
class KeeperPlanner
{
public:
  KeeperAssignment Choose(const PlacementView& aView, timing::Instant aNow);

private:
  void UpdateAbsences(const PlacementView& aView, timing::Instant aNow);
  void UpdateKeeperTimes(const PlacementView& aView, timing::Instant aNow);
  bool IsBrieflyAbsent(const ids::EndpointId& aEndpoint, timing::Instant aNow) const;

  /// When the agent of a keeper was first found missing.
  std::map<ids::EndpointId, timing::Instant> mAbsentSince;
  /// When the endpoint was first read from the store as a keeper of the model.
  std::map<ids::ModelId, std::map<ids::EndpointId, timing::Instant>> mKeeperTimes;
};

}

#endif
