#ifndef SAMPHIRESAIL_APPS_TESTS_GATEWAY_QUOTAPLAY_HPP
#define SAMPHIRESAIL_APPS_TESTS_GATEWAY_QUOTAPLAY_HPP

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <vector>

#include "components/gateway/peertable.hpp"

namespace samphiresail::gateway::testing {

/// What a play of entries that share an account's limit is set up with.
struct QuotaDay
{
  std::size_t mEntries{ 29 };
  std::size_t mZones{ 3 };
  double mRate{ 20000.0 };
  double mBurst{ 20000.0 };
  /// Part of the demand that goes to a fifth of the entries, which change every 5 s.
  double mSkew{ 0.5 };
  /// Sizes of requests are log-normal with this median, and at least 50 and at most 8,000
  /// tokens.
  double mMedianTokens{ 600.0 };
  std::uint64_t mSeed{ 1 };
};

/// Entries with one account that exchange reports as GatewayProcess does, with delays,
/// losses, partitions, pauses and restarts, but without a network. Measures false
/// rejections and the largest use of any window.
class QuotaPlay
{
public:
  static constexpr auto kStep = std::chrono::milliseconds(10);
  static constexpr auto kWindow = std::chrono::seconds(8);
  static constexpr double kOverage = 0.1;
  static constexpr double kSlack = 17000.0;

  explicit QuotaPlay(const QuotaDay& aDay)
    : mDay(aDay)
    , mRandom(aDay.mSeed)
    , mLevel(aDay.mBurst)
  {
    mConfiguration.mAccounts.emplace_back();
    mConfiguration.mAccounts[0].mName = kAccount;
    mConfiguration.mAccounts[0].mTokensPerSecond = aDay.mRate;
    mConfiguration.mAccounts[0].mBurstTokens = aDay.mBurst;
    for (std::size_t i = 0; i < aDay.mEntries; ++i) {
      mEntries.push_back(Make(i, mNow - std::chrono::minutes(1)));
    }
    mHeavy.resize(aDay.mEntries);
  }

  /// Simulates aTime of requests of aLoad times the account's rate.
  void Run(std::chrono::milliseconds aTime, double aLoad)
  {
    const timing::Instant end = mNow + aTime;
    std::lognormal_distribution<double> size(std::log(mDay.mMedianTokens), 0.8);
    const auto tokens = [&] { return std::clamp(size(mRandom), 50.0, 8000.0); };
    while (mNow < end) {
      if (mStep++ % 500 == 0) {
        std::generate(mHeavy.begin(), mHeavy.end(), [this] { return Draw() < 0.2; });
      }
      Deliver();
      for (std::size_t i = 0; i < mEntries.size(); ++i) {
        if (!mFrozen.contains(i) && mNow >= mEntries[i]->mNextReport) {
          Report(i);
        } else if (mStep % 4 == i % 4 && std::exchange(mEntries[i]->mChanged, false) &&
                   !mFrozen.contains(i)) {
          mEntries[i]->mQuotas.ApplyReports(
            kAccount, mEntries[i]->mTable.AccountQuotas(kAccount), mNow);
        }
      }
      mPending += aLoad * mDay.mRate * Seconds(kStep);
      while (mPending >= mNextTokens) {
        mPending -= mNextTokens;
        Offer(PickEntry(), mNextTokens);
        mNextTokens = tokens();
      }
      mNow += kStep;
    }
  }

  /// Messages for which the function returns true are lost.
  void Cut(std::function<bool(std::size_t, std::size_t)> aCut) { mCut = std::move(aCut); }
  void SetLoss(double aLoss) { mLoss = aLoss; }
  void Freeze(std::size_t aEntry) { mFrozen.insert(aEntry); }
  void Resume(std::size_t aEntry) { mFrozen.erase(aEntry); }
  void Restart(std::size_t aEntry) { mEntries[aEntry] = Make(aEntry, mNow); }

