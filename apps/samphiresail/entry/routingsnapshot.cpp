#include "apps/samphiresail/entry/routingsnapshot.hpp"

#include <algorithm>
#include <utility>

namespace samphiresail::entry {

namespace {

template<typename Key, typename Row>
const Row* Find(const std::unordered_map<Key, const Row*>& aIndex, const Key& aKey)
{
  const auto it = aIndex.find(aKey);
  return it == aIndex.end() ? nullptr : it->second;
}

template<typename Key, typename Row>
void BuildIndex(std::unordered_map<Key, const Row*>& aIndex,
                const std::vector<Row>& aRows,
                Key Row::*aName)
{
  aIndex.reserve(aRows.size());
  for (const Row& row : aRows) {
    aIndex.emplace(row.*aName, &row);
  }
}

bool IsBelowRoute(const std::string& aPath, const std::string& aRoute)
{
  return aPath.starts_with(aRoute) &&
         (aPath.size() == aRoute.size() || aPath[aRoute.size()] == '/' ||
          aRoute.ends_with('/'));
}

}

RoutingSnapshot::RoutingSnapshot(
  std::shared_ptr<const catalogue::Configuration> aConfiguration,
  std::vector<AgentRow> aAgents)
  : mConfiguration(std::move(aConfiguration))
  , mAgents(std::move(aAgents))
{
  const catalogue::Catalogue& catalogue = mConfiguration->mCatalogue;
  BuildIndex(mKeys, mConfiguration->mKeys, &catalogue::IssuedKey::mHash);
  BuildIndex(mAccounts, catalogue.mClientAccounts, &catalogue::ClientAccount::mName);
  BuildIndex(mModels, catalogue.mModels, &catalogue::Model::mName);
  BuildIndex(mPools, catalogue.mPools, &catalogue::EndpointPool::mName);
  BuildIndex(mAgentsByName, mAgents, &AgentRow::mEndpoint);
  for (const AgentRow& agent : mAgents) {
    if (agent.mServing) {
      mServingByPool[agent.mPool].push_back(&agent);
    }
  }
}

const catalogue::IssuedKey* RoutingSnapshot::FindKey(const ids::KeyHash& aHash) const
{
  return Find(mKeys, aHash);
}

const catalogue::ClientAccount* RoutingSnapshot::FindAccount(
  const ids::ClientAccountId& aName) const
{
  return Find(mAccounts, aName);
}

const catalogue::Model* RoutingSnapshot::FindModel(const ids::ModelId& aName) const
{
  return Find(mModels, aName);
}

const catalogue::EndpointPool* RoutingSnapshot::FindPool(const ids::PoolId& aName) const
{
  return Find(mPools, aName);
}

const AgentRow* RoutingSnapshot::FindAgent(const ids::EndpointId& aName) const
{
  return Find(mAgentsByName, aName);
}

const catalogue::Service* RoutingSnapshot::FindService(const std::string& aPath) const
{
  const catalogue::Service* best = nullptr;
  for (const catalogue::Service& service : mConfiguration->mCatalogue.mServices) {
    if (IsBelowRoute(aPath, service.mRoute) &&
        (best == nullptr || service.mRoute.size() > best->mRoute.size())) {
      best = &service;
    }
  }
  return best;
}

std::vector<const AgentRow*> RoutingSnapshot::ServingAgents(
  const ids::PoolId& aPool) const
{
  const auto it = mServingByPool.find(aPool);
  return it == mServingByPool.end() ? std::vector<const AgentRow*>{} : it->second;
}

}
