#ifndef SAMPHIRESAIL_APPS_SAMPHIRESAIL_ENTRY_AGENTPROBER_HPP
#define SAMPHIRESAIL_APPS_SAMPHIRESAIL_ENTRY_AGENTPROBER_HPP

#include <cstdint>
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

/// Keeps the endpoint table up to date: follows the agents of the snapshot, asks agents
/// for load and models, and brings the limits of its pool to an agent that is behind.
///
/// The probes of all agents share one budget, so that their cost does not grow with the
/// fleet. Between probes the load of an endpoint that is in use comes with its answers.
class AgentProber
{
public:
  AgentProber(const SharedState& aState,
              AgentLink& aAgents,
              routing::EndpointTable& aEndpoints);

  /// Sends the probes that are due.
  void Tick(timing::Instant aNow);

  /// Has the agent probed soon, because it got an order.
  void ProbeSoon(const transport::PeerAddress& aAddress, timing::Instant aNow);

  /// Takes an answer to a probe. Returns when the probe was sent, or the epoch if it was
  /// not the last one to the agent.
  timing::Instant OnReport(const transport::PeerAddress& aAddress,
                           const wire::Envelope& aEnvelope,
                           timing::Instant aNow);

private:
  struct Row
  {
    transport::PeerAddress mAddress;
    ids::PoolId mPool;
    units::Incarnation mIncarnation;
    timing::Instant mDueAt;
    /// Last probe.
    std::uint64_t mNonce{ 0 };
    timing::Instant mAskedAt;
    /// Configuration that this entry had when it sent the last probe.
    units::Version mProbedUnder;
    /// True if a report showed that the agent lacks the configuration of the probe.
    bool mBehind{ false };
  };

  void FollowSnapshot(const RoutingSnapshot& aSnapshot, timing::Instant aNow);
  void SendProbe(Row& aRow, const RoutingSnapshot& aSnapshot, timing::Instant aNow);
  const std::string& PoolDocument(const RoutingSnapshot& aSnapshot,
                                  const ids::PoolId& aPool);
  std::size_t TakeBudget(timing::Instant aNow);

  const SharedState& mState;
  AgentLink& mAgents;
  routing::EndpointTable& mEndpoints;
  std::mutex mMutex;
  SnapshotPointer mFollowed;
  std::map<ids::EndpointId, Row> mRows;
  std::map<ids::PoolId, std::string> mDocuments;
  std::uint64_t mNonce{ 0 };
  double mBudget{ 0 };
  timing::Instant mBudgetAt;
};

}

#endif
