#include <catch2/catch.hpp>

#include <array>
#include <deque>
#include <memory>
#include <random>
#include <vector>

#include "components/gateway/quotaledger.hpp"

using namespace samphiresail;
using namespace std::chrono_literals;
using namespace samphiresail::gateway;

namespace {

const timing::Instant kNow{ 1h };
const ids::ClientAccountId kAccount("club");
constexpr double kRate = 20000.0;
constexpr double kBurst = 20000.0;
constexpr double kOverage = 0.1;
constexpr double kSlack = 17000.0;
constexpr double kWindowSeconds = 8.0;
constexpr double kBound = (kRate * kWindowSeconds + kBurst) * (1 + kOverage) + kSlack;

ServingConfiguration Configuration()
{
  ServingConfiguration configuration;
  ClientAccount account;
  account.mName = kAccount;
  account.mTokensPerSecond = kRate;
  account.mBurstTokens = kBurst;
  configuration.mAccounts.push_back(account);
  return configuration;
}

/// Entries that share one account and exchange peer reports every 250 ms.
class Fleet
{
public:
  explicit Fleet(std::size_t aEntries)
  {
    for (std::size_t i = 0; i < aEntries; ++i) {
      mEntries.push_back(MakeEntry(kNow));
      mIncarnations.push_back(1);
      mCut.push_back(false);
    }
  }

  /// Requests tokens at an entry and returns whether they were admitted.
  bool Offer(std::size_t aEntry, double aTokens, timing::Instant aNow)
  {
    mOffered += aTokens;
    if (!mEntries[aEntry]->TryConsume(kAccount, aTokens, aNow).mAdmitted) {
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

  void Exchange(timing::Instant aNow)
  {
    const bool joining = aNow < mRestarted + 2s;
    const bool allPeersFresh = std::ranges::count(mCut, true) == 0 && !joining;
    for (std::size_t i = 0; i < mEntries.size(); ++i) {
      std::vector<PeerQuota> peers;
      for (std::size_t j = 0; j < mEntries.size(); ++j) {
        if (j != i && !mCut[i] && !mCut[j]) {
          mReceived[{ i, j }] = { ids::ProcessId(std::to_string(j)),
                                  mIncarnations[j],
                                  aNow,
                                  mEntries[j]->Admitted(kAccount) };
        }
        if (j != i && mReceived.contains({ i, j })) {
          peers.push_back(mReceived[{ i, j }]);
        }
      }
      mEntries[i]->SetPeers(kAccount, peers, mEntries.size(), allPeersFresh, aNow);
    }
  }

  void Restart(std::size_t aEntry, timing::Instant aNow)
  {
    mEntries[aEntry] = MakeEntry(aNow);
    mEntries[aEntry]->SetPeers(kAccount, {}, mEntries.size(), false, aNow);
    mRestarted = aNow;
    ++mIncarnations[aEntry];
    std::erase_if(mReceived,
                  [aEntry](const auto& aRow) { return aRow.first.first == aEntry; });
  }

  void Cut(std::size_t aEntry, bool aCut) { mCut[aEntry] = aCut; }
  std::size_t Size() const { return mEntries.size(); }
  double MostInWindow() const { return mMost; }
  double Total() const { return mTotal; }
  double Offered() const { return mOffered; }

private:
  static std::unique_ptr<QuotaLedger> MakeEntry(timing::Instant aNow)
  {
    auto ledger = std::make_unique<QuotaLedger>();
    ledger->SetTerms({ 8s, kOverage, kSlack });
    ledger->Configure(Configuration(), aNow);
    return ledger;
  }

  std::vector<std::unique_ptr<QuotaLedger>> mEntries;
  std::vector<std::uint64_t> mIncarnations;
  std::vector<bool> mCut;
  /// When an entry last restarted; for 2 s it counts as lacking the others' admissions.
  timing::Instant mRestarted{};
  std::map<std::pair<std::size_t, std::size_t>, PeerQuota> mReceived;
  std::deque<std::pair<timing::Instant, double>> mAdmitted;
  double mSum{ 0.0 };
  double mMost{ 0.0 };
  double mTotal{ 0.0 };
  double mOffered{ 0.0 };
};

struct Load
{
  double mTokensPerSecond;
  /// Fraction of the load that arrives at the first entry.
  double mSkew;
  bool mRestarts;
  bool mCuts;
};

/// Simulates 30 s of requests of uneven size.
void Simulate(Fleet& aFleet, const Load& aLoad, std::uint64_t aSeed)
{
  std::mt19937_64 random(aSeed);
  std::lognormal_distribution<double> size(6.7, 0.8);
  std::uniform_real_distribution<double> unit(0.0, 1.0);
  std::uniform_int_distribution<std::size_t> other(0, aFleet.Size() - 1);
  double pending = 0.0;
  for (int step = 0; step < 3000; ++step) {
    const timing::Instant now = kNow + step * 10ms;
    if (step % 25 == 0) {
      aFleet.Exchange(now);
    }
    if (aLoad.mRestarts && step == 1300) {
      for (std::size_t i = 0; i < aFleet.Size(); ++i) {
        aFleet.Restart(i, now);
      }
    }
    if (aLoad.mCuts && step % 700 == 300) {
      aFleet.Cut(other(random), true);
    }
    if (aLoad.mCuts && step % 700 == 699) {
      for (std::size_t i = 0; i < aFleet.Size(); ++i) {
        aFleet.Cut(i, false);
      }
    }
    pending += aLoad.mTokensPerSecond / 100;
    while (pending > 0) {
      const double tokens = std::min(size(random) + 100, 4300.0);
      pending -= tokens;
      aFleet.Offer(unit(random) < aLoad.mSkew ? 0 : other(random), tokens, now);
    }
  }
}

}

TEST_CASE("quota: no window exceeds the bound, whatever is cut off or restarted",
          "[gateway]")
{
  const std::array<Load, 4> loads{ { { 6 * kRate, 0.5, false, false },
                                     { 6 * kRate, 0.2, true, false },
                                     { 6 * kRate, 0.2, false, true },
                                     { 3 * kRate, 0.9, true, true } } };
  for (const Load& load : loads) {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      Fleet fleet(5);
      Simulate(fleet, load, seed);
      INFO("restarts " << load.mRestarts << " cuts " << load.mCuts << " skew "
                       << load.mSkew << " seed " << seed);
      CHECK(fleet.MostInWindow() <= kBound);
    }
  }
}

TEST_CASE("quota: an account below its rate is hardly ever refused", "[gateway]")
{
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Fleet fleet(5);
    Simulate(fleet, { 0.7 * kRate, 0.5, false, false }, seed);
    INFO("seed " << seed << " admitted " << fleet.Total() << " of " << fleet.Offered());
    CHECK(fleet.Total() >= 0.98 * fleet.Offered());
  }
}

