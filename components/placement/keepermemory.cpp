#include "components/placement/keepermemory.hpp"

namespace samphiresail::placement {

KeeperMemory::KeeperMemory(const PlacementView& aView, const KeeperTable& aKeepers)
  : mView(aView)
{
  for (const auto& [model, endpoints] : aKeepers) {
    for (const ids::EndpointId& endpoint : endpoints) {
      Keep(mUsages[endpoint], model);
    }
  }
}

void KeeperMemory::Add(const EndpointRow& aEndpoint, const catalogue::Model& aModel)
{
  Keep(mUsages[aEndpoint.mName], aModel.mName);
}

void KeeperMemory::Remove(const EndpointRow& aEndpoint, const catalogue::Model& aModel)
{
  EndpointUsage& usage = mUsages[aEndpoint.mName];
  if (usage.mKeptModels.erase(aModel.mName) == 0) {
    return;
  }
  RemoveReference(usage, aModel.mName);
  if (!aModel.mBase.Empty()) {
    RemoveReference(usage, aModel.mBase);
  }
}

units::Bytes KeeperMemory::Used(const EndpointRow& aEndpoint) const
{
  const auto it = mUsages.find(aEndpoint.mName);
  return it == mUsages.end() ? units::Bytes() : it->second.mUsed;
}

bool KeeperMemory::Fits(const EndpointRow& aEndpoint,
                        const catalogue::Model& aModel) const
{
#ifdef SAMPHIRESAIL_MUTANT_KEPT_MEMORY
  return true;
#endif
  static const EndpointUsage kEmpty;
  const auto it = mUsages.find(aEndpoint.mName);
  const EndpointUsage& usage = it == mUsages.end() ? kEmpty : it->second;
  const units::Bytes additional =
    AdditionalMemory(usage, aModel.mName) + AdditionalMemory(usage, aModel.mBase);
  return usage.mUsed + additional <= aEndpoint.mMemory;
}

void KeeperMemory::Keep(EndpointUsage& aUsage, const ids::ModelId& aModel)
{
  if (!aUsage.mKeptModels.insert(aModel).second) {
    return;
  }
  AddReference(aUsage, aModel);
  const catalogue::Model* declared = mView.FindModel(aModel);
  if (declared != nullptr && !declared->mBase.Empty()) {
    AddReference(aUsage, declared->mBase);
  }
}

void KeeperMemory::AddReference(EndpointUsage& aUsage, const ids::ModelId& aModel)
{
  if (++aUsage.mReferenceCounts[aModel] == 1) {
    aUsage.mUsed += MemoryOf(aModel);
  }
}

void KeeperMemory::RemoveReference(EndpointUsage& aUsage, const ids::ModelId& aModel)
{
  const auto it = aUsage.mReferenceCounts.find(aModel);
  if (--it->second == 0) {
    aUsage.mReferenceCounts.erase(it);
    aUsage.mUsed -= MemoryOf(aModel);
  }
}

units::Bytes KeeperMemory::MemoryOf(const ids::ModelId& aModel) const
{
  const catalogue::Model* model = mView.FindModel(aModel);
  return model == nullptr ? units::Bytes() : model->mMemory;
}

units::Bytes KeeperMemory::AdditionalMemory(const EndpointUsage& aUsage,
                                            const ids::ModelId& aModel) const
{
  return aUsage.mReferenceCounts.contains(aModel) ? units::Bytes() : MemoryOf(aModel);
}

}
