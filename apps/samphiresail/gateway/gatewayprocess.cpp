#include "apps/samphiresail/gateway/gatewayprocess.hpp"

#include <algorithm>
#include <charconv>
#include <csignal>
#include <random>

#include <unistd.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "components/gateway/peercodec.hpp"

namespace samphiresail::gatewayapp {

namespace asio = boost::asio;
using asio::ip::udp;
using frontend::ErrorCode;
using frontend::Into;
using gateway::Leadership;
using std::chrono::milliseconds;

namespace {

/// Step of the tables' systems: the resolution of every deadline.
constexpr milliseconds kTick{ 40 };
/// Every so often the other entries are told this one's load.
constexpr milliseconds kDigestEvery{ 250 };
/// With more entries digests go out less often, so that each hears as many a second.
constexpr milliseconds kDigestPerEntry{ 25 };
/// Pause that is kept between two digests in any case.
constexpr milliseconds kDigestLeast{ 40 };
/// How long digests tell of an adapter that was loaded, against lost datagrams.
constexpr milliseconds kLoadedNews{ 700 };
constexpr milliseconds kPlacementEvery{ 200 };
constexpr milliseconds kUpkeepEvery{ 1000 };
constexpr milliseconds kLeaseLook{ 100 };
constexpr milliseconds kStoreLimit{ 900 };
/// After the signal to stop the balancer needs two missed probes, a second apart.
constexpr milliseconds kStopLinger{ 3000 };
/// Idle connections are kept a little longer, for callers that reuse them.
constexpr milliseconds kStopIdle{ 2600 };
/// Time before the kill at which a stopping process ends whatever still runs.
constexpr milliseconds kStopMargin{ 500 };
/// Time that a new leader waits beyond the lease of an earlier one's orders.
constexpr milliseconds kQuietMargin{ 300 };
/// A new leader does not know the loads that an earlier one began.
constexpr milliseconds kLoadsPause{ 1000 };
/// Descriptors kept for connections to endpoints, the store and files.
constexpr std::size_t kOwnDescriptors = 1200;

const std::string kMemberPrefix = "samphiresail/entries/";
const std::string kLeaderKey = "samphiresail/leader";
/// Most entries that were ever seen at work together; restarted ones share limits by it.
const std::string kEntryCountKey = "samphiresail/entry-count";

std::uint64_t DrawSeed()
{
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

std::uint64_t WallMillis(const timing::Clock& aClock)
{
  return static_cast<std::uint64_t>(
    std::chrono::duration_cast<milliseconds>(aClock.WallNow().time_since_epoch())
      .count());
}

}

GatewayProcess::GatewayProcess(const GatewayOptions& aOptions,
                               std::string aSettingsPath,
                               platform::Settings aSettings,
                               const timing::Clock& aClock)
  : mOptions(aOptions)
  , mSettingsPath(std::move(aSettingsPath))
  , mSettings(std::move(aSettings))
  , mClock(aClock)
  , mLogOutput(STDOUT_FILENO)
  , mLogStream(&mLogOutput)
  , mLogger(mSettings.mName.Str(), logging::ParseLevel(aOptions.mLogLevel), mLogStream)
  , mMetrics(mRegistry)
  , mIncarnation(WallMillis(aClock))
  , mControl(mSettings.mZone, DrawSeed())
  , mPeers(mSettings.mName, aClock.Now())
  , mLeadership(mSettings.mOrderLease + kQuietMargin, mSettings.mFirstStart)
  , mClient(mIo)
  , mStore(mClient, mSettings.mStore)
  , mEngines(mClient, mSettings.mName)
  , mFeed(mIo, mStore, *this, aClock, mLogger, DrawSeed())
  , mBackends(mIo)
  , mPlacementChanged(mIo)
  , mFrontend{ mIo,        mClock,  mDialect, mControl,          mBackends,
               mExchanges, mLogger, mMetrics, mPlacementChanged, [this] { HurryDigest(); } }
  , mCallers(mFrontend,
             mSettings.mCallers,
             mSettings.mMaxDescriptors > 2 * kOwnDescriptors
               ? mSettings.mMaxDescriptors - kOwnDescriptors
               : mSettings.mMaxDescriptors / 2)
  , mReadiness(mIo,
               mSettings.mReadiness,
               [this](std::string_view) { return Readiness(); })
  , mPeerSocket(mIo)
  , mSignals(mIo, SIGTERM, SIGHUP, SIGINT)
{
  ApplySettings();
  if (mOptions.mMetricsPort != 0) {
    mMetricsListener = std::make_unique<frontend::StatusListener>(
      mIo,
      settings::SocketAddress{ mSettings.mIp, mOptions.mMetricsPort },
      [this](std::string_view) {
        return frontend::StatusListener::Answer{ 200, mRegistry.Text() };
      });
  }
  mPeerSocket.open(udp::v4());
  mPeerSocket.bind(
    { asio::ip::make_address_v4(mSettings.mIp), mSettings.mFirstPeerPort });
  mPeerSocket.non_blocking(true);
}

void GatewayProcess::ApplySettings()
{
  mControl.mRepeats.SetLimits(
    { mSettings.mRepeatWindow, mSettings.mRepeatRatio, mSettings.mRepeatSlack });
  mControl.mCold.SetTolerance(mSettings.mColdOverage, mSettings.mColdSlack);
  mControl.mQuotas.SetTerms(
    { mSettings.mQuotaWindow, mSettings.mQuotaOverage, mSettings.mQuotaSlack });
}

void GatewayProcess::Run()
{
  std::signal(SIGPIPE, SIG_IGN);
  mLogger.Info("start",
               { { "zone", mSettings.mZone.Str() },
                 { "first_start", mSettings.mFirstStart },
                 { "incarnation", mIncarnation } });
  mCallers.Start();
  mReadiness.Start();
  if (mMetricsListener) {
    mMetricsListener->Start();
  }
  asio::co_spawn(
    mIo, [this] { return mFeed.Run(); }, asio::detached);
  asio::co_spawn(
    mIo, [this] { return LeaseLoop(); }, asio::detached);
  asio::co_spawn(
    mIo, [this] { return ReceiveDigests(); }, asio::detached);
  asio::co_spawn(
    mIo, [this] { return HandleSignals(); }, asio::detached);
  asio::co_spawn(
    mIo, [this] { return TickLoop(); }, asio::detached);
  mIo.run();
  mLogger.Info("stop", { { "requests_left", mExchanges.Size() } });
  mLogOutput.Flush();
}

asio::awaitable<void> GatewayProcess::TickLoop()
{
  asio::steady_timer timer(mIo);
  while (!mStopped) {
    ErrorCode ec;
    timer.expires_after(kTick);
    co_await timer.async_wait(Into(ec));
    Tick(mClock.Now());
  }
  mIo.stop();
}

void GatewayProcess::Tick(timing::Instant aNow)
{
  mExchanges.Tick(aNow, [&](const frontend::Exchange& aExchange) {
    return mControl.MayRepeat(aExchange.mAdmission, aExchange.mSent, aNow);
  });
  mCallers.Tick(aNow);
  mControl.Tick(aNow);
  mPeers.Tick(aNow);
  mPlacementChanged.Notify();
  if (aNow >= mNextDigest) {
    const auto entries = static_cast<std::int64_t>(mPeers.Entries(aNow));
    mNextDigest = aNow + std::max(kDigestEvery, kDigestPerEntry * entries);
    UpdateShares(aNow);
    SendDigest(aNow);
  }
  if (aNow >= mNextPlacement) {
    mNextPlacement = aNow + kPlacementEvery;
    PlaceModels(aNow);
  }
  mLogOutput.Flush();
  if (aNow >= mNextUpkeep) {
    mNextUpkeep = aNow + kUpkeepEvery;
    mBackends.Tick(aNow);
    if (const std::size_t dropped = mLogOutput.TakeDropped()) {
      mLogger.Warn("log lines dropped", { { "lines", dropped } });
    }
    RecordEntries();
  }
  if (mStopBegan != timing::Instant::max()) {
    const timing::Duration since = aNow - mStopBegan;
    const bool served = since >= kStopLinger && mExchanges.Size() == 0;
    mStopped = served || since >= mSettings.mStopGrace - kStopMargin;
  }
}

void GatewayProcess::RecordEntries()
{
  const std::size_t known = mPeers.Known();
  if (known <= mPeers.Recorded() || mControl.mContact.AfterOutage(mClock.Now())) {
    return;
  }
  mPeers.SetRecorded(known);
  asio::co_spawn(
    mIo,
    [this, known]() -> asio::awaitable<void> {
      store::TransactionRequest write;
      write.mWrites.emplace_back(
        store::PutOperation{ kEntryCountKey, std::to_string(known), 0 });
      store::StoreRequest request = std::move(write);
      // A write that fails is made good by another entry or after the next restart.
      co_await mStore.Execute(std::move(request), kStoreLimit);
    },
    asio::detached);
}

void GatewayProcess::UpdateShares(timing::Instant aNow)
{
  mControl.SetEntries(mPeers.Entries(aNow));
  mFeed.SetEntries(mPeers.Entries(aNow));
  std::unordered_map<ids::EndpointId, unsigned> counts;
  for (const auto& [id, endpoint] : mControl.mDirectory.All()) {
    counts.emplace(id, mPeers.InFlight(id, aNow));
  }
  mControl.mDirectory.SetPeersInFlight(counts);
  if (!mControl.Configuration()) {
    return;
  }
  const bool allHear = mPeers.AllHearAll(aNow);
  for (const gateway::ClientAccount& account : mControl.Configuration()->mAccounts) {
    mControl.mQuotas.SetPeers(account.mName,
                              mPeers.AccountQuotas(account.mName),
                              mPeers.Entries(aNow),
                              allHear,
                              aNow);
  }
}

void GatewayProcess::SendDigest(timing::Instant aNow)
{
  gateway::PeerDigest digest;
  digest.mProcess = mSettings.mName;
  digest.mIncarnation = mIncarnation;
  digest.mNumber = ++mDigestNumber;
  digest.mHearsAll = mPeers.HearsAll(aNow);
  for (const auto& [id, endpoint] : mControl.mDirectory.All()) {
    if (endpoint.mInFlight > 0) {
      digest.mInFlight.emplace(gateway::DigestKey(id.Str()), endpoint.mInFlight);
    }
  }
  if (mControl.Configuration()) {
    for (const gateway::ClientAccount& account : mControl.Configuration()->mAccounts) {
      digest.mAdmitted.emplace(gateway::DigestKey(account.mName.Str()),
                               mControl.mQuotas.Admitted(account.mName));
    }
  }
  mControl.mDemand.ForEach(aNow, [&](const std::string& aName, double aRate) {
    digest.mModelDemand.emplace(gateway::DigestKey(aName), aRate);
  });
  std::erase_if(mLoaded,
                [aNow](const auto& aItem) { return aItem.first + kLoadedNews <= aNow; });
  std::ranges::transform(mLoaded,
                         std::back_inserter(digest.mLoaded),
                         [](const auto& aItem) { return aItem.second; });
  mLastDigest = aNow;
  const std::string bytes = gateway::EncodeDigest(digest);
  for (const settings::SocketAddress& address : mPeers.Addresses()) {
    ErrorCode ec;
    const auto host = asio::ip::make_address_v4(address.mHost, ec);
    if (!ec) {
      // A lost digest is followed by the next one.
      mPeerSocket.send_to(asio::buffer(bytes), udp::endpoint(host, address.mPort), 0, ec);
    }
  }
}

asio::awaitable<void> GatewayProcess::ReceiveDigests()
{
  for (;;) {
    ErrorCode ec;
    udp::endpoint sender;
    const std::size_t n =
      co_await mPeerSocket.async_receive_from(asio::buffer(mDatagram), sender, Into(ec));
    if (ec == asio::error::operation_aborted) {
      co_return;
    }
    if (ec) {
      continue;
    }
    auto digest = gateway::DecodeDigest({ mDatagram.data(), n });
    if (!digest) {
      continue;
    }
    const timing::Instant now = mClock.Now();
    const std::vector<gateway::LoadedAdapter> loaded = digest->mLoaded;
    if (!mPeers.Take(std::move(*digest), now)) {
      continue;
    }
    for (const gateway::LoadedAdapter& item : loaded) {
      mControl.mDirectory.Announce(item, now);
    }
    if (!loaded.empty()) {
      mPlacementChanged.Notify();
    }
    if (mLeading) {
      // What an entry waits for shall not wait for the tick.
      PlaceModels(now);
    }
  }
}

void GatewayProcess::HurryDigest()
{
  const timing::Instant now = mClock.Now();
  if (mLeading) {
    PlaceModels(now);
  }
  if (now - mLastDigest >= kDigestLeast) {
    SendDigest(now);
  } else {
    mNextDigest = std::min(mNextDigest, mLastDigest + kDigestLeast);
  }
}

void GatewayProcess::NoteLoaded(const ids::EndpointId& aEndpoint,
                                const gateway::EngineOrder& aOrder)
{
  const gateway::LoadedAdapter loaded{ gateway::DigestKey(aEndpoint.Str()),
                                       gateway::DigestKey(gateway::DemandMeter::Name(
                                         aOrder.mModel, aOrder.mAdapter)) };
  mLoaded.emplace_back(mClock.Now(), loaded);
  mControl.mDirectory.Announce(loaded, mClock.Now());
  mPlacementChanged.Notify();
  HurryDigest();
}

void GatewayProcess::PlaceModels(timing::Instant aNow)
{
  const std::optional<std::int64_t> token = mLeadership.Token(aNow);
  if (token.has_value() != mLeading) {
    mLeading = token.has_value();
    mLogger.Info(mLeading ? "leadership begins" : "leadership ends",
                 { { "token", token.value_or(0) } });
    mOrders.Reset(mSettings.mFirstStart ? aNow : aNow + kLoadsPause);
  }
  if (!token || !mControl.Configuration() || mStopBegan != timing::Instant::max()) {
    return;
  }
  const auto demand = [&](const ids::ModelId& aModel, const std::string& aAdapter) {
    const std::string name = gateway::DemandMeter::Name(aModel, aAdapter);
    return mControl.mDemand.Rate(name, aNow) + mPeers.ModelDemand(name, aNow);
  };
  for (const gateway::Service& service : mControl.Configuration()->mServices) {
    if (!service.mEngine) {
      continue;
    }
    for (gateway::EngineAction& action :
         mOrders.Tick(service, mControl.mDirectory, demand, aNow)) {
      const gateway::Endpoint* endpoint = mControl.mDirectory.Find(action.mEndpoint);
      if (endpoint != nullptr) {
        asio::co_spawn(
          mIo, Act(std::move(action), endpoint->mReport, *token), asio::detached);
      }
    }
  }
}

asio::awaitable<void> GatewayProcess::Act(gateway::EngineAction aAction,
                                          gateway::EndpointReport aEndpoint,
                                          std::int64_t aToken)
{
  if (!aAction.mOrder) {
    const auto report = co_await mEngines.Report(aEndpoint);
    mOrders.OnReport(aEndpoint.mId, report, mClock.Now());
    co_return;
  }
  const gateway::EngineOrder order = *aAction.mOrder;
  const auto outcome = co_await mEngines.Order(aEndpoint, aAction, aToken);
  mOrders.OnOutcome(aEndpoint.mId, outcome, mClock.Now());
  mLogger.Info("order",
               { { "endpoint", aEndpoint.mId.Str() },
                 { "kind", order.mKind == gateway::OrderKind::Load ? "load" : "unload" },
                 { "model", order.mModel.Str() },
                 { "adapter", order.mAdapter },
                 { "precondition", aAction.mPrecondition },
                 { "token", aToken },
                 { "outcome", static_cast<int>(outcome) } });
  const bool done = outcome == gateway::OrderOutcome::Accepted ||
                    outcome == gateway::OrderOutcome::AlreadySo;
  if (done && order.mKind == gateway::OrderKind::Load && !order.mAdapter.empty()) {
    NoteLoaded(aEndpoint.mId, order);
  } else if (done && !order.mAdapter.empty()) {
    PlaceModels(mClock.Now());
  }
  if (outcome == gateway::OrderOutcome::Fenced) {
    mLeadership.Fenced(mClock.Now());
  }
}

asio::awaitable<void> GatewayProcess::LeaseLoop()
{
  asio::steady_timer timer(mIo);
  for (;;) {
    const Leadership::Step step = mStopBegan == timing::Instant::max()
                                    ? mLeadership.Next(mClock.Now())
                                    : Leadership::Step::None;
    if (step != Leadership::Step::None) {
      co_await TakeLeaseStep(step);
    }
    ErrorCode ec;
    timer.expires_after(kLeaseLook);
    co_await timer.async_wait(Into(ec));
  }
}

asio::awaitable<void> GatewayProcess::TakeLeaseStep(Leadership::Step aStep)
{
  const timing::Instant sent = mClock.Now();
  const std::int64_t lease = mLeadership.Lease();
  store::StoreRequest request;
  switch (aStep) {
    case Leadership::Step::GrantLease:
      request = store::LeaseGrantRequest{ Leadership::kLease };
      break;
    case Leadership::Step::KeepLease:
      request = store::LeaseKeepAliveRequest{ lease };
      break;
    case Leadership::Step::WriteMember:
      request = store::TransactionRequest{
        {},
        { store::PutOperation{
          kMemberPrefix + mSettings.mName.Str(),
          gateway::EncodeMember(
            { mSettings.mName, { mSettings.mIp, mSettings.mFirstPeerPort } }),
          lease } }
      };
      break;
    case Leadership::Step::CreateLeader:
      request = store::TransactionRequest{
        { { kLeaderKey, 0 } },
        { store::PutOperation{ kLeaderKey, mSettings.mName.Str(), lease } }
      };
      break;
    case Leadership::Step::None:
      co_return;
  }
  const store::StoreReply reply =
    co_await mStore.Execute(std::move(request), kStoreLimit);
  const timing::Instant now = mClock.Now();
  if (reply.mOutcome != store::StoreOutcome::Answered) {
    mLeadership.StepFailed(now);
    co_return;
  }
  if (!reply.mSucceeded) {
    if (aStep == Leadership::Step::CreateLeader && !reply.mRecords.empty()) {
      // Another entry was first; the watch will say so too.
      mLeadership.LeaderRecord(
        true, reply.mRecords.front().mLease, reply.mRecords.front().mCreateRevision);
    } else {
      mLeadership.LeaseLost();
    }
    mLeadership.StepFailed(now);
    co_return;
  }
  switch (aStep) {
    case Leadership::Step::GrantLease:
      mLeadership.LeaseGranted(reply.mLease, Leadership::kLease, sent);
      break;
    case Leadership::Step::KeepLease:
      mLeadership.LeaseKept(sent);
      break;
    case Leadership::Step::WriteMember:
      mLeadership.MemberWritten();
      break;
    case Leadership::Step::CreateLeader:
      mLeadership.LeaderCreated(reply.mRevision, now);
      break;
    case Leadership::Step::None:
      break;
  }
}

asio::awaitable<void> GatewayProcess::HandleSignals()
{
  for (;;) {
    ErrorCode ec;
    const int signal = co_await mSignals.async_wait(Into(ec));
    if (ec) {
      co_return;
    }
    if (signal == SIGHUP) {
      Reload();
    } else {
      BeginStop();
    }
  }
}

void GatewayProcess::BeginStop()
{
  if (mStopBegan != timing::Instant::max()) {
    return;
  }
  mStopBegan = mClock.Now();
  mCallers.Drain(mStopBegan + kStopIdle);
  mControl.RefuseFrom(mStopBegan + kStopLinger);
  mLogger.Info("stop begins", { { "requests", mExchanges.Size() } });
  if (mLeadership.Lease() != 0) {
    asio::co_spawn(
      mIo,
      [this]() -> asio::awaitable<void> {
        store::StoreRequest request = store::LeaseRevokeRequest{ mLeadership.Lease() };
        co_await mStore.Execute(std::move(request), kStoreLimit);
      },
      asio::detached);
  }
}

void GatewayProcess::Reload()
{
  try {
    mSettings = platform::LoadSettings(mSettingsPath);
    ApplySettings();
    mLogger.Info("reload", { { "settings", mSettingsPath } });
  } catch (const std::exception& error) {
    mLogger.Error("reload failed; the old settings stay in force",
                  { { "error", std::string(error.what()) } });
  }
}

bool GatewayProcess::Ready(timing::Instant aNow) const
{
  return mStopBegan == timing::Instant::max() && mControl.Configuration() &&
         mEndpointsRead && mControl.mContact.Ready(aNow);
}

frontend::StatusListener::Answer GatewayProcess::Readiness() const
{
  return Ready(mClock.Now()) ? frontend::StatusListener::Answer{ 200, "ready\n" }
                             : frontend::StatusListener::Answer{ 503, "not ready\n" };
}

void GatewayProcess::OnConfiguration(
  std::shared_ptr<gateway::ServingConfiguration> aConfiguration)
{
  const auto& current = mControl.Configuration();
  if (current && aConfiguration->mVersion <= current->mVersion) {
    return;
  }
  mLogger.Info("configuration",
               { { "version", aConfiguration->mVersion },
                 { "routes", aConfiguration->mRoutes.size() },
                 { "accounts", aConfiguration->mAccounts.size() } });
  for (const gateway::ClientAccount& account : aConfiguration->mAccounts) {
    const gateway::ClientAccount* known =
      current ? current->FindAccount(account.mName) : nullptr;
    if (known == nullptr || known->mTokensPerSecond != account.mTokensPerSecond ||
        known->mKeys != account.mKeys) {
      mLogger.Info("account",
                   { { "account", account.mName.Str() },
                     { "keys", account.mKeys.size() },
                     { "tokens_per_second", account.mTokensPerSecond },
                     { "burst_tokens", account.mBurstTokens },
                     { "version", aConfiguration->mVersion } });
    }
  }
  mControl.SetConfiguration(std::move(aConfiguration), mClock.Now());
  UpdateShares(mClock.Now());
}

void GatewayProcess::OnZoneOut(const ids::AvailabilityZoneId& aZone, bool aOut)
{
  mControl.mDirectory.SetZoneOut(aZone, aOut, mClock.Now());
}

void GatewayProcess::OnEndpoint(gateway::EndpointReport aReport)
{
  const gateway::Endpoint* known = mControl.mDirectory.Find(aReport.mId);
  if (known == nullptr || known->mReport.mDraining != aReport.mDraining ||
      known->mReport.mIncarnation != aReport.mIncarnation) {
    mLogger.Info("endpoint",
                 { { "endpoint", aReport.mId.Str() },
                   { "zone", aReport.mZone.Str() },
                   { "draining", aReport.mDraining },
                   { "cold_ms", aReport.mColdFor.count() },
                   { "models", aReport.mModels.size() },
                   { "incarnation", aReport.mIncarnation } });
  }
  mControl.mDirectory.Update(std::move(aReport), mClock.Now());
}

void GatewayProcess::OnEndpointGone(const ids::EndpointId& aId)
{
  const timing::Instant now = mClock.Now();
  const bool lapse = mControl.mContact.AfterOutage(now);
  mLogger.Info("endpoint gone",
               { { "endpoint", aId.Str() }, { "may_have_lapsed", lapse } });
  mControl.mDirectory.Remove(aId, lapse, now);
}

void GatewayProcess::OnFullReading(const gateway::FullReading& aReading)
{
  const timing::Instant now = mClock.Now();
  mControl.mDirectory.RetainOnly(
    aReading.mEndpoints, mControl.mContact.AfterOutage(now), now);
  for (const ids::AvailabilityZoneId& zone : mControl.mDirectory.ZonesOut()) {
    mControl.mDirectory.SetZoneOut(zone, aReading.mZonesOut.contains(zone), now);
  }
  if (!aReading.mOwnKeys.contains(kLeaderKey)) {
    mLeadership.LeaderRecord(false, 0, 0);
  }
  for (const ids::ProcessId& process : mPeers.Registered()) {
    if (!aReading.mOwnKeys.contains(kMemberPrefix + process.Str())) {
      mPeers.Unregister(process, now);
    }
  }
  UpdateShares(now);
  mEndpointsRead = true;
}

void GatewayProcess::OnOwnRecord(const std::string& aKey,
                                 const std::optional<std::string>& aValue,
                                 std::int64_t aCreateRevision,
                                 std::int64_t aLease)
{
  const timing::Instant now = mClock.Now();
  if (aKey == kLeaderKey) {
    mLogger.Info(
      "leader record",
      { { "holder", aValue.value_or("none") }, { "revision", aCreateRevision } });
    mLeadership.LeaderRecord(aValue.has_value(), aLease, aCreateRevision);
  } else if (aKey == kEntryCountKey && aValue) {
    std::size_t entries = 0;
    std::from_chars(aValue->data(), aValue->data() + aValue->size(), entries);
    mPeers.SetRecorded(entries);
  } else if (aKey.starts_with(kMemberPrefix)) {
    const ids::ProcessId process(aKey.substr(kMemberPrefix.size()));
    mLogger.Info("entry record",
                 { { "entry", process.Str() }, { "present", aValue.has_value() } });
    if (!aValue) {
      mPeers.Unregister(process, now);
    } else if (const auto member = gateway::DecodeMember(*aValue)) {
      mPeers.Register(process, member->mAddress, now);
    }
  }
}

void GatewayProcess::OnConfirmed(timing::Instant aAsOf)
{
  mControl.mContact.Confirm(aAsOf, mClock.Now());
}

void GatewayProcess::OnContactLost(const std::string& aReason)
{
  mLogger.Warn(
    "contact with the store lost",
    { { "reason", aReason },
      { "age_ms",
        std::chrono::duration_cast<milliseconds>(mControl.mContact.Age(mClock.Now()))
          .count() } });
}

}