TEST_CASE("quota: a large request passes at one of many entries", "[gateway]")
{
  constexpr std::size_t kEntries = 23;
  constexpr double kLarge = 4300.0;
  Fleet fleet(kEntries);
  for (int step = 0; step < 24; ++step) {
    fleet.Exchange(kNow + step * 250ms);
  }
  CHECK(fleet.Offer(7, kLarge, kNow + 6s));
}

TEST_CASE("quota: an account in excess gets its rate through uneven entries", "[gateway]")
{
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Fleet fleet(5);
    Simulate(fleet, { 5 * kRate, 0.6, false, false }, seed);
    INFO("seed " << seed << " admitted " << fleet.Total());
    CHECK(fleet.Total() >= 0.9 * kRate * 30);
  }
}

TEST_CASE("quota: a rejection returns when tokens will be available", "[gateway]")
{
  QuotaLedger ledger;
  ledger.SetTerms({ 8s, kOverage, kSlack });
  ledger.Configure(Configuration(), kNow);
  ledger.SetPeers(kAccount, {}, 1, true, kNow);
  QuotaDecision decision{ true, {} };
  while (decision.mAdmitted) {
    decision = ledger.TryConsume(kAccount, 1000, kNow);
  }
  REQUIRE(decision.mRetryAfter > 0ms);
  CHECK(ledger.TryConsume(kAccount, 1000, kNow + decision.mRetryAfter + 1ms).mAdmitted);
}

TEST_CASE("quota: an account without a limit is always admitted", "[gateway]")
{
  QuotaLedger ledger;
  CHECK(ledger.TryConsume(ids::ClientAccountId("open"), 1e9, kNow).mAdmitted);
}

