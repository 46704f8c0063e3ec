#ifndef SAMPHIRESAIL_APPS_TESTS_GATEWAY_QUARANTINEPLAY_HPP
#define SAMPHIRESAIL_APPS_TESTS_GATEWAY_QUARANTINEPLAY_HPP

#include <algorithm>
#include <cstdint>
#include <optional>
#include <random>
#include <set>
#include <vector>

#include "components/gateway/requestidentity.hpp"
#include "components/gateway/requestquarantine.hpp"

namespace samphiresail::gateway {

using std::chrono::milliseconds;
using std::chrono::seconds;

inline constexpr std::uint64_t kDeadlyPart = 666;
inline constexpr milliseconds kStep{ 10 };
/// Time from a request to its first and second event.
inline constexpr milliseconds kFirstEvent{ 150 };
inline constexpr milliseconds kSecondEvent{ 200 };
/// An engine that ended is back after this.
inline constexpr milliseconds kDowntime{ 3000 };
inline constexpr double kLostDatagrams = 0.05;
inline constexpr milliseconds kDatagramDelay{ 20 };
inline constexpr milliseconds kTick{ 40 };
/// Delay of the store's watch.
inline constexpr milliseconds kWatchDelay{ 1200 };
/// Time within which all entries must know of the part, counted from the fifth crash.
inline constexpr milliseconds kContact{ 3000 };

/// Time that the findings of a crash take to all entries if no datagram is lost.
inline constexpr milliseconds kExchange{ 100 };

/// Load of a play.
struct Load
{
  std::size_t mEntries{ 4 };
  std::size_t mEngines{ 12 };
  /// Requests a second of all entries, and the fraction with the deadly part.
  double mRate{ 80.0 };
  double mDeadlyShare{ 0.05 };
  /// Datagrams pass only between entries of the same half.
  bool mHalvesAreCut{ false };
  /// Every request has one popular part and one of this many rare ones.
  std::uint64_t mRareParts{ 200 };
  /// A fraction of the engines ends together this often, without a request as the cause.
  milliseconds mOtherCrashInterval{ 0 };
  double mOtherCrashShare{ 0.0 };
  /// The deadly requests are one that comes again, rather than many that share a part.
  bool mSameRequest{ false };
  /// Fraction of the sound requests that are one that comes again.
  double mSameSoundShare{ 0.0 };
  /// The deadly requests come from the start on, and all requests have the part 1.
  bool mFromTheStart{ false };
  /// Fraction of the deadly requests from the start on that have the part 1 too; the
  /// sound ones have it always.
  double mDeadlyWithFirst{ 1.0 };
};

struct Outcome
{
  int mCrashes{ 0 };
  /// Requests with the deadly part that engines got later than kContact after the fifth
  /// crash.
  int mSentLate{ 0 };
  /// The same later than kExchange after the third crash by a deadly request.
  int mSentAfterThird{ 0 };
  int mSoundRefused{ 0 };
  int mSound{ 0 };
  /// Sound requests later than twice kContact after the fifth crash, or the last one if
  /// there are fewer.
  int mSoundLate{ 0 };
  int mSoundRefusedLate{ 0 };
  /// Entries that have another verdict than one on the deadly part alone.
  int mWrongVerdicts{ 0 };
};

/// Plays entries that exchange what they see of engines that end under a part.
class Play
{
public:
  Play(const Load& aLoad, std::uint64_t aSeed)
    : mLoad(aLoad)
    , mRandom(aSeed)
    , mDownUntil(aLoad.mEngines)
    , mNextReport(aLoad.mEntries)
  {
    for (std::size_t i = 0; i < aLoad.mEntries; ++i) {
      mEntries.emplace_back(aSeed * 1000 + i);
    }
  }

