#include "apps/samphiresail/gateway/gatewayprocess.hpp"

#include <algorithm>
#include <exception>
#include <string>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "apps/samphiresail/gateway/recordkeys.hpp"
#include "components/gateway/peercodec.hpp"

namespace samphiresail::gatewayapp {

namespace asio = boost::asio;
using frontend::ErrorCode;
using frontend::RedirectError;
using gateway::Leadership;
using std::chrono::milliseconds;

namespace {

/// Interval at which the next leadership step is determined.
constexpr milliseconds kLeadershipPollInterval{ 100 };
/// An entry with fewer cores than this fraction of the largest entry's delays taking over
/// the leadership: planning uses processor time that its callers' requests need.
constexpr double kMinLeaderCoreFraction = 0.5;
/// Takeover delay of an entry with fewer cores, so that one with more cores leads.
constexpr milliseconds kFewCoresTakeoverDelay{ 1500 };
/// Added to the takeover delay while an entry may not have discovered the others yet.
constexpr milliseconds kJoiningTakeoverDelay{ 1000 };
/// Interval of the log line that states demand and replicas.
constexpr milliseconds kPlacementLogInterval{ 1000 };
/// Number of models, those with the highest demand, in that line.
constexpr std::size_t kLoggedModels = 8;
/// Added to the demand for an adapter, in engines, while requests wait for it, so that it
/// is loaded before all others.
constexpr double kAwaitedAdapterDemand = 1000.0;
/// Delay before a new leader orders loads, since it does not know which loads an earlier
/// leader has started.
constexpr milliseconds kNewLeaderLoadDelay{ 1000 };

}

void GatewayProcess::PlaceModels(timing::Instant aNow)
{
  const std::optional<std::int64_t> token = mLeadership.Token(aNow);
  if (token.has_value() != mLeading) {
    mLeading = token.has_value();
    mLogger.Info(mLeading ? "leadership begins" : "leadership ends",
                 { { "token", token.value_or(0) }, { "lease", mLeadership.Lease() } });
    mOrderTracker.Reset(mSettings.mFirstStart ? aNow : aNow + kNewLeaderLoadDelay);
  }
  if (!token || !mControl.Configuration() || mStop.Begun()) {
    return;
  }
  const auto others = mPeers.ModelDemand(aNow);
  const auto awaited = AwaitedAdapters(aNow);
  const auto demand = [&](const ids::ModelId& aModel, const std::string& aAdapter) {
    const std::string name = gateway::DemandMeter::Name(aModel, aAdapter);
    const std::uint64_t key = gateway::HashName(name);
    const auto it = others.find(key);
    return mControl.mDemand.Rate(name, aNow) + (it == others.end() ? 0.0 : it->second) +
           (awaited.contains(key) ? kAwaitedAdapterDemand : 0.0);
  };
  for (const gateway::Service& service : mControl.Configuration()->mServices) {
    if (!service.mEngine) {
      continue;
    }
    if (aNow >= mNextPlacementLog) {
      mNextPlacementLog = aNow + kPlacementLogInterval;
      LogPlacement(service, demand);
    }
    for (gateway::EngineAction& action :
         mOrderTracker.Tick(service, mControl.mDirectory, demand, aNow)) {
      const gateway::Endpoint* endpoint = mControl.mDirectory.Find(action.mEndpoint);
      if (endpoint != nullptr) {
        asio::co_spawn(mIo,
                       ExecuteAction(std::move(action), endpoint->mReport, *token),
                       asio::detached);
      }
    }
  }
}

void GatewayProcess::LogPlacement(const gateway::Service& aService,
                                  const gateway::DemandLookup& aDemand)
{
  struct Row
  {
    double mDemand{ 0.0 };
    ids::ModelId mModel;
  };
  std::vector<Row> rows;
  for (const gateway::ModelSpec& model : aService.mEngine->mModels) {
    rows.push_back({ aDemand(model.mName, {}), model.mName });
  }
  const auto logged = std::min(rows.size(), kLoggedModels);
  std::ranges::partial_sort(rows,
                            rows.begin() + static_cast<std::ptrdiff_t>(logged),
                            std::ranges::greater{},
                            &Row::mDemand);
  rows.resize(logged);
  std::string text;
  for (const Row& row : rows) {
    const auto replicas =
      std::ranges::count_if(mControl.mDirectory.All(), [&row](const auto& aItem) {
        return aItem.second.HoldsModel(row.mModel);
      });
    text += row.mModel.Str() + " " + std::to_string(row.mDemand) + "/" +
            std::to_string(replicas) + " ";
  }
  mLogger.Info("placement", { { "service", aService.mName.Str() }, { "demand", text } });
}

asio::awaitable<void> GatewayProcess::ExecuteAction(gateway::EngineAction aAction,
                                                    gateway::EndpointReport aEndpoint,
                                                    std::int64_t aToken)
{
  if (!aAction.mOrder) {
    const auto report = co_await mEngines.Report(aEndpoint);
    mOrderTracker.OnReport(aEndpoint.mId, report, mClock.Now());
    co_return;
  }
  const gateway::EngineOrder order = *aAction.mOrder;
  const auto outcome = co_await mEngines.Order(aEndpoint, aAction, aToken);
  mOrderTracker.OnOutcome(aEndpoint.mId, outcome, mClock.Now());
  mLogger.Info("order",
               { { "endpoint", aEndpoint.mId.Str() },
                 { "kind", order.mKind == gateway::OrderKind::Load ? "load" : "unload" },
                 { "model", order.mModel.Str() },
                 { "adapter", order.mAdapter },
                 { "precondition", aAction.mPrecondition },
                 { "token", aToken },
                 { "outcome", static_cast<int>(outcome) } });
  const bool done = outcome == gateway::OrderOutcome::Accepted ||
                    outcome == gateway::OrderOutcome::AlreadyInState;
  if (done && order.mKind == gateway::OrderKind::Load && !order.mAdapter.empty()) {
    OnAdapterLoaded(aEndpoint.mId, order);
  } else if (done && !order.mAdapter.empty()) {
    PlaceModels(mClock.Now());
  }
  if (outcome == gateway::OrderOutcome::Fenced) {
    mLeadership.OnFenced(mClock.Now());
  }
}

milliseconds GatewayProcess::LeadershipTakeoverDelay(timing::Instant aNow) const
{
  const bool fewCores = mSettings.mCores < kMinLeaderCoreFraction * mPeers.MaxCores();
  return (fewCores ? kFewCoresTakeoverDelay : milliseconds(0)) +
         (mPeers.IsJoining(aNow) ? kJoiningTakeoverDelay : milliseconds(0));
}

asio::awaitable<void> GatewayProcess::LeadershipLoop()
{
  asio::steady_timer timer(mIo);
  for (;;) {
    mLeadership.SetTakeoverDelay(LeadershipTakeoverDelay(mClock.Now()));
    const Leadership::Step step =
      !mStop.Begun() ? mLeadership.Next(mClock.Now()) : Leadership::Step::None;
    try {
      if (step != Leadership::Step::None) {
        co_await ExecuteLeadershipStep(step);
      }
    } catch (const std::exception& error) {
      mLogger.Error("leadership step failed", { { "error", std::string(error.what()) } });
    }
    ErrorCode ec;
    timer.expires_after(kLeadershipPollInterval);
    co_await timer.async_wait(RedirectError(ec));
  }
}

asio::awaitable<void> GatewayProcess::ExecuteLeadershipStep(Leadership::Step aStep)
{
  mLeadership.SetGeneration(mStore.Generation());
  const timing::Instant sent = mClock.Now();
  const std::int64_t lease = mLeadership.Lease();
  const std::int64_t replaced = mLeadership.ReplacedRevision();
  store::StoreRequest request;
  switch (aStep) {
    case Leadership::Step::GrantLease:
      request = store::LeaseGrantRequest{ Leadership::kLeaseTimeToLive };
      break;
    case Leadership::Step::KeepLease:
      request = store::LeaseKeepAliveRequest{ lease };
      break;
    case Leadership::Step::WriteMember:
      request = store::TransactionRequest{
        {},
        { store::PutOperation{
          std::string(kMemberPrefix) + mSettings.mName.Str(),
          gateway::EncodeMember({ mSettings.mName,
                                  { mSettings.mIp, mSettings.mFirstPeerPort },
                                  mSettings.mCores,
                                  mSettings.mZone }),
          lease } }
      };
      break;
    case Leadership::Step::CreateLeader:
      request = store::TransactionRequest{
        { { std::string(kLeaderKey), replaced } },
        { store::PutOperation{ std::string(kLeaderKey),
                               gateway::FormatLeaderClaim(mLeadership.OwnClaim()),
                               lease } }
      };
      break;
    case Leadership::Step::None:
      co_return;
  }
  const store::StoreReply reply =
    co_await mStore.Execute(std::move(request), kStoreTimeout);
  const timing::Instant now = mClock.Now();
  if (reply.mOutcome != store::StoreOutcome::Answered) {
    mLeadership.OnStepFailed(now);
    co_return;
  }
  if (!reply.mSucceeded) {
    if (aStep == Leadership::Step::CreateLeader && !reply.mRecords.empty()) {
      // Another entry wrote the record first; the watch will also report it.
      const store::KeyValue& record = reply.mRecords.front();
      mLeadership.OnLeaderRecord({ true,
                                   gateway::ParseLeaderClaim(record.mValue),
                                   record.mLease,
                                   record.mModRevision });
    } else if (aStep == Leadership::Step::CreateLeader && replaced != 0) {
      // The record to be replaced is gone.
      mLeadership.OnLeaderRecord({});
    } else {
      mLeadership.OnLeaseLost();
    }
    mLeadership.OnStepFailed(now);
    co_return;
  }
  switch (aStep) {
    case Leadership::Step::GrantLease:
      mLeadership.OnLeaseGranted(reply.mLease, reply.mTimeToLive, sent, now);
      break;
    case Leadership::Step::KeepLease:
      mLeadership.OnLeaseKept(sent);
      break;
    case Leadership::Step::WriteMember:
      mLeadership.OnMemberWritten();
      break;
    case Leadership::Step::CreateLeader:
      mLeadership.OnLeaderCreated(reply.mRevision, now);
      break;
    case Leadership::Step::None:
      break;
  }
}

}
