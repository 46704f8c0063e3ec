#ifndef SAMPHIRESAIL_COMPONENTS_PLACEMENT_PLANNER_HPP
#define SAMPHIRESAIL_COMPONENTS_PLACEMENT_PLANNER_HPP

#include <concepts>

#include "components/placement/placementview.hpp"
#include "components/timing/clock.hpp"

namespace samphiresail::placement {

/// Decides which endpoints keep which models and which loads begin. It may remember past
/// views to dampen its decisions; two planners at once cost moves, never safety.
template<typename T>
concept Planner = requires(T aPlanner, const PlacementView& aView, timing::Instant aNow)
{
  {
    aPlanner.Plan(aView, aNow)
    } -> std::same_as<PlacementPlan>;
};

}

#endif