  void ResetCounts() { mRequests = mFalseByBucket = mFalseByWindow = mRejected = 0; }
  double MostInWindow() const { return mMost; }
  double Limit() const { return mDay.mRate * 8.0 + mDay.mBurst; }
  double Bound() const { return Limit() * (1 + kOverage) + kSlack; }
  double Window() const { return mSum; }
  double Admitted() const { return mTotal; }
  /// Fractions of the requests.
  double Rejected() const { return Fraction(mRejected); }
  /// Rejected although a token bucket of the account's rate and burst that is charged
  /// with what all entries admit held enough.
  double FalseByBucket() const { return Fraction(mFalseByBucket); }
  /// Rejected although the window would have stayed below rate x window + burst.
  double FalseByWindow() const { return Fraction(mFalseByWindow); }

private:
  struct Entry
  {
    Entry(std::size_t aIndex,
          timing::Instant aStart,
          const ids::AvailabilityZoneId& aZone)
      : mTable(Name(aIndex), aStart, aZone, 0.1)
    {
    }
    PeerTable mTable;
    QuotaLedger mQuotas;
    std::uint64_t mIncarnation{ 0 };
    std::uint64_t mSequence{ 0 };
    timing::Instant mNextReport{};
    bool mChanged{ false };
  };
  struct Message
  {
    std::size_t mTo;
    PeerReport mReport;
  };

  static double Seconds(timing::Duration aTime)
  {
    return std::chrono::duration<double>(aTime).count();
  }
  static ids::ProcessId Name(std::size_t aEntry)
  {
    return ids::ProcessId("front-" + std::to_string(aEntry));
  }
  ids::AvailabilityZoneId ZoneOf(std::size_t aEntry) const
  {
    return ids::AvailabilityZoneId("z" + std::to_string(aEntry % mDay.mZones));
  }
  double Draw() { return std::uniform_real_distribution<double>(0, 1)(mRandom); }
  double Fraction(std::size_t aCount) const
  {
    return static_cast<double>(aCount) /
           static_cast<double>(std::max<std::size_t>(mRequests, 1));
  }

  std::unique_ptr<Entry> Make(std::size_t aIndex, timing::Instant aStart)
  {
    auto entry = std::make_unique<Entry>(aIndex, aStart, ZoneOf(aIndex));
    entry->mIncarnation = ++mIncarnations;
    entry->mQuotas.SetTerms({ kWindow, kOverage, kSlack });
    entry->mQuotas.Configure(mConfiguration, mNow);
    for (std::size_t i = 0; i < mDay.mEntries; ++i) {
      entry->mTable.Register(Name(i), { "127.0.0.1", 1 }, 0.1, aStart, ZoneOf(i));
    }
    entry->mTable.SetRecordedEntries(mDay.mEntries);
    entry->mNextReport = mNow + std::chrono::milliseconds(static_cast<int>(Draw() * 250));
    return entry;
  }

  std::size_t PickEntry()
  {
    std::uniform_int_distribution<std::size_t> any(0, mEntries.size() - 1);
    const bool heavy = Draw() < mDay.mSkew && std::ranges::count(mHeavy, true) > 0;
    std::size_t entry = any(mRandom);
    while (heavy && !mHeavy[entry]) {
      entry = any(mRandom);
    }
    return entry;
  }

  void Offer(std::size_t aEntry, double aTokens)
  {
    if (mFrozen.contains(aEntry)) {
      return;
    }
    mLevel = std::min(mDay.mBurst, mLevel + mDay.mRate * Seconds(mNow - mRefilled));
    mRefilled = mNow;
    while (!mWindow.empty() && mWindow.front().first + kWindow <= mNow) {
      mSum -= mWindow.front().second;
      mWindow.pop_front();
    }
    ++mRequests;
    if (mEntries[aEntry]->mQuotas.TryConsume(kAccount, aTokens, mNow).mAdmitted) {
      mWindow.emplace_back(mNow, aTokens);
      mSum += aTokens;
      mTotal += aTokens;
      mLevel -= aTokens;
      mMost = std::max(mMost, mSum);
      return;
    }
    ++mRejected;
    mFalseByBucket += mLevel >= std::min(aTokens, mDay.mBurst) ? 1 : 0;
    mFalseByWindow += mSum + aTokens <= Limit() ? 1 : 0;
  }

