#include "components/placement/replicaplanner.hpp"

#include <algorithm>
#include <cmath>

#include "components/placement/keepermemory.hpp"

namespace samphiresail::placement {

namespace {

constexpr double kBytesPerGib = 1 << 30;

/// Demand that each holder of a model serves, and what it adds up to at each endpoint.
class Utilisation
{
public:
  explicit Utilisation(const PlacementView& aView)
    : mView(aView)
  {
    for (const auto& [name, endpoint] : aView.mEndpoints) {
      if (endpoint.mServing) {
        for (const ids::ModelId& model : endpoint.mResident) {
          ++mHolders[model];
        }
      }
    }
  }

  /// Requests in flight that one of the holders has of a model.
  double PerHolder(const ids::ModelId& aModel, std::uint32_t aMore = 0) const
  {
    const auto it = mHolders.find(aModel);
    const std::uint32_t holders = (it == mHolders.end() ? 0 : it->second) + aMore;
    return holders == 0 ? 0.0 : mView.Demand(aModel) / holders;
  }

  double Of(const EndpointRow& aEndpoint) const
  {
    double sum = 0.0;
    for (const ids::ModelId& model : aEndpoint.mResident) {
      sum += PerHolder(model);
    }
    return sum / std::max<std::uint32_t>(aEndpoint.mInFlightLimit, 1);
  }

  /// Utilisation of an endpoint after one more copy of a model was made, there or
  /// elsewhere.
  double After(const EndpointRow& aEndpoint, const ids::ModelId& aModel) const
  {
    const bool holds = aEndpoint.mResident.contains(aModel);
    const double change = PerHolder(aModel, 1) - (holds ? PerHolder(aModel) : 0.0);
    return Of(aEndpoint) + change / std::max<std::uint32_t>(aEndpoint.mInFlightLimit, 1);
  }

private:
  const PlacementView& mView;
  std::map<ids::ModelId, std::uint32_t> mHolders;
};

const EndpointRow* Hottest(const PlacementView& aView, const Utilisation& aUtilisation)
{
  const EndpointRow* hottest = nullptr;
  for (const auto& [name, endpoint] : aView.mEndpoints) {
    if (endpoint.mServing &&
        (hottest == nullptr || aUtilisation.Of(endpoint) > aUtilisation.Of(*hottest))) {
      hottest = &endpoint;
    }
  }
  return hottest;
}

bool IsLoadingAnywhere(const PlacementView& aView, const ids::ModelId& aModel)
{
  return std::ranges::any_of(aView.mEndpoints, [&](const auto& aItem) {
    return aItem.second.mLoading.contains(aModel);
  });
}

struct CopyCandidate
{
  LoadOrder mOrder;
  double mGain{ 0.0 };
};

}

std::optional<LoadOrder> ReplicaPlanner::Choose(const PlacementView& aView,
                                                timing::Instant aNow)
{
  const Utilisation utilisation(aView);
  std::erase_if(mHotSince, [&](const auto& aItem) {
    const EndpointRow* endpoint = aView.FindEndpoint(aItem.first);
    return endpoint == nullptr ||
           utilisation.Of(*endpoint) < mLimits.mOverloadUtilisation;
  });
  const EndpointRow* hottest = Hottest(aView, utilisation);
  if (hottest == nullptr || utilisation.Of(*hottest) < mLimits.mOverloadUtilisation) {
    return std::nullopt;
  }
  mHotSince.try_emplace(hottest->mName, aNow);
  if (!HasPersisted(hottest->mName, aNow)) {
    return std::nullopt;
  }

  const KeeperMemory kept(aView, aView.mKeepers);
  std::optional<CopyCandidate> best;
  for (const ids::ModelId& name : hottest->mResident) {
    const catalogue::Model* model = aView.FindModel(name);
    if (model == nullptr || IsPaused(name, aNow) || IsLoadingAnywhere(aView, name)) {
      continue;
    }
    const double price = mLimits.mLoadCostPerGib.count() *
                         static_cast<double>(model->mMemory.Count()) / kBytesPerGib;
    for (const auto& [targetName, target] : aView.mEndpoints) {
      if (!target.mServing || target.mPool != model->mPool ||
          target.mResident.contains(name) || !kept.Fits(target, *model)) {
        continue;
      }
      const double after =
        std::max(utilisation.After(*hottest, name), utilisation.After(target, name));
      const double relief = utilisation.Of(*hottest) - after;
      const double gain = relief * mLimits.mBenefitHorizon.count() - price;
      if (gain > (best ? best->mGain : 0.0)) {
        best = { { targetName, name }, gain };
      }
    }
  }
  if (!best) {
    return std::nullopt;
  }
  mCopiedAt[best->mOrder.mModel] = aNow;
  return best->mOrder;
}

bool ReplicaPlanner::HasPersisted(const ids::EndpointId& aEndpoint,
                                  timing::Instant aNow) const
{
  return aNow - mHotSince.at(aEndpoint) >= mLimits.mMinOverloadDuration;
}

bool ReplicaPlanner::IsPaused(const ids::ModelId& aModel, timing::Instant aNow) const
{
  const auto it = mCopiedAt.find(aModel);
  return it != mCopiedAt.end() && aNow - it->second < mLimits.mReplicaCooldown;
}

}
