#include "apps/samphiresail/gateway/gatewayprocess.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "apps/samphiresail/gateway/recordkeys.hpp"
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
/// Minimum interval between two reports, also when one is sent early.
constexpr milliseconds kMinPeerReportInterval{ 40 };
/// How long a request's wait for an adapter is reported after it was last seen waiting;
/// waiting requests are seen on each tick.
constexpr milliseconds kAwaitedAdapterLifetime{ 150 };
/// How long the load of an adapter is included in reports, since datagrams can be lost.
constexpr milliseconds kLoadedAdapterReportTime{ 700 };

}

void GatewayProcess::StoreEntryCount()
{
  const std::size_t known = mPeers.KnownEntries();
  if (known <= mPeers.RecordedEntries() ||
      mControl.mStoreFreshness.RecordsMayHaveLapsed(mClock.Now())) {
    return;
  }
  mPeers.SetRecordedEntries(known);
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
  const auto entries = static_cast<std::int64_t>(mPeers.EntryCount(aNow));
  return std::max(kPeerReportInterval, kPeerReportIntervalPerEntry * entries);
}

void GatewayProcess::UpdatePeersLoad(timing::Instant aNow)
{
  mPeerLoadsChanged = false;
  mControl.mDirectory.SetPeersLoad(mPeers.InFlight(aNow), aNow);
}

void GatewayProcess::UpdateShares(timing::Instant aNow)
{
  mControl.SetEntries(mPeers.EntryCount(aNow), PeerReportInterval(aNow));
  mStoreWatcher.SetEntryCount(mPeers.EntryCount(aNow));
  UpdatePeersLoad(aNow);
  if (!mControl.Configuration()) {
    return;
  }
  const bool allReceiveFromAll = mPeers.AllReceiveFromAll(aNow);
  for (const gateway::ClientAccount& account : mControl.Configuration()->mAccounts) {
    mControl.mQuotas.SetPeers(account.mName,
                              mPeers.AccountQuotas(account.mName),
                              mPeers.EntryCount(aNow),
                              allReceiveFromAll,
                              aNow);
  }
}

void GatewayProcess::SendPeerReport(timing::Instant aNow)
{
  gateway::PeerReport report;
  report.mProcess = mSettings.mName;
  report.mIncarnation = mIncarnation;
  report.mSequence = ++mPeerReportSequence;
  report.mReceivesFromAll = mPeers.ReceivesFromAll(aNow);
  for (const auto& [id, endpoint] : mControl.mDirectory.All()) {
    if (endpoint.mOwnLoad.mRequests > 0) {
      report.mInFlight.emplace(endpoint.mHash, endpoint.mOwnLoad);
    }
  }
  if (mControl.Configuration()) {
    for (const gateway::ClientAccount& account : mControl.Configuration()->mAccounts) {
      report.mAdmitted.emplace(gateway::HashName(account.mName.Str()),
                               mControl.mQuotas.Admitted(account.mName));
    }
  }
  report.mRefused = mControl.mReturningCallers.Recent(aNow);
  ForgetOldAwaitedAdapters(aNow);
  std::ranges::transform(mAwaitedAdapters,
                         std::back_inserter(report.mAwaitedAdapters),
                         [](const auto& aRow) { return aRow.first; });
  std::erase_if(mRecentAdapterLoads, [aNow](const auto& aItem) {
    return aItem.first + kLoadedAdapterReportTime <= aNow;
  });
  std::ranges::transform(mRecentAdapterLoads,
                         std::back_inserter(report.mLoadedAdapters),
                         [](const auto& aItem) { return aItem.second; });
  mLastPeerReport = aNow;
  const std::string bytes = gateway::EncodePeerReport(report);
  for (const auto& [process, address] : mPeers.Addresses()) {
    if (process != mLeader) {
      SendDatagram(bytes, address);
      continue;
    }
    mControl.mDemand.ForEach(aNow, [&](const std::string& aName, double aRate) {
      report.mModelDemand.emplace(gateway::HashName(aName), aRate);
    });
    SendDatagram(gateway::EncodePeerReport(report), address);
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
    auto report = gateway::DecodePeerReport({ mDatagram.data(), n });
    if (!report) {
      continue;
    }
    const timing::Instant now = mClock.Now();
    mControl.mReturningCallers.AddReported(report->mRefused, now);
    const std::vector<gateway::LoadedAdapter> loaded = report->mLoadedAdapters;
    const bool waitsForAdapter = !report->mAwaitedAdapters.empty();
    if (!mPeers.Receive(std::move(*report), now)) {
      continue;
    }
    mPeerLoadsChanged = true;
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
}

void GatewayProcess::RequestAdapter(const gateway::RequestMetadata& aMetadata)
{
  const timing::Instant now = mClock.Now();
  const std::uint64_t key =
    gateway::HashName(gateway::DemandMeter::Name(aMetadata.mModel, aMetadata.mAdapter));
  const bool added = mAwaitedAdapters.insert_or_assign(key, now).second;
  if (added) {
    SendPeerReportSoon();
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

void GatewayProcess::SendPeerReportSoon()
{
  const timing::Instant now = mClock.Now();
  if (mLeading) {
    PlaceModels(now);
  }
  if (now - mLastPeerReport >= kMinPeerReportInterval) {
    SendPeerReport(now);
  } else {
    mNextPeerReport = std::min(mNextPeerReport, mLastPeerReport + kMinPeerReportInterval);
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
  SendPeerReportSoon();
}

}
