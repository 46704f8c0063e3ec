#include <catch2/catch.hpp>

#include <array>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>

#include "components/gateway/peercodec.hpp"

using namespace samphiresail;
using namespace std::chrono_literals;
using namespace samphiresail::gateway;

namespace {

const timing::Instant kStart{ 1h };
const ids::ClientAccountId kAccount("club");
constexpr std::size_t kZones = 4;
constexpr std::size_t kEntriesPerZone = 8;
constexpr std::size_t kEntries = kZones * kEntriesPerZone;
constexpr double kRate = 200000.0;
constexpr double kBurst = 150000.0;
constexpr double kBound = (kRate * 8.0 + kBurst) * 1.1 + 17000.0;

ids::ProcessId Name(std::size_t aEntry)
{
  return ids::ProcessId("front-" + std::to_string(aEntry));
}

ids::AvailabilityZoneId ZoneOf(std::size_t aEntry)
{
  return ids::AvailabilityZoneId("z" + std::to_string(aEntry % kZones));
}

/// Entries of several zones that exchange reports as the process does: each to those of
/// its zone, aggregators to the other zones, whose aggregators pass the sums on.
class ZonedFleet
{
public:
  explicit ZonedFleet(std::uint64_t aSeed)
    : mRandom(aSeed)
  {
    mConfiguration.mAccounts.emplace_back();
    mConfiguration.mAccounts[0].mName = kAccount;
    mConfiguration.mAccounts[0].mTokensPerSecond = kRate;
    mConfiguration.mAccounts[0].mBurstTokens = kBurst;
    for (std::size_t i = 0; i < kEntries; ++i) {
      mEntries.push_back(Make(i, kStart - 1min));
    }
  }

  /// Exchanges reports; called every 250 ms.
  void Exchange(timing::Instant aNow)
  {
    for (std::size_t i = 0; i < kEntries; ++i) {
      if (!mFrozen.contains(i)) {
        Send(i, aNow);
      }
    }
    for (std::size_t i = 0; i < kEntries; ++i) {
      if (mFrozen.contains(i)) {
        continue;
      }
      Entry& entry = *mEntries[i];
      const PeerTable::Coverage coverage = entry.mTable.CoverageAt(aNow);
      entry.mShared = coverage.mComplete;
      entry.mQuotas.SetPeers(kAccount,
                             entry.mTable.AccountQuotas(kAccount),
                             kEntries,
                             coverage.mComplete,
                             aNow,
                             coverage.mUncovered);
    }
  }

  bool Offer(std::size_t aEntry, double aTokens, timing::Instant aNow)
  {
    mOffered += aTokens;
    if (mFrozen.contains(aEntry) ||
        !mEntries[aEntry]->mQuotas.TryConsume(kAccount, aTokens, aNow).mAdmitted) {
      return false;
    }
    mAdmitted.emplace_back(aNow, aTokens);
    mSum += aTokens;
    mTotal += aTokens;
    while (mAdmitted.front().first + 8s <= aNow) {
      mSum -= mAdmitted.front().second;
      mAdmitted.pop_front();
    }
    mMost = std::max(mMost, mSum);
    return true;
  }

  /// Messages to and from the entry are lost.
  void Cut(std::size_t aEntry, bool aCut)
  {
    if (aCut) {
      mCut.insert(aEntry);
    } else {
      mCut.erase(aEntry);
    }
  }
  /// Messages between the two zones are lost.
  void CutZones(std::size_t aOne, std::size_t aOther) { mCutZones = { aOne, aOther }; }
  /// The entry does nothing.
  void Freeze(std::size_t aEntry, bool aFrozen)
  {
    if (aFrozen) {
      mFrozen.insert(aEntry);
    } else {
      mFrozen.erase(aEntry);
    }
  }
  void Restart(std::size_t aEntry, timing::Instant aNow)
  {
    mEntries[aEntry] = Make(aEntry, aNow);
    mEntries[aEntry]->mQuotas.SetPeers(kAccount, {}, kEntries, false, aNow);
  }

