#include "components/placement/demandplanner.hpp"

#include <utility>

#include "components/placement/loadplanner.hpp"

namespace samphiresail::placement {

PlacementPlan DemandPlanner::Plan(const PlacementView& aView, timing::Instant aNow)
{
  KeeperAssignment choice = mKeepers.Choose(aView, aNow);
  PlacementPlan plan{ .mKeepers = std::move(choice.mKeepers),
                      .mUnplaced = std::move(choice.mUnplaced) };
  std::vector<LoadOrder> wanted = PlanKeeperLoads(aView);
  // Copies by demand wait while the fleet recovers.
  if (wanted.empty() && aView.mFreeLoads > 0) {
    if (std::optional<LoadOrder> copy = mCopies.Choose(aView, aNow)) {
      wanted.push_back(*copy);
    }
  }
  plan.mLoads = PlanLoads(aView, std::move(wanted));
  return plan;
}

}
