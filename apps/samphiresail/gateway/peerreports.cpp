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
using frontend::Into;
using std::chrono::milliseconds;

namespace {

/// Interval at which this entry reports its load to the other entries.
constexpr milliseconds kDigestEvery{ 250 };
/// Interval for each entry: with many entries reports are sent less often, so that the
/// rate at which each entry receives reports does not grow.
constexpr milliseconds kDigestPerEntry{ 25 };
/// Minimum interval between two reports, also when one is sent early.
constexpr milliseconds kDigestLeast{ 40 };
/// How long reports repeat that an adapter was loaded, since datagrams can be lost.
constexpr milliseconds kLoadedAdapterReportTime{ 700 };

}

void GatewayProcess::StoreEntryCount()
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
        store::PutOperation{ std::string(kEntryCountKey), std::to_string(known), 0 });
      store::StoreRequest request = std::move(write);
      // If the write fails, another entry or the next start of this one writes the count.
      co_await mStore.Execute(std::move(request), kStoreTimeout);
    },
    asio::detached);
}

milliseconds GatewayProcess::DigestEvery(timing::Instant aNow) const
{
  const auto entries = static_cast<std::int64_t>(mPeers.Entries(aNow));
  return std::max(kDigestEvery, kDigestPerEntry * entries);
}

void GatewayProcess::UpdatePeersInFlight(timing::Instant aNow)
{
  mPeerLoadsChanged = false;
  std::unordered_map<ids::EndpointId, unsigned> counts;
  for (const auto& [id, endpoint] : mControl.mDirectory.All()) {
    counts.emplace(id, mPeers.InFlight(id, aNow));
  }
  mControl.mDirectory.SetPeersInFlight(counts, aNow);
}

void GatewayProcess::UpdateShares(timing::Instant aNow)
{
  mControl.SetEntries(mPeers.Entries(aNow), DigestEvery(aNow));
  mFeed.SetEntries(mPeers.Entries(aNow));
  UpdatePeersInFlight(aNow);
  if (!mControl.Configuration()) {
    return;
  }
  const bool allReceiveFromAll = mPeers.AllHearAll(aNow);
  for (const gateway::ClientAccount& account : mControl.Configuration()->mAccounts) {
    mControl.mQuotas.SetPeers(account.mName,
                              mPeers.AccountQuotas(account.mName),
                              mPeers.Entries(aNow),
                              allReceiveFromAll,
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
  digest.mWaits = std::exchange(mWaitsForAdapter, false);
  std::erase_if(mRecentAdapterLoads, [aNow](const auto& aItem) {
    return aItem.first + kLoadedAdapterReportTime <= aNow;
  });
  std::ranges::transform(mRecentAdapterLoads,
                         std::back_inserter(digest.mLoaded),
                         [](const auto& aItem) { return aItem.second; });
  mLastDigest = aNow;
  const std::string bytes = gateway::EncodeDigest(digest);
  for (const auto& [process, address] : mPeers.Addresses()) {
    if (process != mLeader) {
      SendDatagram(bytes, address);
      continue;
    }
    mControl.mDemand.ForEach(aNow, [&](const std::string& aName, double aRate) {
      digest.mModelDemand.emplace(gateway::DigestKey(aName), aRate);
    });
    SendDatagram(gateway::EncodeDigest(digest), address);
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
    const bool waitsForAdapter = digest->mWaits;
    if (!mPeers.Take(std::move(*digest), now)) {
      continue;
    }
    mPeerLoadsChanged = true;
    for (const gateway::LoadedAdapter& item : loaded) {
      mControl.mDirectory.Announce(item, now);
    }
    if (!loaded.empty()) {
      mPlacementChanged.Notify();
    }
    if (mLeading && waitsForAdapter) {
      // Requests of the sender wait for an adapter; don't delay its order until the tick.
      PlaceModels(now);
    }
  }
}

void GatewayProcess::RequestAdapter()
{
  mWaitsForAdapter = true;
  HurryDigest();
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

void GatewayProcess::OnAdapterLoaded(const ids::EndpointId& aEndpoint,
                                     const gateway::EngineOrder& aOrder)
{
  const gateway::LoadedAdapter loaded{ gateway::DigestKey(aEndpoint.Str()),
                                       gateway::DigestKey(gateway::DemandMeter::Name(
                                         aOrder.mModel, aOrder.mAdapter)) };
  mRecentAdapterLoads.emplace_back(mClock.Now(), loaded);
  mControl.mDirectory.Announce(loaded, mClock.Now());
  mPlacementChanged.Notify();
  HurryDigest();
}

}