  std::size_t Sharing() const
  {
    return static_cast<std::size_t>(std::ranges::count_if(
      mEntries, [](const auto& aEntry) { return aEntry->mShared; }));
  }
  double MostInWindow() const { return mMost; }
  double Total() const { return mTotal; }
  double Offered() const { return mOffered; }
  std::size_t MostMessages() const { return mMostMessages; }

private:
  struct Entry
  {
    explicit Entry(std::size_t aIndex, timing::Instant aStart)
      : mTable(Name(aIndex), aStart, ZoneOf(aIndex), Cores(aIndex))
    {
    }
    PeerTable mTable;
    QuotaLedger mQuotas;
    std::uint64_t mIncarnation{ 0 };
    std::uint64_t mSequence{ 0 };
    bool mShared{ false };
  };

  static double Cores(std::size_t aEntry) { return aEntry < 2 * kZones ? 0.5 : 0.1; }

  std::unique_ptr<Entry> Make(std::size_t aIndex, timing::Instant aStart)
  {
    auto entry = std::make_unique<Entry>(aIndex, aStart);
    entry->mIncarnation = ++mIncarnations;
    entry->mQuotas.SetTerms({ 8s, 0.1, 17000.0 });
    entry->mQuotas.Configure(mConfiguration, std::max(aStart, kStart));
    for (std::size_t i = 0; i < kEntries; ++i) {
      entry->mTable.Register(Name(i), { "127.0.0.1", 1 }, Cores(i), aStart, ZoneOf(i));
    }
    return entry;
  }

  void Send(std::size_t aFrom, timing::Instant aNow)
  {
    Entry& entry = *mEntries[aFrom];
    PeerReport report;
    report.mProcess = Name(aFrom);
    report.mIncarnation = entry.mIncarnation;
    report.mSequence = ++entry.mSequence;
    report.mReceivesFromAll = true;
    report.mAdmitted.emplace(HashName(kAccount.Str()), entry.mQuotas.Admitted(kAccount));
    std::size_t messages = 0;
    const auto send = [&](const PeerReport& aReport, const PeerTable::Addresses& aTo) {
      for (const auto& [process, address] : aTo) {
        ++messages;
        Deliver(aFrom, Index(process), EncodePeerReport(aReport), aNow);
      }
    };
    send(report, entry.mTable.ReportReceivers());
    if (entry.mTable.Aggregator(aNow) == Name(aFrom)) {
      const PeerReport sums = entry.mTable.ZoneReport(report, aNow);
      send(sums, entry.mTable.ZoneReceivers());
      send(sums, entry.mTable.ReportReceivers());
    }
    mMostMessages = std::max(mMostMessages, messages);
  }

  void Deliver(std::size_t aFrom,
               std::size_t aTo,
               const std::string& aBytes,
               timing::Instant aNow)
  {
    const bool lost = std::uniform_real_distribution<double>(0, 1)(mRandom) < 0.01;
    const auto zonesCut = [&](std::size_t aOne, std::size_t aOther) {
      return mCutZones.first != mCutZones.second && aOne % kZones == mCutZones.first &&
             aOther % kZones == mCutZones.second;
    };
    if (lost || mCut.contains(aFrom) || mCut.contains(aTo) || mFrozen.contains(aTo) ||
        zonesCut(aFrom, aTo) || zonesCut(aTo, aFrom)) {
      return;
    }
    auto report = DecodePeerReport(aBytes);
    REQUIRE(report);
    Entry& entry = *mEntries[aTo];
    const bool passOn = !report->mZone.Empty() && report->mZone != ZoneOf(aTo) &&
                        !report->mForwarded && entry.mTable.Aggregator(aNow) == Name(aTo);
    if (!entry.mTable.Receive(std::move(*report), aNow) || !passOn) {
      return;
    }
    for (const auto& [process, address] : entry.mTable.ReportReceivers()) {
      Deliver(aTo, Index(process), MarkForwarded(aBytes), aNow);
    }
  }

  static std::size_t Index(const ids::ProcessId& aProcess)
  {
    return std::stoul(aProcess.Str().substr(6));
  }