  Outcome Run(timing::Duration aTime)
  {
    const timing::Instant end = mNow + aTime;
    for (; mNow < end; mNow += kStep) {
      Arrive();
      CrashOthers();
      Progress();
      Deliver();
      if (mNow.time_since_epoch() % kTick == timing::Duration(0)) {
        Tick();
      }
    }
    for (const RequestQuarantine& entry : mEntries) {
      const bool right = entry.Size() == 1 && !entry.CausesOfVerdict(kDeadlyPart).empty();
      mOutcome.mWrongVerdicts += right ? 0 : 1;
    }
    return mOutcome;
  }

private:
  struct Request
  {
    std::size_t mEntry{ 0 };
    std::size_t mEngine{ 0 };
    RequestMetadata mMetadata;
    timing::Instant mSentAt{};
    bool mDeadly{ false };
  };
  struct Datagram
  {
    std::size_t mTo{ 0 };
    timing::Instant mAt{};
    std::size_t mFindings{ 0 };
  };
  struct Record
  {
    RequestQuarantine::RecordChange mChange;
    std::size_t mWriter{ 0 };
    timing::Instant mAt{};
  };

  std::uint64_t Draw(std::uint64_t aBelow)
  {
    return std::uniform_int_distribution<std::uint64_t>(0, aBelow - 1)(mRandom);
  }
  bool Chance(double aProbability)
  {
    return std::uniform_real_distribution<double>(0.0, 1.0)(mRandom) < aProbability;
  }

  void Arrive()
  {
    const double mean = mLoad.mRate * std::chrono::duration<double>(kStep).count();
    const int count = std::poisson_distribution<int>(mean)(mRandom);
    for (int i = 0; i < count; ++i) {
      Request request;
      request.mEntry = Draw(mLoad.mEntries);
      request.mEngine = Draw(mLoad.mEngines);
      request.mSentAt = mNow;
      request.mDeadly =
        Chance(mLoad.mDeadlyShare) && (mLoad.mFromTheStart || mNow > mStart + seconds(3));
      std::vector<PromptPart>& parts = request.mMetadata.mPromptParts;
      parts = { { 1, 10 }, { 1000 + Draw(mLoad.mRareParts), 10 } };
      if (request.mDeadly && !Chance(mLoad.mDeadlyWithFirst)) {
        parts.erase(parts.begin());
      }
      if (request.mDeadly) {
        parts.push_back({ kDeadlyPart, 10 });
      }
      const bool same = request.mDeadly
                          ? mLoad.mSameRequest
                          : mLoad.mSameSoundShare > 0.0 && Chance(mLoad.mSameSoundShare);
      if (same) {
        parts = { { 1, 10 }, { request.mDeadly ? 900000U : 900001U, 10 } };
      } else {
        parts.push_back({ 1000000 + mNextRequest++, 10 });
      }
      request.mMetadata.mIdentity = RequestIdentity({}, request.mMetadata);
      Send(std::move(request));
    }
  }

  void CrashOthers()
  {
    if (mLoad.mOtherCrashInterval.count() == 0 ||
        mNow.time_since_epoch() % mLoad.mOtherCrashInterval != timing::Duration(0)) {
      return;
    }
    for (std::size_t engine = 0; engine < mLoad.mEngines; ++engine) {
      if (mNow >= mDownUntil[engine] && Chance(mLoad.mOtherCrashShare)) {
        Crash(engine);
      }
    }
  }

  void Send(Request aRequest)
  {
    RequestQuarantine& entry = mEntries[aRequest.mEntry];
    const bool blocked =
      entry.BlockOf(aRequest.mMetadata, mNow) && !entry.TryTest(aRequest.mMetadata, mNow);
    const bool down = mNow < mDownUntil[aRequest.mEngine];
    const CrashEvidence::Causes tested = entry.CausesTested(aRequest.mMetadata);
    const bool refused =
      blocked || (!down && !tested.empty() && !entry.TryTestCauses(tested, mNow));
    if (!aRequest.mDeadly) {
      ++mOutcome.mSound;
      mOutcome.mSoundRefused += refused ? 1 : 0;
      const bool late = mLastOfFive && mNow > *mLastOfFive + 2 * kContact;
      mOutcome.mSoundLate += late ? 1 : 0;
      mOutcome.mSoundRefusedLate += late && refused ? 1 : 0;
    }
    if (refused || down) {
      return;
    }
    if (aRequest.mDeadly && mFifthCrash && mNow > *mFifthCrash + kContact) {
      ++mOutcome.mSentLate;
    }
    if (aRequest.mDeadly && mThirdDeadlyCrash && mNow > *mThirdDeadlyCrash + kExchange) {
      ++mOutcome.mSentAfterThird;
    }
    mRequests.push_back(std::move(aRequest));
  }

