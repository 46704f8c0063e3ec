#ifndef SAMPHIRESAIL_APPS_SAMPHIRESAIL_ENTRY_ROUTINGSNAPSHOT_HPP
#define SAMPHIRESAIL_APPS_SAMPHIRESAIL_ENTRY_ROUTINGSNAPSHOT_HPP

#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "components/catalogue/catalogue.hpp"
#include "components/ids/ids.hpp"
#include "components/units/quantity.hpp"

namespace samphiresail::entry {

/// Agent as it registered in the platform's store.
struct AgentRow
{
  ids::EndpointId mEndpoint;
  ids::PoolId mPool;
  /// Address of the agent as "host:port".
  std::string mAddress;
  units::Incarnation mIncarnation;
  ids::AvailabilityZoneId mAvailabilityZone;
  ids::VmId mVm;
  /// False if operators took the availability zone out or the platform lists the VM as
  /// leaving or gone.
  bool mServing{ true };
};

/// View of the configuration and the fleet that traffic threads read. Never changes once
/// it is published.
class RoutingSnapshot
{
public:
  /// The configuration must not be null.
  RoutingSnapshot(std::shared_ptr<const catalogue::Configuration> aConfiguration,
                  std::vector<AgentRow> aAgents);

  units::Version Version() const { return mConfiguration->mVersion; }
  const catalogue::Configuration& Configuration() const { return *mConfiguration; }
  const std::vector<AgentRow>& Agents() const { return mAgents; }

  /// Each finder returns nullptr for an unknown name.
  const catalogue::IssuedKey* FindKey(const ids::KeyHash& aHash) const;
  const catalogue::ClientAccount* FindAccount(const ids::ClientAccountId& aName) const;
  const catalogue::Model* FindModel(const ids::ModelId& aName) const;
  const catalogue::EndpointPool* FindPool(const ids::PoolId& aName) const;
  const AgentRow* FindAgent(const ids::EndpointId& aName) const;

  /// Returns the service whose route is the longest prefix of the path.
  const catalogue::Service* FindService(const std::string& aPath) const;

  /// Returns the serving agents of a pool.
  std::vector<const AgentRow*> ServingAgents(const ids::PoolId& aPool) const;

private:
  std::shared_ptr<const catalogue::Configuration> mConfiguration;
  std::vector<AgentRow> mAgents;
  std::unordered_map<ids::KeyHash, const catalogue::IssuedKey*> mKeys;
  std::unordered_map<ids::ClientAccountId, const catalogue::ClientAccount*> mAccounts;
  std::unordered_map<ids::ModelId, const catalogue::Model*> mModels;
  std::unordered_map<ids::PoolId, const catalogue::EndpointPool*> mPools;
  std::unordered_map<ids::EndpointId, const AgentRow*> mAgentsByName;
  std::unordered_map<ids::PoolId, std::vector<const AgentRow*>> mServingByPool;
};

using SnapshotPointer = std::shared_ptr<const RoutingSnapshot>;

}

#endif
