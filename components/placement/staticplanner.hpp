#ifndef SAMPHIRESAIL_COMPONENTS_PLACEMENT_STATICPLANNER_HPP
#define SAMPHIRESAIL_COMPONENTS_PLACEMENT_STATICPLANNER_HPP

#include "components/placement/planner.hpp"

namespace samphiresail::placement {

/// Baseline: spreads each model's keepers over the pool by rendezvous hashing, whatever
/// the demand and the availability zones.
class StaticPlanner
{
public:
  PlacementPlan Plan(const PlacementView& aView, timing::Instant aNow);
};

static_assert(Planner<StaticPlanner>);

}

#endif
