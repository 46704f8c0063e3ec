#include <catch2/catch.hpp>

#include "components/gateway/peercodec.hpp"
#include "components/gateway/peertable.hpp"
#include "components/gateway/returningcallers.hpp"

using namespace samphiresail;
using namespace std::chrono_literals;
using namespace samphiresail::gateway;

namespace {

const timing::Instant kNow{ 1h };
const ids::ProcessId kOwn("front-1");
const ids::ProcessId kPeer("front-2");

PeerReport Report(std::uint64_t aIncarnation, std::uint64_t aNumber)
{
  PeerReport report;
  report.mProcess = kPeer;
  report.mIncarnation = aIncarnation;
  report.mSequence = aNumber;
  report.mReceivesFromAll = true;
  report.mInFlight.emplace(HashName("e1"), EngineLoad{ 3, Milliseconds(120), 900.0 });
  report.mAdmitted.emplace(HashName("club"), 1250.5);
  report.mModelDemand.emplace(HashName("m/a1"), 2.0);
  report.mAwaitedAdapters = { HashName("m/a2") };
  report.mRefused = { 77 };
  report.mLoadedAdapters.push_back({ HashName("e1"), HashName("m/a1") });
  return report;
}

}

TEST_CASE("peers: a report survives encoding and decoding", "[gateway]")
{
  const auto decoded = DecodePeerReport(EncodePeerReport(Report(4, 9)));
  REQUIRE(decoded);
  CHECK(decoded->mProcess == kPeer);
  CHECK(decoded->mIncarnation == 4);
  CHECK(decoded->mSequence == 9);
  CHECK(decoded->mReceivesFromAll);
  CHECK(decoded->mInFlight.at(HashName("e1")).mRequests == 3);
  CHECK(decoded->mInFlight.at(HashName("e1")).mUnread == Milliseconds(120));
  CHECK(decoded->mInFlight.at(HashName("e1")).mMemoryTokens == 900.0);
  CHECK(decoded->mAdmitted.at(HashName("club")) == 1250.5);
  CHECK(decoded->mModelDemand.at(HashName("m/a1")) == 2.0);
  CHECK(decoded->mLoadedAdapters.size() == 1);
  CHECK(decoded->mAwaitedAdapters == std::vector{ HashName("m/a2") });
  CHECK(decoded->mRefused == std::vector<std::uint64_t>{ 77 });
  CHECK_FALSE(DecodePeerReport("\xff\xff nothing of the kind"));
}

TEST_CASE("peers: the largest number of cores counts registered entries only",
          "[gateway]")
{
  PeerTable peers(kOwn, kNow);
  CHECK(peers.MaxCores() == 0.0);
  const auto member = DecodeMember(EncodeMember({ kPeer, { "127.0.0.1", 1 }, 0.5 }));
  REQUIRE(member);
  peers.Register(kPeer, member->mAddress, member->mCores, kNow);
  CHECK(peers.MaxCores() == 0.5);
  peers.Unregister(kPeer, kNow);
  CHECK(peers.MaxCores() == 0.0);
}

TEST_CASE("peers: old reports and those of unregistered entries are dropped", "[gateway]")
{
  PeerTable peers(kOwn, kNow - 1min);
  CHECK_FALSE(peers.Receive(Report(1, 1), kNow));
  peers.Register(kPeer, { "127.0.0.1", 1 }, 0.2, kNow);
  CHECK(peers.Receive(Report(2, 5), kNow));
  CHECK_FALSE(peers.Receive(Report(2, 5), kNow));
  CHECK_FALSE(peers.Receive(Report(1, 99), kNow));
  CHECK(peers.InFlight(kNow).at(HashName("e1")).mRequests == 3);
  CHECK(peers.InFlight(kNow + PeerTable::kMaxReportAge).empty());
  CHECK(peers.AwaitedAdapters(kNow).contains(HashName("m/a2")));
  CHECK(peers.AwaitedAdapters(kNow + PeerTable::kAwaitedAge).empty());
}