  void Progress()
  {
    for (std::size_t i = 0; i < mRequests.size(); ++i) {
      const Request request = mRequests[i];
      if (request.mDeadly && mNow - request.mSentAt >= kFirstEvent) {
        if (++mDeadlyCrashes == 3) {
          mThirdDeadlyCrash = mNow;
        }
        Crash(request.mEngine);
        i = 0;
      }
    }
    std::erase_if(mRequests, [this](const Request& aRequest) {
      const bool answered = mNow - aRequest.mSentAt >= kSecondEvent;
      if (answered) {
        mEntries[aRequest.mEntry].OnSound(aRequest.mMetadata, mNow);
      }
      return answered;
    });
  }

  void Crash(std::size_t aEngine)
  {
    mDownUntil[aEngine] = mNow + kDowntime;
    if (++mOutcome.mCrashes == 5) {
      mFifthCrash = mNow;
    }
    if (mOutcome.mCrashes <= 5) {
      mLastOfFive = mNow;
      mOutcome.mSoundLate = 0;
      mOutcome.mSoundRefusedLate = 0;
    }
    std::set<std::size_t> entries;
    std::erase_if(mRequests, [&](const Request& aRequest) {
      if (aRequest.mEngine != aEngine) {
        return false;
      }
      mEntries[aRequest.mEntry].OnBroken(aEngine, aRequest.mMetadata, mNow);
      entries.insert(aRequest.mEntry);
      return true;
    });
    for (const std::size_t entry : entries) {
      mEntries[entry].TryProbe(aEngine, mNow);
      mEntries[entry].OnConnectionRefused(aEngine, mNow);
    }
  }

  bool Reaches(std::size_t aFrom, std::size_t aTo)
  {
    const std::size_t half = mLoad.mEntries / 2;
    return !mLoad.mHalvesAreCut || (aFrom < half) == (aTo < half);
  }

  void Tick()
  {
    for (std::size_t i = 0; i < mEntries.size(); ++i) {
      mEntries[i].Tick(mNow);
      for (const auto& change : mEntries[i].RecordChanges(i == 0, mNow)) {
        mRecords.push_back({ change, i, mNow });
      }
      if (!mEntries[i].IsReportDue(mNow)) {
        continue;
      }
      mFindings.push_back(mEntries[i].Report(mNow));
      for (std::size_t to = 0; to < mEntries.size(); ++to) {
        if (to != i && Reaches(i, to) && !Chance(kLostDatagrams)) {
          mDatagrams.push_back({ to, mNow + kDatagramDelay, mFindings.size() - 1 });
        }
      }
    }
  }

  void Deliver()
  {
    std::erase_if(mDatagrams, [this](const Datagram& aDatagram) {
      if (aDatagram.mAt > mNow) {
        return false;
      }
      mEntries[aDatagram.mTo].Merge(mFindings[aDatagram.mFindings], mNow);
      return true;
    });
    std::erase_if(mRecords, [this](const Record& aRecord) {
      if (aRecord.mAt + kWatchDelay > mNow) {
        return false;
      }
      for (std::size_t i = 0; i < mEntries.size(); ++i) {
        mEntries[i].OnRecord(aRecord.mChange.mVerdict,
                             aRecord.mChange.mCreate,
                             i == aRecord.mWriter,
                             mNow,
                             aRecord.mChange.mCauses);
      }
      return true;
    });
  }

  Load mLoad;
  std::mt19937_64 mRandom;
  std::vector<RequestQuarantine> mEntries;
  std::vector<timing::Instant> mDownUntil;
  std::vector<timing::Instant> mNextReport;
  std::vector<Request> mRequests;
  std::vector<CrashFindings> mFindings;
  std::vector<Datagram> mDatagrams;
  std::vector<Record> mRecords;
  std::optional<timing::Instant> mFifthCrash;
  std::optional<timing::Instant> mLastOfFive;
  int mDeadlyCrashes{ 0 };
  std::optional<timing::Instant> mThirdDeadlyCrash;
  const timing::Instant mStart{ seconds(1000) };
  timing::Instant mNow{ mStart };
  std::uint64_t mNextRequest{ 0 };
  Outcome mOutcome;
};

}

#endif
