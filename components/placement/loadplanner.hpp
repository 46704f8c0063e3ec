#ifndef SAMPHIRESAIL_COMPONENTS_PLACEMENT_LOADPLANNER_HPP
#define SAMPHIRESAIL_COMPONENTS_PLACEMENT_LOADPLANNER_HPP

#include <vector>

#include "components/placement/placementview.hpp"

namespace samphiresail::placement {

/// Returns those of the candidate loads that may begin now, most urgent first: models
/// that are resident at no serving endpoint, then those with the highest demand. Stays
/// within the free permits of the weight store and the limit of each availability zone.
/// The load of an adapter whose base model is not resident is replaced by the load of the
/// base model.
std::vector<LoadOrder> PlanLoads(const PlacementView& aView,
                                 std::vector<LoadOrder> aCandidates);

/// Returns a load for each serving keeper where the model is not resident.
std::vector<LoadOrder> PlanKeeperLoads(const PlacementView& aView);

}

#endif
