#ifndef SAMPHIRESAIL_COMPONENTS_PLACEMENT_PLACEMENTVIEW_HPP
#define SAMPHIRESAIL_COMPONENTS_PLACEMENT_PLACEMENTVIEW_HPP

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "components/catalogue/catalogue.hpp"
#include "components/ids/ids.hpp"
#include "components/timing/clock.hpp"
#include "components/units/quantity.hpp"

namespace samphiresail::placement {

/// Endpoints that must keep a model resident, by model.
using KeeperTable = std::map<ids::ModelId, std::set<ids::EndpointId>>;

/// Endpoint as its agent reported it last.
struct EndpointRow
{
  ids::EndpointId mName;
  ids::PoolId mPool;
  ids::AvailabilityZoneId mAvailabilityZone;
  units::Bytes mMemory;
  std::uint32_t mInFlightLimit{ 1 };
  /// False while the endpoint leaves, is down or its availability zone is out.
  bool mServing{ true };
  std::set<ids::ModelId> mResident;
  std::set<ids::ModelId> mLoading;
  /// The report answers a question that was sent at this instant or later.
  timing::Instant mReportRequestedAt;
};

/// Everything a planner decides on.
struct PlacementView
{
  std::map<ids::EndpointId, EndpointRow> mEndpoints;
  /// Keepers as the store holds them.
  KeeperTable mKeepers;
  /// Mean number of requests in flight in the fleet, by model.
  std::map<ids::ModelId, double> mDemand;
  /// Loads that may begin now.
  std::uint32_t mFreeLoads{ 0 };

  /// Sets the catalogue, which must outlive the view.
  void SetCatalogue(const catalogue::Catalogue& aCatalogue)
  {
    mCatalogue = &aCatalogue;
    mModels.clear();
    for (const catalogue::Model& model : aCatalogue.mModels) {
      mModels.emplace(model.mName, &model);
    }
  }
  const catalogue::Catalogue& Catalogue() const { return *mCatalogue; }

  /// Returns null for an endpoint that no agent reports.
  const EndpointRow* FindEndpoint(const ids::EndpointId& aName) const
  {
    const auto it = mEndpoints.find(aName);
    return it == mEndpoints.end() ? nullptr : &it->second;
  }
  /// Returns null for a model that is not declared.
  const catalogue::Model* FindModel(const ids::ModelId& aName) const
  {
    const auto it = mModels.find(aName);
    return it == mModels.end() ? nullptr : it->second;
  }
  double Demand(const ids::ModelId& aModel) const
  {
    const auto it = mDemand.find(aModel);
    return it == mDemand.end() ? 0.0 : it->second;
  }

private:
  const catalogue::Catalogue* mCatalogue{ nullptr };
  std::map<ids::ModelId, const catalogue::Model*> mModels;
};

struct LoadOrder
{
  ids::EndpointId mEndpoint;
  ids::ModelId mModel;

  auto operator<=>(const LoadOrder&) const = default;
};

struct PlacementPlan
{
  /// Keepers that the store should hold.
  KeeperTable mKeepers;
  /// Loads to begin now, most urgent first.
  std::vector<LoadOrder> mLoads;
  /// Models for which no endpoint has room; they are loaded on demand only.
  std::vector<ids::ModelId> mUnplaced;
};

}

#endif
