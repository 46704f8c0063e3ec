#include "components/placement/loadplanner.hpp"

#include <algorithm>
#include <map>
#include <tuple>

namespace samphiresail::placement {

namespace {

/// Serving endpoints that hold each model.
std::map<ids::ModelId, std::uint32_t> CountHolders(const PlacementView& aView)
{
  std::map<ids::ModelId, std::uint32_t> holders;
  for (const auto& [name, endpoint] : aView.mEndpoints) {
    if (endpoint.mServing) {
      for (const ids::ModelId& model : endpoint.mResident) {
        ++holders[model];
      }
    }
  }
  return holders;
}

/// Counts the loads that run in each availability zone against its limit.
class ZoneLimits
{
public:
  explicit ZoneLimits(const PlacementView& aView)
  {
    for (const catalogue::AvailabilityZone& zone : aView.Catalogue().mAvailabilityZones) {
      mFree[zone.mName] = zone.mLoadsAtOnce;
    }
    for (const auto& [name, endpoint] : aView.mEndpoints) {
      mFree[endpoint.mAvailabilityZone] -=
        static_cast<std::int64_t>(endpoint.mLoading.size());
    }
  }

  bool Take(const ids::AvailabilityZoneId& aZone)
  {
    std::int64_t& left = mFree[aZone];
    if (left <= 0) {
      return false;
    }
    --left;
    return true;
  }

private:
  std::map<ids::AvailabilityZoneId, std::int64_t> mFree;
};

/// Returns the order itself, or the order for the base that has to come first.
LoadOrder FirstStep(const PlacementView& aView, const LoadOrder& aOrder)
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
                                 std::vector<LoadOrder> aWanted)
{
  const std::map<ids::ModelId, std::uint32_t> holders = CountHolders(aView);
  std::ranges::stable_sort(aWanted, {}, [&](const LoadOrder& aOrder) {
    return std::tuple(holders.contains(aOrder.mModel), -aView.Demand(aOrder.mModel));
  });
  ZoneLimits zones(aView);
  std::vector<LoadOrder> loads;
  for (const LoadOrder& wanted : aWanted) {
    if (loads.size() >= aView.mFreeLoads) {
      break;
    }
    const LoadOrder order = FirstStep(aView, wanted);
    const EndpointRow& endpoint = *aView.FindEndpoint(order.mEndpoint);
    const bool begun = endpoint.mLoading.contains(order.mModel) ||
                       std::ranges::find(loads, order) != loads.end();
    if (!begun && zones.Take(endpoint.mAvailabilityZone)) {
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
