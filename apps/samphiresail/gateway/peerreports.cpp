#include "apps/samphiresail/gateway/gatewayprocess.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "apps/samphiresail/gateway/recordkeys.hpp"
#include "components/frontend/quarantinelog.hpp"
#include "components/gateway/peercodec.hpp"

namespace samphiresail::gatewayapp {

namespace asio = boost::asio;
using asio::ip::udp;
using frontend::ErrorCode;
using frontend::RedirectError;
using std::chrono::milliseconds;

namespace {

/// Interval at which this entry reports its load to the other entries.
constexpr milliseconds kPeerReportInterval{ 250 };
/// Interval for each entry: with many entries reports are sent less often, so that the
/// rate at which each entry receives reports does not grow.
constexpr milliseconds kPeerReportIntervalPerEntry{ 25 };
/// Minimum interval between two notices of adapters, and the same for each entry: in a
/// large fleet the leader gathers the adapters that it has loaded.
constexpr milliseconds kMinNoticeInterval{ 40 };
constexpr milliseconds kNoticeIntervalPerEntry{ 1 };
/// How long a request's wait for an adapter is reported after it was last seen waiting;
/// waiting requests are seen on each tick.
constexpr milliseconds kAwaitedAdapterLifetime{ 150 };
/// How long the load of an adapter is included in reports, since datagrams can be lost.
constexpr milliseconds kLoadedAdapterReportTime{ 700 };
/// Time after which an entry that does not lead writes the number of entries that a
/// restore of the store took back.
constexpr std::chrono::seconds kEntryCountRewriteDelay{ 5 };

}

void GatewayProcess::StoreEntryCount()
{
  const timing::Instant now = mClock.Now();
  const std::size_t known = std::max(mPeers.KnownEntries(), mPeers.RecordedEntries());
  const timing::Instant rewriteAt =
    mControl.mStoreFreshness.RewriteEnd() + kEntryCountRewriteDelay;
  const bool rewrites = mEntryCountLost && (mLeading || now >= rewriteAt);
  if ((known <= mPeers.RecordedEntries() && !rewrites) ||
      mControl.mStoreFreshness.RecordsMayHaveLapsed(now)) {
    return;
  }
  mPeers.SetRecordedEntries(known);
  mEntryCountLost = false;
  asio::co_spawn(
    mIo,
    [this, known]() -> asio::awaitable<void> {
      store::TransactionRequest write;
      write.mWrites.emplace_back(
        store::PutOperation{ std::string(kEntryCountKey), std::to_string(known), 0 });
      store::StoreRequest request = std::move(write);
      // If the write fails, another entry or the next start of this one writes the count.
      co_await mStore.Execute(std::move(request), kStoreTimeout);
    },
    asio::detached);
}

milliseconds GatewayProcess::PeerReportInterval(timing::Instant aNow) const
{
  const std::size_t reporting = mPeers.IsGroupedByZone()
                                  ? mPeers.ReportReceivers().size() + 1
                                  : mPeers.EntryCount(aNow);
  return std::max(kPeerReportInterval,
                  kPeerReportIntervalPerEntry * static_cast<std::int64_t>(reporting));
}

milliseconds GatewayProcess::PeerReportAge(timing::Instant aNow) const
{
  // The loads of another zone are reported twice on their way.
  return PeerReportInterval(aNow) * (mPeers.IsGroupedByZone() ? 2 : 1);
}

void GatewayProcess::UpdatePeersLoad(timing::Instant aNow)
{
  mPeerLoadsChanged = false;
  mControl.mDirectory.SetPeersLoad(mPeers.InFlight(aNow), aNow);
}

void GatewayProcess::UpdateEnginePolicy()
{
  const bool shared =
    std::ranges::any_of(mControl.mDirectory.All(),
                        [](const auto& aItem) { return aItem.second.mReportsMachine; });
  gateway::EnginePolicy policy;
  policy.mByPace = shared;
  mControl.SetEnginePolicy(policy);
}

void GatewayProcess::UpdateShares(timing::Instant aNow)
{
  CompareWithPeers(aNow);
  UpdateEnginePolicy();
  mControl.SetEntries(mPeers.EntryCount(aNow), PeerReportAge(aNow));
  mControl.mCold.SetKnownEntries(mSettings.mName, mPeers.Known());
  mStoreWatcher.SetFleet(
    mPeers.EntryCount(aNow),
    std::min(
      { mSettings.mConfigurationTime, mSettings.mDrainTime, mSettings.mEvacuationTime }));
  UpdatePeersLoad(aNow);
  mControl.UpdateLimits(mPeers.Outcomes(aNow), aNow);
  ReportLimits();
  if (!mControl.Configuration()) {
    return;
  }
  const gateway::PeerTable::Coverage coverage = mPeers.CoverageAt(aNow);
  if (coverage.mComplete != mQuotasShared) {
    mQuotasShared = coverage.mComplete;
    mLogger.Info("quota exchange",
                 { { "shared", mQuotasShared },
                   { "uncovered", coverage.mUncovered },
                   { "entries", mPeers.EntryCount(aNow) },
                   { "aggregator", mPeers.Aggregator(aNow).Str() } });
  }
  for (const gateway::ClientAccount& account : mControl.Configuration()->mAccounts) {
    mControl.mQuotas.SetPeers(account.mName,
                              mPeers.AccountQuotas(account.mName),
                              mPeers.EntryCount(aNow),
                              coverage.mComplete,
                              aNow,
                              coverage.mUncovered);
  }
}

void GatewayProcess::ReportLimits()
{
  mMetrics.mReducedLimits.Set(static_cast<double>(mControl.mLimits.Reduced()));
  for (const gateway::LimitChange& change : mControl.mLimits.TakeChanges()) {
    const auto& endpoints = mControl.mDirectory.All();
    const auto it = std::ranges::find_if(endpoints, [&change](const auto& aItem) {
      return aItem.second.mHash == change.mEndpoint;
    });
    mLogger.Info("endpoint limit",
                 { { "endpoint", it == endpoints.end() ? "" : it->first.Str() },
                   { "limit", change.mLimit },
                   { "slots", change.mSlots },
                   { "responses", change.mOutcomes.mEnded },
                   { "late_fraction", change.mOutcomes.LateFraction() } });
  }
}

gateway::PeerReport GatewayProcess::OwnReport(timing::Instant aNow)
{
  gateway::PeerReport report;
  report.mProcess = mSettings.mName;
  report.mIncarnation = mIncarnation;
  report.mSequence = ++mPeerReportSequence;
  report.mConfigurationVersion =
    mControl.Configuration() ? mControl.Configuration()->mVersion : 0;
  report.mRewriteLeft = std::chrono::ceil<milliseconds>(
    std::max(mControl.mStoreFreshness.RewriteEnd() - aNow, timing::Duration(0)));
  report.mReceivesFromAll = mPeers.ReceivesFromAll(aNow);
  for (const auto& [id, endpoint] : mControl.mDirectory.All()) {
    if (endpoint.mOwnLoad.mRequests > 0) {
      report.mInFlight.emplace(endpoint.mHash, endpoint.mOwnLoad);
      report.mOutcomes.emplace(endpoint.mHash,
                               mControl.mLimits.Own(endpoint.mHash, aNow));
    }
  }
  if (mControl.Configuration()) {
    for (const gateway::ClientAccount& account : mControl.Configuration()->mAccounts) {
      report.mAdmitted.emplace(gateway::HashName(account.mName.Str()),
                               mControl.mQuotas.Admitted(account.mName));
    }
  }
  report.mRefused = mControl.mReturningCallers.Recent(aNow);
  if (mUsageDuty) {
    report.mTrueTime = mUsageDuty->TimeAt(aNow);
  }
  AddAdapters(report, aNow);
  return report;
}

void GatewayProcess::AddAdapters(gateway::PeerReport& aReport, timing::Instant aNow)
{
  ForgetOldAwaitedAdapters(aNow);
  std::ranges::transform(mAwaitedAdapters,
                         std::back_inserter(aReport.mAwaitedAdapters),
                         [](const auto& aRow) { return aRow.first; });
  std::erase_if(mRecentAdapterLoads, [aNow](const auto& aItem) {
    return aItem.first + kLoadedAdapterReportTime <= aNow;
  });
  std::ranges::transform(mRecentAdapterLoads,
                         std::back_inserter(aReport.mLoadedAdapters),
                         [](const auto& aItem) { return aItem.second; });
}

void GatewayProcess::SendPeerReport(timing::Instant aNow)
{
  gateway::PeerReport report = OwnReport(aNow);
  const std::string bytes = gateway::EncodePeerReport(report);
  const ids::ProcessId aggregator = mPeers.Aggregator(aNow);
  const bool grouped = mPeers.IsGroupedByZone();
  std::vector<settings::SocketAddress> needDemand;
  for (const auto& [process, address] : mPeers.ReportReceivers()) {
    if (process == mLeader || (grouped && process == aggregator)) {
      needDemand.push_back(address);
    } else {
      SendDatagram(bytes, address);
    }
  }
  mControl.mDemand.ForEach(aNow, [&](const std::string& aName, double aRate) {
    report.mModelDemand.emplace(gateway::HashName(aName), aRate);
  });
  if (!needDemand.empty()) {
    const std::string withDemand = gateway::EncodePeerReport(report);
    for (const settings::SocketAddress& address : needDemand) {
      SendDatagram(withDemand, address);
    }
  }
  if (grouped && aggregator == mSettings.mName) {
    SendZoneReport(report, aNow);
  }
}

void GatewayProcess::SendZoneReport(const gateway::PeerReport& aOwnReport,
                                    timing::Instant aNow)
{
  gateway::PeerReport sums = mPeers.ZoneReport(aOwnReport, aNow);
  const std::string bytes = gateway::EncodePeerReport(sums);
  for (const auto& [process, address] : mPeers.ZoneReceivers()) {
    SendDatagram(bytes, address);
  }
  // The entries of this zone have the loads themselves; they learn whether they count.
  sums.mInFlight.clear();
  sums.mOutcomes.clear();
  sums.mAdmitted.clear();
  sums.mModelDemand.clear();
  sums.mLoadedAdapters.clear();
  const std::string covered = gateway::EncodePeerReport(sums);
  for (const auto& [process, address] : mPeers.ReportReceivers()) {
    SendDatagram(covered, address);
  }
}

void GatewayProcess::SendNotice(timing::Instant aNow)
{
  mNextNotice = timing::Instant::max();
  mLastNotice = aNow;
  gateway::PeerReport notice;
  notice.mProcess = mSettings.mName;
  notice.mIncarnation = mIncarnation;
  notice.mNotice = true;
  AddAdapters(notice, aNow);
  const std::string bytes = gateway::EncodePeerReport(notice);
  for (const auto& [process, address] : mPeers.AllAddresses()) {
    // Awaited adapters concern the leader alone, loaded ones everybody.
    if (mLeading || process == mLeader) {
      SendDatagram(bytes, address);
    }
  }
}

void GatewayProcess::ReportFindings(timing::Instant aNow)
{
  for (const auto& change : mControl.mQuarantine.TakeChanges()) {
    frontend::LogVerdict(mLogger, mControl, change, aNow);
  }
  mMetrics.mQuarantineVerdicts.Set(static_cast<double>(mControl.mQuarantine.Size()));
  mMetrics.mQuarantineRefusals.Increment(
    static_cast<double>(mControl.TakeQuarantineRefusals()));
  if (!mControl.mQuarantine.IsReportDue(aNow)) {
    return;
  }
  gateway::PeerReport notice;
  notice.mProcess = mSettings.mName;
  notice.mIncarnation = mIncarnation;
  notice.mNotice = true;
  notice.mFindings = mControl.mQuarantine.Report(aNow);
  const std::string bytes = gateway::EncodePeerReport(notice);
  for (const auto& [process, address] : mPeers.AllAddresses()) {
    SendDatagram(bytes, address);
  }
}

void GatewayProcess::SendDatagram(const std::string& aBytes,
                                  const settings::SocketAddress& aTo)
{
  ErrorCode ec;
  const auto host = asio::ip::make_address_v4(aTo.mHost, ec);
  if (!ec) {
    // Errors are ignored: the next report replaces a lost one.
    mPeerSocket.send_to(asio::buffer(aBytes), udp::endpoint(host, aTo.mPort), 0, ec);
  }
}

asio::awaitable<void> GatewayProcess::ReceivePeerReports()
{
  for (;;) {
    ErrorCode ec;
    udp::endpoint sender;
    const std::size_t n = co_await mPeerSocket.async_receive_from(
      asio::buffer(mDatagram), sender, RedirectError(ec));
    if (ec == asio::error::operation_aborted) {
      co_return;
    }
    if (ec) {
      continue;
    }
    try {
      if (auto report = gateway::DecodePeerReport({ mDatagram.data(), n })) {
        OnPeerReport(std::move(*report), { mDatagram.data(), n });
      }
    } catch (const std::exception& error) {
      mLogger.Error("peer report ignored", { { "error", std::string(error.what()) } });
    }
  }
}

void GatewayProcess::OnPeerReport(gateway::PeerReport aReport, std::string_view aBytes)
{
  const timing::Instant now = mClock.Now();
  mControl.mReturningCallers.AddReported(aReport.mRefused, now);
  mControl.mQuarantine.Merge(aReport.mFindings, now);
  if (mUsageDuty) {
    mUsageDuty->OnReport(aReport, now);
  }
  const std::vector<gateway::LoadedAdapter> loaded = aReport.mLoadedAdapters;
  const bool waitsForAdapter = !aReport.mAwaitedAdapters.empty();
  const bool notice = aReport.mNotice;
  const bool fromOtherZone = !aReport.mZone.Empty() && aReport.mZone != mSettings.mZone;
  const bool forwarded = aReport.mForwarded;
  if (!mPeers.Receive(std::move(aReport), now)) {
    return;
  }
  mPeerLoadsChanged = mPeerLoadsChanged || !notice;
  if (mControl.mStoreFreshness.IsOutdated(now)) {
    CompareWithPeers(now);
  }
  if (fromOtherZone && !forwarded && mPeers.Aggregator(now) == mSettings.mName) {
    const std::string bytes = gateway::MarkForwarded(aBytes);
    for (const auto& [process, address] : mPeers.ReportReceivers()) {
      SendDatagram(bytes, address);
    }
  }
  for (const gateway::LoadedAdapter& item : loaded) {
    mControl.mDirectory.RecordLoadedAdapter(item, now);
  }
  if (!loaded.empty()) {
    mPlacementChanged.Notify();
  }
  if (mLeading && waitsForAdapter) {
    // Requests of the sender wait for an adapter, so its load is not delayed until the
    // next tick.
    PlaceModels(now);
  }
}

void GatewayProcess::RequestAdapter(const gateway::RequestMetadata& aMetadata)
{
  const timing::Instant now = mClock.Now();
  const std::uint64_t key =
    gateway::HashName(gateway::DemandMeter::Name(aMetadata.mModel, aMetadata.mAdapter));
  const bool added = mAwaitedAdapters.insert_or_assign(key, now).second;
  if (added) {
    SendNoticeSoon();
  }
}

void GatewayProcess::ForgetOldAwaitedAdapters(timing::Instant aNow)
{
  std::erase_if(mAwaitedAdapters, [aNow](const auto& aRow) {
    return aRow.second + kAwaitedAdapterLifetime < aNow;
  });
}

std::unordered_set<std::uint64_t> GatewayProcess::AwaitedAdapters(timing::Instant aNow)
{
  ForgetOldAwaitedAdapters(aNow);
  std::unordered_set<std::uint64_t> awaited = mPeers.AwaitedAdapters(aNow);
  for (const auto& [key, since] : mAwaitedAdapters) {
    awaited.insert(key);
  }
  return awaited;
}

void GatewayProcess::SendNoticeSoon()
{
  const timing::Instant now = mClock.Now();
  if (mLeading) {
    PlaceModels(now);
  }
  const milliseconds interval =
    std::max(kMinNoticeInterval,
             kNoticeIntervalPerEntry * static_cast<std::int64_t>(mPeers.KnownEntries()));
  if (now - mLastNotice >= interval) {
    SendNotice(now);
  } else {
    mNextNotice = std::min(mNextNotice, mLastNotice + interval);
  }
}

void GatewayProcess::OnAdapterLoaded(const ids::EndpointId& aEndpoint,
                                     const gateway::EngineOrder& aOrder)
{
  const gateway::LoadedAdapter loaded{ gateway::HashName(aEndpoint.Str()),
                                       gateway::HashName(gateway::DemandMeter::Name(
                                         aOrder.mModel, aOrder.mAdapter)) };
  mRecentAdapterLoads.emplace_back(mClock.Now(), loaded);
  mControl.mDirectory.RecordLoadedAdapter(loaded, mClock.Now());
  mPlacementChanged.Notify();
  SendNoticeSoon();
}

}