  void Report(std::size_t aFrom)
  {
    Entry& entry = *mEntries[aFrom];
    entry.mTable.Tick(mNow);
    const bool grouped = entry.mTable.IsGroupedByZone();
    const std::size_t reporting =
      grouped ? entry.mTable.ReportReceivers().size() + 1 : entry.mTable.EntryCount(mNow);
    // Reports are sent by a tick of 40 ms.
    entry.mNextReport = mNow + std::chrono::milliseconds(static_cast<int>(Draw() * 40)) +
                        PeerTable::ReportInterval(reporting);
    const PeerTable::Coverage coverage = entry.mTable.CoverageAt(mNow);
    entry.mQuotas.SetPeers(kAccount,
                           entry.mTable.AccountQuotas(kAccount),
                           entry.mTable.EntryCount(mNow),
                           coverage.mComplete,
                           mNow,
                           coverage.mUncovered);
    PeerReport report;
    report.mProcess = Name(aFrom);
    report.mIncarnation = entry.mIncarnation;
    report.mSequence = ++entry.mSequence;
    report.mReceivesFromAll = entry.mTable.ReceivesFromAll(mNow);
    report.mAdmitted.emplace(HashName(kAccount.Str()), entry.mQuotas.Admitted(kAccount));
    Send(aFrom, report, entry.mTable.ReportReceivers());
    if (grouped && entry.mTable.Aggregator(mNow) == Name(aFrom)) {
      PeerReport sums = entry.mTable.ZoneReport(report, mNow);
      Send(aFrom, sums, entry.mTable.ZoneReceivers());
      sums.mAdmitted.clear();
      Send(aFrom, sums, entry.mTable.ReportReceivers());
    }
  }

  void Send(std::size_t aFrom, const PeerReport& aReport, const PeerTable::Addresses& aTo)
  {
    for (const auto& [process, address] : aTo) {
      const std::size_t to = std::stoul(process.Str().substr(6));
      if (Draw() < mLoss || (mCut && mCut(aFrom, to))) {
        continue;
      }
      // The network and the receiver's event loop delay a report.
      const auto delay = std::chrono::milliseconds(2 + static_cast<int>(Draw() * 30));
      mMessages.emplace(mNow + delay, Message{ to, aReport });
    }
  }

  void Deliver()
  {
    while (!mMessages.empty() && mMessages.begin()->first <= mNow) {
      const auto node = mMessages.extract(mMessages.begin());
      const auto& [to, report] = node.mapped();
      if (mFrozen.contains(to)) {
        continue;
      }
      Entry& entry = *mEntries[to];
      const bool fromOtherZone = !report.mZone.Empty() && report.mZone != ZoneOf(to);
      entry.mChanged = true;
      if (entry.mTable.Receive(report, mNow) && fromOtherZone && !report.mForwarded &&
          entry.mTable.Aggregator(mNow) == Name(to)) {
        PeerReport forwarded = report;
        forwarded.mForwarded = true;
        Send(to, forwarded, entry.mTable.ReportReceivers());
      }
    }
  }

  inline static const ids::ClientAccountId kAccount{ "club" };

  QuotaDay mDay;
  std::mt19937_64 mRandom;
  timing::Instant mNow{ std::chrono::hours(1) };
  std::size_t mStep{ 0 };
  ServingConfiguration mConfiguration;
  std::uint64_t mIncarnations{ 0 };
  std::vector<std::unique_ptr<Entry>> mEntries;
  std::vector<bool> mHeavy;
  std::multimap<timing::Instant, Message> mMessages;
  std::function<bool(std::size_t, std::size_t)> mCut;
  std::set<std::size_t> mFrozen;
  double mLoss{ 0.01 };
  double mPending{ 0.0 };
  double mNextTokens{ 1000.0 };
  /// Level of the reference bucket, and when it was last refilled.
  double mLevel;
  timing::Instant mRefilled{ mNow };
  std::deque<std::pair<timing::Instant, double>> mWindow;
  double mSum{ 0.0 };
  double mMost{ 0.0 };
  double mTotal{ 0.0 };
  std::size_t mRequests{ 0 };
  std::size_t mRejected{ 0 };
  std::size_t mFalseByBucket{ 0 };
  std::size_t mFalseByWindow{ 0 };
};

}

#endif
