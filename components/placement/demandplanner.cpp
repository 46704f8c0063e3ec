#include "components/placement/demandplanner.hpp"

#include <utility>

#include "components/placement/loadplanner.hpp"

namespace samphiresail::placement {

PlacementPlan DemandPlanner::Plan(const PlacementView& aView, timing::Instant aNow)
{
  KeeperAssignment assignment = mKeepers.Choose(aView, aNow);
  PlacementPlan plan{ .mKeepers = std::move(assignment.mKeepers),
                      .mUnplaced = std::move(assignment.mUnplaced) };
  std::vector<LoadOrder> loads = PlanKeeperLoads(aView);
  // Replicas for demand are added only once every serving keeper holds its model, so that
  // they do not delay recovery.
  if (loads.empty() && aView.mFreeLoads > 0) {
    if (std::optional<LoadOrder> replica = mReplicas.Choose(aView, aNow)) {
      loads.push_back(*replica);
    }
  }
  plan.mLoads = PlanLoads(aView, std::move(loads));
  return plan;
}

}
