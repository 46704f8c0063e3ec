#include "apps/samphiresail/agent/agentstate.hpp"

#include <algorithm>
#include <utility>

namespace samphiresail::agent {

const catalogue::Model* AgentState::FindModel(const ids::ModelId& aModel) const
{
  const auto& models = mPool.mCatalogue.mModels;
  const auto it = std::ranges::find(models, aModel, &catalogue::Model::mName);
  return it == models.end() ? nullptr : &*it;
}

const catalogue::EndpointPool* AgentState::FindPool() const
{
  const auto& pools = mPool.mCatalogue.mPools;
  const auto it =
    std::ranges::find(pools, mConfig.mPool, &catalogue::EndpointPool::mName);
  return it == pools.end() ? nullptr : &*it;
}

bool AgentState::HoldsModels() const
{
  const catalogue::EndpointPool* pool = FindPool();
  return pool != nullptr && pool->mKind == catalogue::PoolKind::Engine;
}

void AgentState::Send(const Route& aRoute, wire::Envelope aEnvelope)
{
  aEnvelope.set_sender(mConfig.mName.Str());
  aEnvelope.set_sender_incarnation(mConfig.mIncarnation.Count());
  aEnvelope.set_configuration_version(mPool.mVersion.Count());
  mOutbox.Push(SendEnvelope{ aRoute, std::move(aEnvelope) });
}

}
