#include "components/gateway/fleetplanner.hpp"

#include "components/gateway/planninground.hpp"

namespace samphiresail::gateway {

std::vector<PlannedOrder> FleetPlanner::Plan(const EngineSpec& aSpec,
                                             const std::vector<EngineView>& aEngines,
                                             const DemandLookup& aDemand,
                                             std::size_t aMaxLoads) const
{
  return PlanningRound(aSpec, aEngines, aDemand, aMaxLoads).Run();
}

}
