#include "components/placement/keepermemory.hpp"

namespace samphiresail::placement {

KeeperMemory::KeeperMemory(const PlacementView& aView, const KeeperTable& aKeepers)
  : mView(aView)
{
  for (const auto& [model, endpoints] : aKeepers) {
    for (const ids::EndpointId& endpoint : endpoints) {
      Keep(mHoldings[endpoint], model);
    }
  }
}

void KeeperMemory::Add(const EndpointRow& aEndpoint, const catalogue::Model& aModel)
{
  Keep(mHoldings[aEndpoint.mName], aModel.mName);
}

void KeeperMemory::Remove(const EndpointRow& aEndpoint, const catalogue::Model& aModel)
{
  Holding& holding = mHoldings[aEndpoint.mName];
  if (holding.mKept.erase(aModel.mName) == 0) {
    return;
  }
  RemoveReason(holding, aModel.mName);
  if (!aModel.mBase.Empty()) {
    RemoveReason(holding, aModel.mBase);
  }
}

units::Bytes KeeperMemory::Used(const EndpointRow& aEndpoint) const
{
  const auto it = mHoldings.find(aEndpoint.mName);
  return it == mHoldings.end() ? units::Bytes() : it->second.mUsed;
}

bool KeeperMemory::Fits(const EndpointRow& aEndpoint,
                        const catalogue::Model& aModel) const
{
#ifdef SAMPHIRESAIL_MUTANT_KEPT_MEMORY
  return true;
#endif
  static const Holding kNothing;
  const auto it = mHoldings.find(aEndpoint.mName);
  const Holding& holding = it == mHoldings.end() ? kNothing : it->second;
  const units::Bytes further =
    Further(holding, aModel.mName) + Further(holding, aModel.mBase);
  return holding.mUsed + further <= aEndpoint.mMemory;
}

void KeeperMemory::Keep(Holding& aHolding, const ids::ModelId& aModel)
{
  if (!aHolding.mKept.insert(aModel).second) {
    return;
  }
  AddReason(aHolding, aModel);
  const catalogue::Model* declared = mView.FindModel(aModel);
  if (declared != nullptr && !declared->mBase.Empty()) {
    AddReason(aHolding, declared->mBase);
  }
}

void KeeperMemory::AddReason(Holding& aHolding, const ids::ModelId& aModel)
{
  if (++aHolding.mReasons[aModel] == 1) {
    aHolding.mUsed += MemoryOf(aModel);
  }
}

void KeeperMemory::RemoveReason(Holding& aHolding, const ids::ModelId& aModel)
{
  const auto it = aHolding.mReasons.find(aModel);
  if (--it->second == 0) {
    aHolding.mReasons.erase(it);
    aHolding.mUsed -= MemoryOf(aModel);
  }
}

units::Bytes KeeperMemory::MemoryOf(const ids::ModelId& aModel) const
{
  const catalogue::Model* model = mView.FindModel(aModel);
  return model == nullptr ? units::Bytes() : model->mMemory;
}

units::Bytes KeeperMemory::Further(const Holding& aHolding,
                                   const ids::ModelId& aModel) const
{
  return aHolding.mReasons.contains(aModel) ? units::Bytes() : MemoryOf(aModel);
}

}
