#ifndef SAMPHIRESAIL_COMPONENTS_PLACEMENT_DEMANDPLANNER_HPP
#define SAMPHIRESAIL_COMPONENTS_PLACEMENT_DEMANDPLANNER_HPP

#include "components/placement/keeperplanner.hpp"
#include "components/placement/planner.hpp"
#include "components/placement/replicaplanner.hpp"

namespace samphiresail::placement {

/// Assigns keepers so that every model stays reachable, and adds replicas according to
/// demand.
class DemandPlanner
{
public:
  explicit DemandPlanner(ReplicaPlannerOptions aOptions = {})
    : mReplicas(aOptions)
  {
  }

  PlacementPlan Plan(const PlacementView& aView, timing::Instant aNow);

private:
  KeeperPlanner mKeepers;
  ReplicaPlanner mReplicas;
};

static_assert(Planner<DemandPlanner>);

}

#endif
