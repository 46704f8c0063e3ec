#ifndef SAMPHIRESAIL_COMPONENTS_PLACEMENT_REPLICAPLANNER_HPP
#define SAMPHIRESAIL_COMPONENTS_PLACEMENT_REPLICAPLANNER_HPP

#include <map>
#include <optional>

#include "components/placement/placementview.hpp"
#include "components/timing/clock.hpp"

namespace samphiresail::placement {

/// Thresholds and weights for adding replicas according to demand.
struct ReplicaPlannerOptions
{
  /// Utilisation at or above which an endpoint is overloaded, as a fraction of its
  /// in-flight limit.
  double mOverloadUtilisation{ 0.7 };
  /// Time for which an endpoint must be overloaded before a replica is added.
  timing::Duration mMinOverloadDuration{ std::chrono::seconds(5) };
  /// Time over which the benefit of a replica is counted; the benefit must exceed the
  /// load cost.
  std::chrono::duration<double> mBenefitHorizon{ 60 };
  /// Cost of a load per GiB of model memory, in seconds of full utilisation.
  std::chrono::duration<double> mLoadCostPerGib{ 0.4 };
  /// Minimum time between two additional replicas of the same model.
  timing::Duration mReplicaCooldown{ std::chrono::seconds(20) };
};

/// Chooses the one additional replica that reduces the highest utilisation most. The
/// reduction, multiplied by the benefit horizon, must exceed the cost of the load.
class ReplicaPlanner
{
public:
  explicit ReplicaPlanner(ReplicaPlannerOptions aOptions = {})
    : mOptions(aOptions)
  {
  }

  /// Returns the load of the chosen replica, or nothing if no replica is worth its cost.
  std::optional<LoadOrder> Choose(const PlacementView& aView, timing::Instant aNow);

private:
  bool HasOverloadPersisted(const ids::EndpointId& aEndpoint, timing::Instant aNow) const;
  bool IsInCooldown(const ids::ModelId& aModel, timing::Instant aNow) const;

  ReplicaPlannerOptions mOptions;
  std::map<ids::EndpointId, timing::Instant> mOverloadedSince;
  std::map<ids::ModelId, timing::Instant> mReplicatedAt;
};

}

#endif
