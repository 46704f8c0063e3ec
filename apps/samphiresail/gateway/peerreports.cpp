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

/// Every so often the other entries are told this one's load.
constexpr milliseconds kDigestEvery{ 250 };
/// With more entries digests go out less often, so that each hears as many a second.
constexpr milliseconds kDigestPerEntry{ 25 };
/// Pause that is kept between two digests in any case.
constexpr milliseconds kDigestLeast{ 40 };
/// How long digests tell of an adapter that was loaded, against lost datagrams.
constexpr milliseconds kLoadedNews{ 700 };

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
        store::PutOperation{ std::string(kEntryCountKey), std::to_string(known), 0 });
      store::StoreRequest request = std::move(write);
      // A write that fails is made good by another entry or after the next restart.
      co_await mStore.Execute(std::move(request), kStoreTimeout);
    },
    asio::detached);
}

milliseconds GatewayProcess::DigestEvery(timing::Instant aNow) const
{
  const auto entries = static_cast<std::int64_t>(mPeers.Entries(aNow));
  return std::max(kDigestEvery, kDigestPerEntry * entries);
}

void GatewayProcess::UpdateLoads(timing::Instant aNow)
{
  mPeersChanged = false;
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
  UpdateLoads(aNow);
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
  digest.mWaits = std::exchange(mAdapterWanted, false);
  std::erase_if(mLoaded,
                [aNow](const auto& aItem) { return aItem.first + kLoadedNews <= aNow; });
  std::ranges::transform(mLoaded,
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
    // A lost digest is followed by the next one.
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
    const bool waits = digest->mWaits;
    if (!mPeers.Take(std::move(*digest), now)) {
      continue;
    }
    mPeersChanged = true;
    for (const gateway::LoadedAdapter& item : loaded) {
      mControl.mDirectory.Announce(item, now);
    }
    if (!loaded.empty()) {
      mPlacementChanged.Notify();
    }
    if (mLeading && waits) {
      // What an entry waits for shall not wait for the tick.
      PlaceModels(now);
    }
  }
}

void GatewayProcess::AskForAdapter()
{
  mAdapterWanted = true;
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

}
