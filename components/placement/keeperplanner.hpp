#ifndef SAMPHIRESAIL_COMPONENTS_PLACEMENT_KEEPERPLANNER_HPP
#define SAMPHIRESAIL_COMPONENTS_PLACEMENT_KEEPERPLANNER_HPP

#include <map>
#include <vector>

#include "components/placement/keepermemory.hpp"
#include "components/placement/placementview.hpp"
#include "components/timing/clock.hpp"

namespace samphiresail::placement {

/// Keeper table with the models that found no place in it.
struct KeeperAssignment
{
  KeeperTable mKeepers;
  std::vector<ids::ModelId> mUnplaced;
};

/// Chooses keepers: each model gets one before any gets a second, in different
/// availability zones where there is room. Keepers that serve stay where they are. One
/// that leaves stays in the table until enough others hold the model; one whose agent is
/// missing is replaced after a grace period, at once if it was the last. A keeper counts
/// as a holder only by a report that was asked for after the store had it as a keeper:
/// before that its agent may have decided to evict the model.
class KeeperPlanner
{
public:
  KeeperAssignment Choose(const PlacementView& aView, timing::Instant aNow);

private:
  void NoteAbsence(const PlacementView& aView, timing::Instant aNow);
  void NoteKept(const PlacementView& aView, timing::Instant aNow);
  bool IsAbsentBriefly(const ids::EndpointId& aEndpoint, timing::Instant aNow) const;

  /// When the agent of a keeper was first missing.
  std::map<ids::EndpointId, timing::Instant> mAbsentSince;
  /// When the store was first seen to have the endpoint as a keeper.
  std::map<ids::ModelId, std::map<ids::EndpointId, timing::Instant>> mKeptSince;
};

}

#endif
