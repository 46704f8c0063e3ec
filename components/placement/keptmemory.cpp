#include "components/placement/keptmemory.hpp"

#include <numeric>

namespace samphiresail::placement {

KeptMemory::KeptMemory(const PlacementView& aView, const KeeperTable& aKeepers)
  : mView(aView)
{
  for (const auto& [model, endpoints] : aKeepers) {
    for (const ids::EndpointId& endpoint : endpoints) {
      mKept[endpoint].insert(model);
    }
  }
}

void KeptMemory::Add(const EndpointRow& aEndpoint, const catalogue::Model& aModel)
{
  mKept[aEndpoint.mName].insert(aModel.mName);
}

void KeptMemory::Remove(const EndpointRow& aEndpoint, const catalogue::Model& aModel)
{
  mKept[aEndpoint.mName].erase(aModel.mName);
}

units::Bytes KeptMemory::Used(const EndpointRow& aEndpoint) const
{
  const auto it = mKept.find(aEndpoint.mName);
  return it == mKept.end() ? units::Bytes() : Sum(it->second);
}

bool KeptMemory::Fits(const EndpointRow& aEndpoint, const catalogue::Model& aModel) const
{
  const auto it = mKept.find(aEndpoint.mName);
  std::set<ids::ModelId> kept = it == mKept.end() ? std::set<ids::ModelId>() : it->second;
  kept.insert(aModel.mName);
#ifdef SAMPHIRESAIL_MUTANT_KEPT_MEMORY
  return true;
#endif
  return Sum(kept) <= aEndpoint.mMemory;
}

units::Bytes KeptMemory::Sum(const std::set<ids::ModelId>& aModels) const
{
  const std::set<ids::ModelId> all = WithBases(aModels);
  const auto add = [this](units::Bytes aSum, const ids::ModelId& aModel) {
    const catalogue::Model* model = mView.FindModel(aModel);
    return model == nullptr ? aSum : aSum + model->mMemory;
  };
  return std::accumulate(all.begin(), all.end(), units::Bytes(), add);
}

std::set<ids::ModelId> KeptMemory::WithBases(const std::set<ids::ModelId>& aModels) const
{
  std::set<ids::ModelId> all = aModels;
  for (const ids::ModelId& model : aModels) {
    const catalogue::Model* declared = mView.FindModel(model);
    if (declared != nullptr && !declared->mBase.Empty()) {
      all.insert(declared->mBase);
    }
  }
  return all;
}

}
