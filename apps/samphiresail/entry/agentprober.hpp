#ifndef SAMPHIRESAIL_APPS_SAMPHIRESAIL_ENTRY_AGENTPROBER_HPP
#define SAMPHIRESAIL_APPS_SAMPHIRESAIL_ENTRY_AGENTPROBER_HPP

#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "apps/samphiresail/entry/agentlink.hpp"
#include "apps/samphiresail/entry/routingsnapshot.hpp"
#include "apps/samphiresail/entry/sharedstate.hpp"
#include "components/ids/ids.hpp"
#include "components/routing/endpointtable.hpp"
#include "components/timing/clock.hpp"
#include "components/units/quantity.hpp"

namespace samphiresail::entry {

/// Keeps the endpoint table up to date: follows the agents of the snapshot, asks each
/// agent for its load and models, and brings the limits of its pool to an agent that is
/// behind.
class AgentProber
{
public:
  AgentProber(const SharedState& aState,
              AgentLink& aAgents,
              routing::EndpointTable& aEndpoints);

  /// Sends a round of probes.
  void Tick(timing::Instant aNow);

  /// Takes an answer to a probe.
  void OnReport(const transport::PeerAddress& aAddress,
                const wire::Envelope& aEnvelope,
                timing::Instant aNow);

private:
  void FollowSnapshot(const RoutingSnapshot& aSnapshot);
  std::string PoolDocument(const RoutingSnapshot& aSnapshot, const ids::PoolId& aPool);

  const SharedState& mState;
  AgentLink& mAgents;
  routing::EndpointTable& mEndpoints;
  std::mutex mMutex;
  SnapshotPointer mFollowed;
  std::vector<ids::EndpointId> mKnown;
  std::map<transport::PeerAddress, units::Version> mVersions;
  std::map<ids::PoolId, std::string> mDocuments;
  std::uint64_t mNonce{ 0 };
};

}

#endif