TEST_CASE("quota: partitioned entries keep the bound while an account exceeds its rate",
          "[gateway]")
{
  // The account's limit is large compared with the tolerance, reports are rare, and an
  // entry detects only after some time that it no longer receives the others' reports.
  constexpr std::size_t kEntries = 23;
  constexpr std::size_t kCut = 8;
  constexpr double kLargeRate = 230000.0;
  constexpr double kLargeBurst = 160000.0;
  constexpr double kLargeBound =
    (kLargeRate * kWindowSeconds + kLargeBurst) * (1 + kOverage) + kSlack;
  constexpr int kPeerReportSteps = 58;
  constexpr auto kFresh = 1200ms;
  const std::uint64_t seed = GENERATE(range(std::uint64_t{ 1 }, std::uint64_t{ 11 }));
  const int excessFrom = GENERATE(300, 500, 800);
  CAPTURE(seed, excessFrom);
  std::mt19937_64 random(seed);
  std::uniform_int_distribution<std::size_t> pick(0, kEntries - 1);
  std::lognormal_distribution<double> size(7.0, 0.6);

  ServingConfiguration configuration = Configuration();
  configuration.mAccounts[0].mTokensPerSecond = kLargeRate;
  configuration.mAccounts[0].mBurstTokens = kLargeBurst;
  std::array<QuotaLedger, kEntries> entries;
  std::map<std::pair<std::size_t, std::size_t>, PeerQuota> received;
  for (QuotaLedger& entry : entries) {
    entry.SetTerms({ 8s, kOverage, kSlack });
    entry.Configure(configuration, kNow);
  }
  std::deque<std::pair<timing::Instant, double>> admitted;
  double sum = 0.0;
  double most = 0.0;
  double pending = 0.0;
  for (int step = 0; step < 2000; ++step) {
    const timing::Instant now = kNow + step * 10ms;
    const bool cut = step >= 400 && step < 1600;
    for (std::size_t i = 0; i < kEntries; ++i) {
      if ((step + 5 * static_cast<int>(i)) % kPeerReportSteps != 0) {
        continue;
      }
      for (std::size_t j = 0; j < kEntries; ++j) {
        if (i != j && !(cut && (i < kCut || j < kCut))) {
          received[{ j, i }] = {
            ids::ProcessId(std::to_string(i)), 1, now, entries[i].Admitted(kAccount)
          };
        }
      }
      std::vector<PeerQuota> peers;
      bool allPeersFresh = true;
      for (std::size_t j = 0; j < kEntries; ++j) {
        const auto it = received.find({ i, j });
        if (it != received.end()) {
          peers.push_back(it->second);
        }
        allPeersFresh &=
          i == j || (it != received.end() && now - it->second.mReceivedAt < kFresh);
      }
      entries[i].SetPeers(kAccount, peers, kEntries, allPeersFresh, now);
    }
    pending += (step < excessFrom ? 0.5 : 6.0) * kLargeRate / 100;
    while (pending > 0) {
      const double tokens = std::min(size(random), 4300.0);
      pending -= tokens;
      if (entries[pick(random)].TryConsume(kAccount, tokens, now).mAdmitted) {
        admitted.emplace_back(now, tokens);
        sum += tokens;
      }
    }
    while (!admitted.empty() && admitted.front().first + 8s <= now) {
      sum -= admitted.front().second;
      admitted.pop_front();
    }
    most = std::max(most, sum);
  }
  CHECK(most <= kLargeBound);
}

TEST_CASE("quota: an entry that was paused uses its share until it hears of the others",
          "[gateway]")
{
  // Paused for four seconds, it must not take the common bucket for refilled.
  constexpr std::size_t kEntries = 10;
  QuotaLedger ledger;
  ledger.SetTerms({ 8s, kOverage, kSlack });
  ledger.Configure(Configuration(), kNow);
  ledger.SetPeers(kAccount, {}, kEntries, true, kNow + 2s);
  while (ledger.TryConsume(kAccount, 500, kNow + 2s).mAdmitted) {
  }
  double admitted = 0.0;
  while (ledger.TryConsume(kAccount, 500, kNow + 6s).mAdmitted) {
    admitted += 500;
  }
  CHECK(admitted <= 4 * kRate / kEntries * (1 + kOverage) + kSlack / kEntries);
}

TEST_CASE("quota: a fleet that changes to reports by zone and back keeps its tokens",
          "[gateway]")
{
  QuotaLedger ledger;
  ledger.SetTerms({ 8s, kOverage, kSlack });
  ledger.Configure(Configuration(), kNow);
  std::vector<PeerQuota> direct;
  for (int i = 0; i < 20; ++i) {
    const ids::ProcessId process(std::to_string(i));
    PeerQuota& quota = direct.emplace_back();
    quota.mProcess = process;
    quota.mIncarnation = 1;
    quota.mReceivedAt = kNow;
    quota.mAdmitted = 1e6;
  }
  std::vector<PeerQuota> byZone{ { ids::ProcessId("zone a"), 1, kNow, 1e7, true, 10 },
                                 { ids::ProcessId("zone b"), 1, kNow, 1e7, true, 10 } };
  timing::Instant now = kNow;
  const auto exchange = [&](std::vector<PeerQuota>& aPeers) {
    now += 250ms;
    for (PeerQuota& quota : aPeers) {
      quota.mReceivedAt = now;
    }
    ledger.SetPeers(kAccount, aPeers, 21, true, now);
  };
  for (int change = 0; change < 4; ++change) {
    for (int i = 0; i < 8; ++i) {
      exchange(change % 2 == 0 ? direct : byZone);
    }
  }
  CHECK(ledger.TryConsume(kAccount, 1000, now).mAdmitted);
}
