#include "components/placement/replicaplanner.hpp"

#include <algorithm>
#include <cmath>

#include "components/placement/keepermemory.hpp"

namespace samphiresail::placement {

namespace {

constexpr double kBytesPerGib = 1 << 30;

/// Estimates utilisation, assuming that the demand for a model is spread evenly over the
/// serving endpoints where it is resident.
class Utilisation
{
public:
  explicit Utilisation(const PlacementView& aView)
    : mView(aView)
  {
    for (const auto& [name, endpoint] : aView.mEndpoints) {
      if (endpoint.mServing) {
        for (const ids::ModelId& model : endpoint.mResident) {
          ++mReplicaCounts[model];
        }
      }
    }
  }

  /// Mean number of requests in flight for the model at each of its replicas.
  double InFlightPerReplica(const ids::ModelId& aModel,
                            std::uint32_t aAdditionalReplicas = 0) const
  {
    const auto it = mReplicaCounts.find(aModel);
    const std::uint32_t replicas =
      (it == mReplicaCounts.end() ? 0 : it->second) + aAdditionalReplicas;
    return replicas == 0 ? 0.0 : mView.Demand(aModel) / replicas;
  }

  /// Requests in flight at the endpoint, as a fraction of its in-flight limit.
  double OfEndpoint(const EndpointRow& aEndpoint) const
  {
    double sum = 0.0;
    for (const ids::ModelId& model : aEndpoint.mResident) {
      sum += InFlightPerReplica(model);
    }
    return sum / std::max<std::uint32_t>(aEndpoint.mInFlightLimit, 1);
  }

  /// Utilisation of an endpoint after one replica of a model was added, there or
  /// elsewhere.
  double AfterReplication(const EndpointRow& aEndpoint, const ids::ModelId& aModel) const
  {
    const bool holds = aEndpoint.mResident.contains(aModel);
    const double change =
      InFlightPerReplica(aModel, 1) - (holds ? InFlightPerReplica(aModel) : 0.0);
    return OfEndpoint(aEndpoint) +
           change / std::max<std::uint32_t>(aEndpoint.mInFlightLimit, 1);
  }

private:
  const PlacementView& mView;
  std::map<ids::ModelId, std::uint32_t> mReplicaCounts;
};

const EndpointRow* MostUtilisedEndpoint(const PlacementView& aView,
                                        const Utilisation& aUtilisation)
{
  const EndpointRow* mostUtilised = nullptr;
  for (const auto& [name, endpoint] : aView.mEndpoints) {
    if (endpoint.mServing &&
        (mostUtilised == nullptr ||
         aUtilisation.OfEndpoint(endpoint) > aUtilisation.OfEndpoint(*mostUtilised))) {
      mostUtilised = &endpoint;
    }
  }
  return mostUtilised;
}

bool IsLoadingAnywhere(const PlacementView& aView, const ids::ModelId& aModel)
{
  return std::ranges::any_of(aView.mEndpoints, [&](const auto& aItem) {
    return aItem.second.mLoading.contains(aModel);
  });
}

struct ReplicaCandidate
{
  LoadOrder mOrder;
  double mNetBenefit{ 0.0 };
};

}

std::optional<LoadOrder> ReplicaPlanner::Choose(const PlacementView& aView,
                                                timing::Instant aNow)
{
  const Utilisation utilisation(aView);
  std::erase_if(mOverloadedSince, [&](const auto& aItem) {
    const EndpointRow* endpoint = aView.FindEndpoint(aItem.first);
    return endpoint == nullptr ||
           utilisation.OfEndpoint(*endpoint) < mOptions.mOverloadUtilisation;
  });
  const EndpointRow* mostUtilised = MostUtilisedEndpoint(aView, utilisation);
  if (mostUtilised == nullptr ||
      utilisation.OfEndpoint(*mostUtilised) < mOptions.mOverloadUtilisation) {
    return std::nullopt;
  }
  mOverloadedSince.try_emplace(mostUtilised->mName, aNow);
  if (!HasOverloadPersisted(mostUtilised->mName, aNow)) {
    return std::nullopt;
  }

  const KeeperMemory keeperMemory(aView, aView.mKeepers);
  std::optional<ReplicaCandidate> best;
  for (const ids::ModelId& name : mostUtilised->mResident) {
    const catalogue::Model* model = aView.FindModel(name);
    if (model == nullptr || IsInCooldown(name, aNow) || IsLoadingAnywhere(aView, name)) {
      continue;
    }
    const double loadCost = mOptions.mLoadCostPerGib.count() *
                            static_cast<double>(model->mMemory.Count()) / kBytesPerGib;
    for (const auto& [targetName, target] : aView.mEndpoints) {
      if (!target.mServing || target.mPool != model->mPool ||
          target.mResident.contains(name) || !keeperMemory.Fits(target, *model)) {
        continue;
      }
      const double after = std::max(utilisation.AfterReplication(*mostUtilised, name),
                                    utilisation.AfterReplication(target, name));
      const double reduction = utilisation.OfEndpoint(*mostUtilised) - after;
      const double netBenefit = reduction * mOptions.mBenefitHorizon.count() - loadCost;
      if (netBenefit > (best ? best->mNetBenefit : 0.0)) {
        best = { { targetName, name }, netBenefit };
      }
    }
  }
  if (!best) {
    return std::nullopt;
  }
  mReplicatedAt[best->mOrder.mModel] = aNow;
  return best->mOrder;
}

bool ReplicaPlanner::HasOverloadPersisted(const ids::EndpointId& aEndpoint,
                                          timing::Instant aNow) const
{
  return aNow - mOverloadedSince.at(aEndpoint) >= mOptions.mMinOverloadDuration;
}

bool ReplicaPlanner::IsInCooldown(const ids::ModelId& aModel, timing::Instant aNow) const
{
  const auto it = mReplicatedAt.find(aModel);
  return it != mReplicatedAt.end() && aNow - it->second < mOptions.mReplicaCooldown;
}

}
