#include "components/placement/staticplanner.hpp"

#include <algorithm>
#include <functional>
#include <string>

#include "components/placement/keepermemory.hpp"
#include "components/placement/loadplanner.hpp"

namespace samphiresail::placement {

namespace {

/// Serving endpoints of the model's pool in rendezvous order.
std::vector<const EndpointRow*> EndpointsByHash(const PlacementView& aView,
                                                const catalogue::Model& aModel)
{
  std::vector<const EndpointRow*> endpoints;
  for (const auto& [name, endpoint] : aView.mEndpoints) {
    if (endpoint.mServing && endpoint.mPool == aModel.mPool) {
      endpoints.push_back(&endpoint);
    }
  }
  std::ranges::sort(endpoints, {}, [&](const EndpointRow* aEndpoint) {
    return std::hash<std::string>{}(aModel.mName.Str() + "/" + aEndpoint->mName.Str());
  });
  return endpoints;
}

}

PlacementPlan StaticPlanner::Plan(const PlacementView& aView, timing::Instant)
{
  PlacementPlan plan;
  KeeperMemory memory(aView, {});
  for (const catalogue::Model& model : aView.Catalogue().mModels) {
    for (const EndpointRow* endpoint : EndpointsByHash(aView, model)) {
      if (plan.mKeepers[model.mName].size() >= model.mKeepers) {
        break;
      }
      if (memory.Fits(*endpoint, model)) {
        memory.Add(*endpoint, model);
        plan.mKeepers[model.mName].insert(endpoint->mName);
      }
    }
    if (plan.mKeepers[model.mName].empty()) {
      plan.mUnplaced.push_back(model.mName);
    }
  }
  plan.mLoads = PlanLoads(aView, PlanKeeperLoads(aView));
  return plan;
}

}
