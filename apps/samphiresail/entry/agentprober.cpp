#include "apps/samphiresail/entry/agentprober.hpp"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>

#include "apps/samphiresail/entry/endpointreports.hpp"
#include "components/catalogue/configurationcodec.hpp"

namespace samphiresail::entry {

namespace {

/// Probes that an entry sends per second to all agents together.
constexpr double kProbesPerSecond = 40.0;
/// Probes that may be sent in one tick after a pause.
constexpr double kProbeBurst = 40.0;
constexpr std::chrono::milliseconds kShortestInterval{ 500 };
/// Interval of the probes of an agent that loads a model.
constexpr std::chrono::milliseconds kLoadingInterval{ 200 };

template<typename Row, typename Keep>
std::vector<Row> Filter(const std::vector<Row>& aRows, Keep aKeep)
{
  std::vector<Row> rows;
  std::ranges::copy_if(aRows, std::back_inserter(rows), aKeep);
  return rows;
}

timing::Duration IntervalFor(std::size_t aAgents)
{
  const std::chrono::duration<double> fair(static_cast<double>(aAgents) /
                                           kProbesPerSecond);
  return std::max<timing::Duration>(kShortestInterval,
                                    std::chrono::duration_cast<timing::Duration>(fair));
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

void AgentProber::FollowSnapshot(const RoutingSnapshot& aSnapshot, timing::Instant aNow)
{
  mDocuments.clear();
  std::map<ids::EndpointId, Row> rows;
  for (const AgentRow& agent : aSnapshot.Agents()) {
    const auto known = mRows.find(agent.mEndpoint);
    const bool same =
      known != mRows.end() && known->second.mIncarnation == agent.mIncarnation;
    Row row = same ? known->second : Row{ .mDueAt = aNow };
    row.mAddress = agent.mAddress;
    row.mPool = agent.mPool;
    row.mIncarnation = agent.mIncarnation;
    rows.emplace(agent.mEndpoint, std::move(row));
    if (agent.mServing) {
      mEndpoints.Put({ .mName = agent.mEndpoint,
                       .mPool = agent.mPool,
                       .mAvailabilityZone = agent.mAvailabilityZone,
                       .mAddress = agent.mAddress,
                       .mIncarnation = agent.mIncarnation });
    } else {
      mEndpoints.Remove(agent.mEndpoint);
    }
  }
  for (const auto& [name, row] : mRows) {
    if (!rows.contains(name)) {
      mEndpoints.Remove(name);
    }
  }
  mRows = std::move(rows);
}

const std::string& AgentProber::PoolDocument(const RoutingSnapshot& aSnapshot,
                                             const ids::PoolId& aPool)
{
  std::string& document = mDocuments[aPool];
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

std::size_t AgentProber::TakeBudget(timing::Instant aNow)
{
  const std::chrono::duration<double> elapsed = aNow - mBudgetAt;
  mBudgetAt = aNow;
  mBudget = std::min(mBudget + elapsed.count() * kProbesPerSecond, kProbeBurst);
  return static_cast<std::size_t>(mBudget);
}

void AgentProber::Tick(timing::Instant aNow)
{
  const SnapshotPointer snapshot = mState.Snapshot();
  if (!snapshot) {
    return;
  }
  const std::lock_guard lock(mMutex);
  if (snapshot != mFollowed) {
    FollowSnapshot(*snapshot, aNow);
    mFollowed = snapshot;
  }
  std::vector<Row*> due;
  for (auto& [name, row] : mRows) {
    if (row.mDueAt <= aNow) {
      due.push_back(&row);
    }
  }
  std::ranges::sort(due, {}, &Row::mDueAt);
  due.resize(std::min(due.size(), TakeBudget(aNow)));
  mBudget -= static_cast<double>(due.size());
  for (Row* row : due) {
    row->mDueAt = aNow + IntervalFor(mRows.size());
    SendProbe(*row, *snapshot, aNow);
  }
}

void AgentProber::ProbeSoon(const transport::PeerAddress& aAddress, timing::Instant aNow)
{
  const std::lock_guard lock(mMutex);
  for (auto& [name, row] : mRows) {
    if (row.mAddress == aAddress) {
      row.mDueAt = std::min(row.mDueAt, aNow + kLoadingInterval);
    }
  }
}

void AgentProber::SendProbe(Row& aRow,
                            const RoutingSnapshot& aSnapshot,
                            timing::Instant aNow)
{
  wire::Envelope envelope;
  envelope.set_configuration_version(aSnapshot.Version().Count());
  wire::Probe* probe = envelope.mutable_probe();
  probe->set_nonce(++mNonce);
  aRow.mNonce = mNonce;
  aRow.mAskedAt = aNow;
  probe->set_want_models(true);
  // All entries see a change at once; only those that find the agent behind send it.
  if (std::exchange(aRow.mBehind, false)) {
    probe->set_pool_document(PoolDocument(aSnapshot, aRow.mPool));
  }
  aRow.mProbedUnder = aSnapshot.Version();
  mAgents.SendTo(aRow.mAddress, std::move(envelope));
}

timing::Instant AgentProber::OnReport(const transport::PeerAddress& aAddress,
                                      const wire::Envelope& aEnvelope,
                                      timing::Instant aNow)
{
  const wire::LoadReport& report = aEnvelope.load_report();
  mAgents.StoreTicket(aAddress, report.ticket());
  const ids::EndpointId endpoint(report.endpoint());
  timing::Instant askedAt;
  {
    const std::lock_guard lock(mMutex);
    const auto it = mRows.find(endpoint);
    if (it == mRows.end() || it->second.mIncarnation.Count() != report.incarnation()) {
      return askedAt;
    }
    Row& row = it->second;
    if (row.mNonce == report.nonce()) {
      askedAt = row.mAskedAt;
    }
    if (units::Version(aEnvelope.configuration_version()) < row.mProbedUnder) {
      row.mBehind = true;
      row.mDueAt = aNow;
    }
    if (std::ranges::any_of(report.models(), &wire::ModelState::loading)) {
      row.mDueAt = std::min(row.mDueAt, aNow + kLoadingInterval);
    }
  }
  mEndpoints.ReportLoad(endpoint, ReadLoad(report.load()), aNow);
  mEndpoints.ReportModels(endpoint, ReadModels(report), aNow);
  return askedAt;
}

}