TEST_CASE("peers: a registered entry without reports is detected", "[gateway]")
{
  PeerTable peers(kOwn, kNow - 1min);
  CHECK(peers.AllReceiveFromAll(kNow));
  peers.Register(kOwn, { "127.0.0.1", 1 }, 0.2, kNow);
  CHECK(peers.EntryCount(kNow) == 1);
  peers.Register(kPeer, { "127.0.0.1", 1 }, 0.2, kNow);
  CHECK(peers.EntryCount(kNow) == 2);
  CHECK_FALSE(peers.ReceivesFromAll(kNow));
  peers.Receive(Report(1, 1), kNow);
  CHECK(peers.AllReceiveFromAll(kNow));
  PeerReport incomplete = Report(1, 2);
  incomplete.mReceivesFromAll = false;
  peers.Receive(incomplete, kNow);
  CHECK(peers.ReceivesFromAll(kNow));
  CHECK_FALSE(peers.AllReceiveFromAll(kNow));
}

TEST_CASE("peers: an entry counts until it is neither registered nor sends reports",
          "[gateway]")
{
  PeerTable peers(kOwn, kNow - 1min);
  peers.Register(kPeer, { "127.0.0.1", 1 }, 0.2, kNow);
  peers.Receive(Report(1, 1), kNow + 2s);
  peers.Unregister(kPeer, kNow);
  peers.Tick(kNow + 4s);
  CHECK(peers.EntryCount(kNow) == 2);
  peers.Tick(kNow + 6s);
  CHECK(peers.EntryCount(kNow) == 1);
}

TEST_CASE("peers: a process that has just started assumes the recorded number of entries",
          "[gateway]")
{
  PeerTable peers(kOwn, kNow);
  peers.SetRecordedEntries(5);
  CHECK(peers.EntryCount(kNow + 1s) == 5);
  CHECK_FALSE(peers.AllReceiveFromAll(kNow + 1s));
  CHECK(peers.EntryCount(kNow + PeerTable::kJoinTime) == 1);
  CHECK(peers.AllReceiveFromAll(kNow + PeerTable::kJoinTime));
}

TEST_CASE("peers: reports are accepted after a restart with the wall clock set back",
          "[gateway]")
{
  PeerTable peers(kOwn, kNow - 1min);
  peers.Register(kPeer, { "127.0.0.1", 1 }, 0.2, kNow);
  REQUIRE(peers.Receive(Report(9, 5), kNow));
  CHECK_FALSE(peers.Receive(Report(4, 1), kNow + PeerTable::kMaxReportAge - 1ms));
  CHECK(peers.Receive(Report(4, 2), kNow + PeerTable::kMaxReportAge));
  CHECK_FALSE(peers.Receive(Report(4, 2), kNow + PeerTable::kMaxReportAge));
}

// Whatever a datagram named was kept, and some of it for good.
TEST_CASE("peers: reports with ever new names do not fill the memory", "[gateway]")
{
  const ids::AvailabilityZoneId ownZone("z1");
  PeerTable peers(kOwn, kNow, ownZone);
  peers.Register(kPeer, { "127.0.0.1", 1 }, 0.5, kNow, ownZone);
  ReturningCallers callers;
  std::uint64_t name = 0;
  constexpr std::size_t kNamesPerReport = 4000;
  const auto newNames = [&] {
    std::vector<std::uint64_t> names;
    for (std::size_t i = 0; i < kNamesPerReport; ++i) {
      names.push_back(++name);
    }
    return names;
  };
  for (std::uint64_t it = 1; it <= 50; ++it) {
    PeerReport report;
    report.mProcess = kPeer;
    report.mIncarnation = 4;
    report.mSequence = it;
    for (const std::uint64_t account : newNames()) {
      report.mAdmitted.emplace(account, 1.0);
    }
    CHECK(peers.Receive(report, kNow));
    PeerReport notice;
    notice.mProcess = kPeer;
    notice.mNotice = true;
    notice.mAwaitedAdapters = newNames();
    CHECK(peers.Receive(notice, kNow));
    PeerReport otherZone;
    otherZone.mProcess = kPeer;
    otherZone.mZone = ids::AvailabilityZoneId("z" + std::to_string(it + 1));
    otherZone.mModelDemand.emplace(name, 1.0);
    CHECK_FALSE(peers.Receive(otherZone, kNow));
    callers.AddReported(newNames(), kNow);
  }
  CHECK(peers.AwaitedAdapters(kNow).size() <= PeerTable::kMaxNames);
  CHECK(peers.ModelDemand(kNow).empty());
  CHECK(peers.ZoneReport(PeerReport(), kNow).mAdmitted.size() <=
        PeerTable::kMaxNames + kNamesPerReport);
  CHECK(callers.Remembered() <= ReturningCallers::kMaxRemembered);
  callers.Refuse(1, kNow, kNow);
  CHECK(callers.FirstAttempt(1) == kNow);
}
