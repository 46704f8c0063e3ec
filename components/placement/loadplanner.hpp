#ifndef SAMPHIRESAIL_COMPONENTS_PLACEMENT_LOADPLANNER_HPP
#define SAMPHIRESAIL_COMPONENTS_PLACEMENT_LOADPLANNER_HPP

#include <vector>

#include "components/placement/placementview.hpp"

namespace samphiresail::placement {

/// Returns the wanted loads that may begin now, most urgent first: models that no serving
/// endpoint holds go before others, then those with the highest demand. Stays within the
/// free permits of the weight store and each availability zone's limit. A base model goes
/// before its adapters.
std::vector<LoadOrder> PlanLoads(const PlacementView& aView,
                                 std::vector<LoadOrder> aWanted);

/// Returns a load for each keeper that serves and does not hold its model.
std::vector<LoadOrder> PlanKeeperLoads(const PlacementView& aView);

}

#endif
