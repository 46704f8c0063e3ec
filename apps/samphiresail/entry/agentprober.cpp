#include "apps/samphiresail/entry/agentprober.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

#include "apps/samphiresail/entry/endpointreports.hpp"
#include "components/catalogue/configurationcodec.hpp"

namespace samphiresail::entry {

namespace {

template<typename Row, typename Keep>
std::vector<Row> Filter(const std::vector<Row>& aRows, Keep aKeep)
{
  std::vector<Row> rows;
  std::ranges::copy_if(aRows, std::back_inserter(rows), aKeep);
  return rows;
}

}

AgentProber::AgentProber(const SharedState& aState,
                         AgentLink& aAgents,
                         routing::EndpointTable& aEndpoints)
  : mState(aState)
  , mAgents(aAgents)
  , mEndpoints(aEndpoints)
{
}

void AgentProber::FollowSnapshot(const RoutingSnapshot& aSnapshot)
{
  mDocuments.clear();
  std::vector<ids::EndpointId> known;
  for (const AgentRow& agent : aSnapshot.Agents()) {
    if (!agent.mServing) {
      continue;
    }
    known.push_back(agent.mEndpoint);
    mEndpoints.Put({ .mName = agent.mEndpoint,
                     .mPool = agent.mPool,
                     .mAvailabilityZone = agent.mAvailabilityZone,
                     .mAddress = agent.mAddress,
                     .mIncarnation = agent.mIncarnation });
  }
  std::ranges::sort(known);
  for (const ids::EndpointId& name : mKnown) {
    if (!std::ranges::binary_search(known, name)) {
      mEndpoints.Remove(name);
    }
  }
  mKnown = std::move(known);
}

std::string AgentProber::PoolDocument(const RoutingSnapshot& aSnapshot,
                                      const ids::PoolId& aPool)
{
  auto& document = mDocuments[aPool];
  if (document.empty()) {
    const catalogue::Catalogue& whole = aSnapshot.Configuration().mCatalogue;
    catalogue::Configuration reduced;
    reduced.mVersion = aSnapshot.Version();
    reduced.mCatalogue.mPools =
      Filter(whole.mPools, [&](const auto& aRow) { return aRow.mName == aPool; });
    reduced.mCatalogue.mModels =
      Filter(whole.mModels, [&](const auto& aRow) { return aRow.mPool == aPool; });
    reduced.mCatalogue.mServices =
      Filter(whole.mServices, [&](const auto& aRow) { return aRow.mPool == aPool; });
    document = catalogue::EncodeConfiguration(reduced);
  }
  return document;
}

void AgentProber::Tick(timing::Instant)
{
  const SnapshotPointer snapshot = mState.Snapshot();
  if (!snapshot) {
    return;
  }
  const std::lock_guard lock(mMutex);
  if (snapshot != mFollowed) {
    FollowSnapshot(*snapshot);
    mFollowed = snapshot;
  }
  for (const AgentRow& agent : snapshot->Agents()) {
    wire::Envelope envelope;
    envelope.set_configuration_version(snapshot->Version().Count());
    wire::Probe* probe = envelope.mutable_probe();
    probe->set_nonce(++mNonce);
    probe->set_want_models(true);
    if (mVersions[agent.mAddress] < snapshot->Version()) {
      probe->set_pool_document(PoolDocument(*snapshot, agent.mPool));
    }
    mAgents.SendTo(agent.mAddress, std::move(envelope));
  }
}

void AgentProber::OnReport(const transport::PeerAddress& aAddress,
                           const wire::Envelope& aEnvelope,
                           timing::Instant aNow)
{
  const wire::LoadReport& report = aEnvelope.load_report();
  {
    const std::lock_guard lock(mMutex);
    mVersions[aAddress] = units::Version(aEnvelope.configuration_version());
  }
  mAgents.StoreTicket(aAddress, report.ticket());
  const ids::EndpointId endpoint(report.endpoint());
  const auto known = mEndpoints.Find(endpoint);
  if (!known || known->mIncarnation.Count() != report.incarnation()) {
    return;
  }
  mEndpoints.ReportLoad(endpoint, ReadLoad(report.load()), aNow);
  mEndpoints.ReportModels(endpoint, ReadModels(report), aNow);
}

}
