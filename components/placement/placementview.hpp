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

/// State of an endpoint according to the last report of its agent.
struct EndpointRow
{
  ids::EndpointId mName;
  ids::PoolId mPool;
  ids::AvailabilityZoneId mAvailabilityZone;
  units::Bytes mMemory;
  std::uint32_t mInFlightLimit{ 1 };
  /// False while the endpoint is leaving or down, or its availability zone is out.
  bool mServing{ true };
  std::set<ids::ModelId> mResident;
  std::set<ids::ModelId> mLoading;
  /// Lower bound for the instant at which the report was requested.
  timing::Instant mReportRequestedAt;
};

/// Input of a planner: endpoints, stored keepers, demand and load permits.
struct PlacementView
{
  std::map<ids::EndpointId, EndpointRow> mEndpoints;
  /// Keepers as read from the store.
  KeeperTable mKeepers;
  /// Mean number of requests in flight in the fleet, by model; a model without demand may
  /// be absent.
  std::map<ids::ModelId, double> mDemand;
  /// Number of loads that may begin now within the permits of the weight store.
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

/// Load of a model or adapter at an endpoint.
struct LoadOrder
{
  ids::EndpointId mEndpoint;
  ids::ModelId mModel;

  auto operator<=>(const LoadOrder&) const = default;
};

/// Result of a planning round.
struct PlacementPlan
{
  /// Keepers to write to the store.
  KeeperTable mKeepers;
  /// Loads to begin now, most urgent first.
  std::vector<LoadOrder> mLoads;
  /// Models for which no endpoint has enough free memory to be a keeper; they are loaded
  /// on demand only.
  std::vector<ids::ModelId> mUnplaced;
};

}

#endif
