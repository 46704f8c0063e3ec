#ifndef SAMPHIRESAIL_COMPONENTS_PLACEMENT_DEMANDPLANNER_HPP
#define SAMPHIRESAIL_COMPONENTS_PLACEMENT_DEMANDPLANNER_HPP

#include "components/placement/keeperplanner.hpp"
#include "components/placement/planner.hpp"
#include "components/placement/replicaplanner.hpp"

namespace samphiresail::placement {

/// Plans keepers for reachability and further copies by demand.
class DemandPlanner
{
public:
  explicit DemandPlanner(ReplicaPlannerOptions aLimits = {})
    : mCopies(aLimits)
  {
  }

  PlacementPlan Plan(const PlacementView& aView, timing::Instant aNow);

private:
  KeeperPlanner mKeepers;
  ReplicaPlanner mCopies;
};

static_assert(Planner<DemandPlanner>);

}

#endif
