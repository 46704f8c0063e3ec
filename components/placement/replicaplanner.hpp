#ifndef SAMPHIRESAIL_COMPONENTS_PLACEMENT_REPLICAPLANNER_HPP
#define SAMPHIRESAIL_COMPONENTS_PLACEMENT_REPLICAPLANNER_HPP

#include <map>
#include <optional>

#include "components/placement/placementview.hpp"
#include "components/timing/clock.hpp"

namespace samphiresail::placement {

/// Bounds of the copies that demand asks for.
struct ReplicaPlannerOptions
{
  /// Utilisation of an endpoint above which it wants relief.
  double mOverloadUtilisation{ 0.7 };
  /// Time for which an endpoint must be hot before a copy is made.
  timing::Duration mMinOverloadDuration{ std::chrono::seconds(5) };
  /// Time for which a copy is expected to serve; relief over it must exceed the price.
  std::chrono::duration<double> mBenefitHorizon{ 60 };
  /// Time that the price counts for a load, by gibibyte of the model.
  std::chrono::duration<double> mLoadCostPerGib{ 0.4 };
  /// Time after a copy of a model before the next one.
  timing::Duration mReplicaCooldown{ std::chrono::seconds(20) };
};

/// Finds the one additional copy of a model that relieves the hottest endpoint most, if
/// it pays back: the utilisation that it takes off the hottest endpoint over the horizon
/// must exceed the time of its load.
class ReplicaPlanner
{
public:
  explicit ReplicaPlanner(ReplicaPlannerOptions aLimits = {})
    : mLimits(aLimits)
  {
  }

  std::optional<LoadOrder> Choose(const PlacementView& aView, timing::Instant aNow);

private:
  bool HasPersisted(const ids::EndpointId& aEndpoint, timing::Instant aNow) const;
  bool IsPaused(const ids::ModelId& aModel, timing::Instant aNow) const;

  ReplicaPlannerOptions mLimits;
  std::map<ids::EndpointId, timing::Instant> mHotSince;
  std::map<ids::ModelId, timing::Instant> mCopiedAt;
};

}

#endif
