#ifndef SAMPHIRESAIL_COMPONENTS_PLACEMENT_PLANNER_HPP
#define SAMPHIRESAIL_COMPONENTS_PLACEMENT_PLANNER_HPP

#include <concepts>

#include "components/placement/placementview.hpp"
#include "components/timing/clock.hpp"

namespace samphiresail::placement {

/// Decides which endpoints keep which models and which loads begin. A planner may keep
/// state from earlier views to dampen its decisions. Two planners that run at once may
/// cause unnecessary loads, but never violate a safety property.
template<typename T>
concept Planner = requires(T aPlanner, const PlacementView& aView, timing::Instant aNow)
{
  {
    aPlanner.Plan(aView, aNow)
    } -> std::same_as<PlacementPlan>;
};

}

#endif