  std::mt19937_64 mRandom;
  ServingConfiguration mConfiguration;
  std::uint64_t mIncarnations{ 0 };
  std::vector<std::unique_ptr<Entry>> mEntries;
  std::set<std::size_t> mCut;
  std::set<std::size_t> mFrozen;
  std::pair<std::size_t, std::size_t> mCutZones{ 0, 0 };
  std::deque<std::pair<timing::Instant, double>> mAdmitted;
  double mSum{ 0.0 };
  double mMost{ 0.0 };
  double mTotal{ 0.0 };
  double mOffered{ 0.0 };
  std::size_t mMostMessages{ 0 };
};

enum class Fault
{
  None,
  EntriesCut,
  AggregatorsFrozen,
  ZonesCut,
  Restarts,
};

/// Simulates 30 s of requests at aLoad times the account's rate.
void Simulate(ZonedFleet& aFleet, double aLoad, Fault aFault, std::uint64_t aSeed)
{
  std::mt19937_64 random(aSeed);
  std::lognormal_distribution<double> size(6.9, 0.7);
  std::uniform_int_distribution<std::size_t> pick(0, kEntries - 1);
  double pending = 0.0;
  for (int step = 0; step < 3000; ++step) {
    const timing::Instant now = kStart + step * 10ms;
    if (step % 25 == 0) {
      aFleet.Exchange(now);
    }
    const bool begins = step % 1000 == 500;
    const bool ends = step % 1000 == 900;
    for (std::size_t i = 0; (begins || ends) && i < kZones; ++i) {
      switch (aFault) {
        case Fault::EntriesCut:
          aFleet.Cut(pick(random), begins);
          break;
        case Fault::AggregatorsFrozen:
          aFleet.Freeze(i, begins);
          break;
        case Fault::ZonesCut:
          aFleet.CutZones(begins ? 1 : 0, begins ? 3 : 0);
          break;
        case Fault::Restarts:
          aFleet.Restart(begins ? i : pick(random), now);
          break;
        case Fault::None:
          break;
      }
    }
    pending += aLoad * kRate / 100;
    while (pending > 0) {
      const double tokens = std::min(size(random) + 100, 6000.0);
      pending -= tokens;
      aFleet.Offer(pick(random), tokens, now);
    }
  }
}

}

TEST_CASE("zones: quotas are shared over all zones within a second", "[gateway]")
{
  ZonedFleet fleet(1);
  for (int step = 0; step < 4; ++step) {
    fleet.Exchange(kStart + step * 250ms);
  }
  CHECK(fleet.Sharing() == kEntries);
}

TEST_CASE("zones: an account below its rate is hardly ever refused", "[gateway]")
{
  ZonedFleet fleet(2);
  Simulate(fleet, 0.7, Fault::None, 5);
  INFO("admitted " << fleet.Total() << " of " << fleet.Offered());
  CHECK(fleet.Total() >= 0.98 * fleet.Offered());
}

TEST_CASE("zones: no window exceeds the bound under faults", "[gateway]")
{
  const Fault fault = GENERATE(Fault::None,
                               Fault::EntriesCut,
                               Fault::AggregatorsFrozen,
                               Fault::ZonesCut,
                               Fault::Restarts);
  const std::uint64_t seed = GENERATE(range(std::uint64_t{ 1 }, std::uint64_t{ 5 }));
  CAPTURE(static_cast<int>(fault), seed);
  ZonedFleet fleet(seed);
  Simulate(fleet, 5.0, fault, seed);
  CHECK(fleet.MostInWindow() <= kBound);
}

TEST_CASE("zones: a lost aggregator is replaced and quotas are shared again", "[gateway]")
{
  ZonedFleet fleet(3);
  int step = 0;
  const auto run = [&](int aSteps) {
    for (int i = 0; i < aSteps; ++i) {
      fleet.Exchange(kStart + ++step * 250ms);
    }
  };
  run(8);
  REQUIRE(fleet.Sharing() == kEntries);
  fleet.Freeze(0, true);
  // Within 3 s all but the frozen entry share again.
  run(12);
  CHECK(fleet.Sharing() >= kEntries - 1);
}

TEST_CASE("zones: the messages of an entry do not grow with the fleet", "[gateway]")
{
  ZonedFleet fleet(4);
  for (int step = 0; step < 8; ++step) {
    fleet.Exchange(kStart + step * 250ms);
  }
  // An aggregator reports to its zone twice and to two entries of each other zone.
  CHECK(fleet.MostMessages() <=
        2 * (kEntriesPerZone - 1) + PeerTable::kZoneReceivers * (kZones - 1));
}
