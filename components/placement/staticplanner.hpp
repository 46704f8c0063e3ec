#ifndef SAMPHIRESAIL_COMPONENTS_PLACEMENT_STATICPLANNER_HPP
#define SAMPHIRESAIL_COMPONENTS_PLACEMENT_STATICPLANNER_HPP

#include "components/placement/planner.hpp"

namespace samphiresail::placement {

/// Baseline for comparisons: spreads the keepers of each model over its pool by
/// rendezvous hashing, regardless of demand and availability zones.
class StaticPlanner
{
public:
  PlacementPlan Plan(const PlacementView& aView, timing::Instant aNow);
};

static_assert(Planner<StaticPlanner>);

}

#endif
