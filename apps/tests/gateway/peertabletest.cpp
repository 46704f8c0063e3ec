#include <catch2/catch.hpp>

#include "components/gateway/peercodec.hpp"
#include "components/gateway/peertable.hpp"

using namespace samphiresail;
using namespace std::chrono_literals;
using namespace samphiresail::gateway;

namespace {

const timing::Instant kNow{ 1h };
const ids::ProcessId kOwn("front-1");
const ids::ProcessId kPeer("front-2");

PeerDigest Digest(std::uint64_t aIncarnation, std::uint64_t aNumber)
{
  PeerDigest digest;
  digest.mProcess = kPeer;
  digest.mIncarnation = aIncarnation;
  digest.mNumber = aNumber;
  digest.mHearsAll = true;
  digest.mInFlight.emplace(DigestKey("e1"), 3);
  digest.mAdmitted.emplace(DigestKey("club"), 1250.5);
  digest.mModelDemand.emplace(DigestKey("m/a1"), 2.0);
  digest.mWaits = true;
  digest.mLoaded.push_back({ DigestKey("e1"), DigestKey("m/a1") });
  return digest;
}

}

TEST_CASE("peers: a digest survives its encoding", "[gateway]")
{
  const auto decoded = DecodeDigest(EncodeDigest(Digest(4, 9)));
  REQUIRE(decoded);
  CHECK(decoded->mProcess == kPeer);
  CHECK(decoded->mIncarnation == 4);
  CHECK(decoded->mNumber == 9);
  CHECK(decoded->mHearsAll);
  CHECK(decoded->mInFlight.at(DigestKey("e1")) == 3);
  CHECK(decoded->mAdmitted.at(DigestKey("club")) == 1250.5);
  CHECK(decoded->mModelDemand.at(DigestKey("m/a1")) == 2.0);
  CHECK(decoded->mLoaded.size() == 1);
  CHECK(decoded->mWaits);
  CHECK_FALSE(DecodeDigest("\xff\xff nothing of the kind"));
}

TEST_CASE("peers: the strongest registered entry is known", "[gateway]")
{
  PeerTable peers(kOwn, kNow);
  CHECK(peers.MostCores() == 0.0);
  const auto member = DecodeMember(EncodeMember({ kPeer, { "127.0.0.1", 1 }, 0.5 }));
  REQUIRE(member);
  peers.Register(kPeer, member->mAddress, member->mCores, kNow);
  CHECK(peers.MostCores() == 0.5);
  peers.Unregister(kPeer, kNow);
  CHECK(peers.MostCores() == 0.0);
}

TEST_CASE("peers: old and strange digests are dropped", "[gateway]")
{
  PeerTable peers(kOwn, kNow - 1min);
  CHECK_FALSE(peers.Take(Digest(1, 1), kNow));
  peers.Register(kPeer, { "127.0.0.1", 1 }, 0.2, kNow);
  CHECK(peers.Take(Digest(2, 5), kNow));
  CHECK_FALSE(peers.Take(Digest(2, 5), kNow));
  CHECK_FALSE(peers.Take(Digest(1, 99), kNow));
  CHECK(peers.InFlight(ids::EndpointId("e1"), kNow) == 3);
  CHECK(peers.InFlight(ids::EndpointId("e1"), kNow + PeerTable::kFresh) == 0);
}

TEST_CASE("peers: one that is registered and silent is noticed", "[gateway]")
{
  PeerTable peers(kOwn, kNow - 1min);
  CHECK(peers.AllHearAll(kNow));
  peers.Register(kOwn, { "127.0.0.1", 1 }, 0.2, kNow);
  CHECK(peers.Entries(kNow) == 1);
  peers.Register(kPeer, { "127.0.0.1", 1 }, 0.2, kNow);
  CHECK(peers.Entries(kNow) == 2);
  CHECK_FALSE(peers.HearsAll(kNow));
  peers.Take(Digest(1, 1), kNow);
  CHECK(peers.AllHearAll(kNow));
  PeerDigest deaf = Digest(1, 2);
  deaf.mHearsAll = false;
  peers.Take(deaf, kNow);
  CHECK(peers.HearsAll(kNow));
  CHECK_FALSE(peers.AllHearAll(kNow));
}

TEST_CASE("peers: an entry counts until it is neither registered nor heard", "[gateway]")
{
  PeerTable peers(kOwn, kNow - 1min);
  peers.Register(kPeer, { "127.0.0.1", 1 }, 0.2, kNow);
  peers.Take(Digest(1, 1), kNow + 2s);
  peers.Unregister(kPeer, kNow);
  peers.Tick(kNow + 4s);
  CHECK(peers.Entries(kNow) == 2);
  peers.Tick(kNow + 6s);
  CHECK(peers.Entries(kNow) == 1);
}

TEST_CASE("peers: a process that has just started shares with all that there were",
          "[gateway]")
{
  PeerTable peers(kOwn, kNow);
  peers.SetRecorded(5);
  CHECK(peers.Entries(kNow + 1s) == 5);
  CHECK_FALSE(peers.AllHearAll(kNow + 1s));
  CHECK(peers.Entries(kNow + PeerTable::kJoin) == 1);
  CHECK(peers.AllHearAll(kNow + PeerTable::kJoin));
}

TEST_CASE("peers: a process whose time of day was set back is heard after its restart",
          "[gateway]")
{
  PeerTable peers(kOwn, kNow - 1min);
  peers.Register(kPeer, { "127.0.0.1", 1 }, 0.2, kNow);
  REQUIRE(peers.Take(Digest(9, 5), kNow));
  CHECK_FALSE(peers.Take(Digest(4, 1), kNow + PeerTable::kFresh - 1ms));
  CHECK(peers.Take(Digest(4, 2), kNow + PeerTable::kFresh));
  CHECK_FALSE(peers.Take(Digest(4, 2), kNow + PeerTable::kFresh));
}
