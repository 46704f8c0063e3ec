#include "components/placement/loadplanner.hpp"

#include <algorithm>
#include <map>
#include <tuple>

namespace samphiresail::placement {

namespace {

/// Number of serving endpoints where each model is resident; models that are resident at
/// none have no element.
std::map<ids::ModelId, std::uint32_t> CountServingReplicas(const PlacementView& aView)
{
  std::map<ids::ModelId, std::uint32_t> replicaCounts;
  for (const auto& [name, endpoint] : aView.mEndpoints) {
    if (endpoint.mServing) {
      for (const ids::ModelId& model : endpoint.mResident) {
        ++replicaCounts[model];
      }
    }
  }
  return replicaCounts;
}

/// Limits the loads in progress in each availability zone.
class ZoneLoadLimiter
{
public:
  explicit ZoneLoadLimiter(const PlacementView& aView)
  {
    for (const catalogue::AvailabilityZone& zone : aView.Catalogue().mAvailabilityZones) {
      mFree[zone.mName] = zone.mLoadsAtOnce;
    }
    for (const auto& [name, endpoint] : aView.mEndpoints) {
      mFree[endpoint.mAvailabilityZone] -=
        static_cast<std::int64_t>(endpoint.mLoading.size());
    }
  }

  /// Counts one more load, or returns false if the zone is at its limit.
  bool TryAcquire(const ids::AvailabilityZoneId& aZone)
  {
    std::int64_t& freeLoads = mFree[aZone];
    if (freeLoads <= 0) {
      return false;
    }
    --freeLoads;
    return true;
  }

private:
  std::map<ids::AvailabilityZoneId, std::int64_t> mFree;
};

/// Returns the order itself, or the load of its base model if that is not resident yet.
LoadOrder FirstRequiredLoad(const PlacementView& aView, const LoadOrder& aOrder)
{
  const catalogue::Model* model = aView.FindModel(aOrder.mModel);
  const EndpointRow* endpoint = aView.FindEndpoint(aOrder.mEndpoint);
  if (model->mBase.Empty() || endpoint->mResident.contains(model->mBase)) {
    return aOrder;
  }
  return { aOrder.mEndpoint, model->mBase };
}

}

std::vector<LoadOrder> PlanLoads(const PlacementView& aView,
                                 std::vector<LoadOrder> aCandidates)
{
  const std::map<ids::ModelId, std::uint32_t> replicaCounts = CountServingReplicas(aView);
  std::ranges::stable_sort(aCandidates, {}, [&](const LoadOrder& aOrder) {
    return std::tuple(replicaCounts.contains(aOrder.mModel),
                      -aView.Demand(aOrder.mModel));
  });
  ZoneLoadLimiter zones(aView);
  std::vector<LoadOrder> loads;
  for (const LoadOrder& candidate : aCandidates) {
    if (loads.size() >= aView.mFreeLoads) {
      break;
    }
    const LoadOrder order = FirstRequiredLoad(aView, candidate);
    const EndpointRow& endpoint = *aView.FindEndpoint(order.mEndpoint);
    const bool alreadyStarted = endpoint.mLoading.contains(order.mModel) ||
                                std::ranges::find(loads, order) != loads.end();
    if (!alreadyStarted && zones.TryAcquire(endpoint.mAvailabilityZone)) {
      loads.push_back(order);
    }
  }
  return loads;
}

std::vector<LoadOrder> PlanKeeperLoads(const PlacementView& aView)
{
  std::vector<LoadOrder> missing;
  for (const auto& [model, endpoints] : aView.mKeepers) {
    if (aView.FindModel(model) == nullptr) {
      continue;
    }
    for (const ids::EndpointId& name : endpoints) {
      const EndpointRow* endpoint = aView.FindEndpoint(name);
      if (endpoint != nullptr && endpoint->mServing &&
          !endpoint->mResident.contains(model)) {
        missing.push_back({ name, model });
      }
    }
  }
  return missing;
}

}
